#include "entry/entry_host.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/log.h"
#include "base/time.h"
#include "entry/caller_codec.h"
#include "entry/control_plane_controller.h"
#include "entry/controller_settings.h"
#include "entry/placer_controller.h"
#include "entry/request_controller.h"
#include "workers/worker_codec.h"

namespace chivewing {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
constexpr std::size_t kChangesPage = 2000;  // rows
// Room in the rings beyond what callers may fill, for ends that must not be
// lost.
constexpr std::size_t kRingCapacity = 65536;
constexpr std::chrono::milliseconds kControlTick{50};
constexpr std::chrono::milliseconds kRequestTick{100};
constexpr std::chrono::milliseconds kStopPoll{10};
constexpr std::chrono::milliseconds kStopLinger{300};

HttpServerOptions ServerOptions(const Settings& settings,
                                const std::string& address) {
  HttpServerOptions out;
  out.address = address;
  out.max_body_bytes =
      static_cast<std::size_t>(settings.limits.body_kb) * kBytesPerKb;
  out.max_header_bytes =
      static_cast<std::size_t>(settings.limits.header_kb) * kBytesPerKb;
  out.max_connections = static_cast<unsigned>(settings.limits.connections);
  out.idle_timeout = settings.limits.idle;
  return out;
}

HttpServerOptions CallerOptions(const Settings& settings) {
  HttpServerOptions out = ServerOptions(settings, settings.caller_address);
  out.threads = static_cast<unsigned>(settings.http_threads);
  return out;
}

HttpServerOptions OperatorOptions(const Settings& settings) {
  HttpServerOptions out = ServerOptions(settings, settings.operator_address);
  out.bearer_key = settings.shared_key;
  return out;
}

TableClientOptions TableOptions(const Settings& settings) {
  TableClientOptions out;
  out.addresses = settings.platform.addresses;
  out.host = settings.host.value();
  out.timeout = settings.platform.timeout;
  out.connect_timeout = std::min(out.connect_timeout, out.timeout);
  return out;
}

// Rises with each process of the host, as long as its clock of day does.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(WallClockNow().count());
}

}  // namespace

EntryHost::EntryHost(Settings settings)
    : settings_(std::move(settings)),
      incarnation_(NewIncarnation()),
      table_(platform_http_, TableOptions(settings_)),
      caller_server_(CallerOptions(settings_)),
      operator_server_(OperatorOptions(settings_)),
      requests_(kRingCapacity),
      control_(kRingCapacity),
      placer_(kRingCapacity) {}

EntryHost::~EntryHost() = default;

// --- Start ---

Status EntryHost::Start() {
  // The peers' address goes first: binding it shows that no earlier process of
  // this host is left.
  Result<std::unique_ptr<PeerMesh>> mesh = StartMesh();
  if (!mesh) return mesh.error();
  mesh_ = std::move(mesh).value();
  MakeFlows(BootClock::now());
  Status servers = StartServers();
  if (!servers) return servers;
  StartDuties();
  return Ok();
}

Result<std::unique_ptr<PeerMesh>> EntryHost::StartMesh() {
  return PeerMesh::Start(
      MakeMeshSettings(settings_, incarnation_),
      [this](PeerEvent event) { OnPeerEvent(std::move(event)); });
}

void EntryHost::MakeFlows(TimePoint now) {
  request_controller_ = std::make_unique<RequestController>(
      MakeRequestControllerSettings(settings_, incarnation_),
      MakeRequestPorts());
  control_plane_controller_ = std::make_unique<ControlPlaneController>(
      MakeControlFlowSettings(settings_, incarnation_), MakeControlPorts());
  placer_controller_ = std::make_unique<PlacerController>(
      now, MakePlacerFlowSettings(settings_, incarnation_), MakePlacerPorts());
}

Status EntryHost::StartServers() {
  Status callers = caller_server_.Start(
      [this](HttpServerRequest call) { OnCallerCall(std::move(call)); });
  if (!callers) return callers;
  return operator_server_.Start([this](HttpServerRequest call) {
    const std::uint64_t id = call.id;
    if (control_.TryPost(OperatorRequestReceived{std::move(call)})) return;
    operator_server_.Respond(
        id, MakeErrorResponse({ResultCode::kOverloaded, "too many calls"}));
  });
}

void EntryHost::StartDuties() {
  requests_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (RequestEvent& event : events) request_controller_->Handle(now, event);
    request_controller_->Tick(now);
    requests_idle_ = request_controller_->IsIdle();
    const TimePoint wake =
        request_controller_->NextWakeTime().value_or(TimePoint::max());
    return std::min(wake, now + kRequestTick);
  });
  control_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (ControlPlaneEvent& event : events)
      control_plane_controller_->HandleEvent(now, event);
    control_plane_controller_->Tick(now);
    control_stopped_ = control_plane_controller_->IsStopped();
    return now + kControlTick;
  });
  placer_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (PlacerEvent& event : events)
      placer_controller_->HandleEvent(now, event);
    placer_controller_->Tick(now);
    placer_stopped_ = placer_controller_->IsStopped();
    return placer_controller_->NextWake(now);
  });
}

// --- Ports ---

RequestCallbacks EntryHost::MakeRequestPorts() {
  RequestCallbacks ports;
  ports.call_target = [this](DispatchId dispatch, HttpRequest request) {
    CallTarget(dispatch, std::move(request));
  };
  ports.probe_target = [this](ProbeId probe, HttpRequest request) {
    const bool taken = target_http_.Send(
        std::move(request), [this, probe](HttpResponse answer) {
          requests_.Post(ProbeCompleted{probe, std::move(answer)});
        });
    if (!taken)
      requests_.Post(ProbeCompleted{probe, {.error = HttpError::kStopped}});
  };
  ports.send_peer = [this](const HostId& to, const PeerMessage& message) {
    return mesh_->Send(to, message);
  };
  ports.commit_claims = [this](const TableTransaction& transaction) {
    table_.Commit(transaction,
                  [this, id = transaction.write_id](CommitResponse answer) {
                    requests_.Post(ClaimCommitCompleted{id, std::move(answer)});
                  });
  };
  ports.respond_to_caller = [this](std::uint64_t call,
                                   HttpServerResponse reply) {
    caller_server_.Respond(call, std::move(reply));
  };
  ports.notify_instance_drained = [this](const InstanceId& instance) {
    control_.Post(InstanceDrained{instance});
  };
  return ports;
}

void EntryHost::CallTarget(DispatchId dispatch, HttpRequest request) {
  const bool taken = target_http_.Send(
      std::move(request), [this, dispatch](HttpResponse answer) {
        requests_.Post(DispatchCompleted{dispatch, std::move(answer)});
      });
  if (taken) return;
  requests_.Post(DispatchCompleted{dispatch, {.error = HttpError::kStopped}});
}

ControlPlaneCallbacks EntryHost::MakeControlPorts() {
  ControlPlaneCallbacks ports;
  ports.fetch_changes = [this](std::uint64_t since,
                               const std::vector<std::string>& prefixes) {
    table_.Changes(since, prefixes, kChangesPage,
                   [this](ChangesResponse answer) {
                     control_.Post(ChangesReceived{std::move(answer)});
                   });
  };
  ports.fetch_host_list = [this] {
    const TimePoint asked_at = BootClock::now();
    table_.Hosts([this, asked_at](HostListResponse answer) {
      control_.Post(HostListReceived{std::move(answer), asked_at});
    });
  };
  ports.read_rows = [this](std::uint64_t read,
                           const std::vector<std::string>& keys) {
    table_.Read(keys, [this, read](ReadResponse answer) {
      control_.Post(RowReadCompleted{read, std::move(answer)});
    });
  };
  ports.commit = [this](CommitOrigin sender,
                        const TableTransaction& transaction) {
    table_.Commit(transaction, [this, sender, id = transaction.write_id](
                                   CommitResponse answer) {
      control_.Post(ControlCommitCompleted{sender, id, std::move(answer)});
    });
  };
  ports.send_peer = [this](const HostId& to, const PeerMessage& message) {
    return mesh_->Send(to, message);
  };
  ports.broadcast = [this](const PeerMessage& message) {
    mesh_->Broadcast(message);
  };
  ports.post_request_event = [this](RequestEvent event) {
    requests_.Post(std::move(event));
  };
  ports.post_placer_event = [this](PlacerEvent event) {
    placer_.Post(std::move(event));
  };
  ports.respond_to_operator = [this](std::uint64_t call,
                                     HttpServerResponse reply) {
    operator_server_.Respond(call, std::move(reply));
  };
  ports.respond_to_caller = [this](std::uint64_t call,
                                   HttpServerResponse reply) {
    caller_server_.Respond(call, std::move(reply));
  };
  ports.collect_state = [this](std::uint64_t call) { CollectState(call); };
  ports.wall_time = &WallClockNow;
  return ports;
}

PlacerCallbacks EntryHost::MakePlacerPorts() {
  PlacerCallbacks ports;
  ports.commit = [this](const TableTransaction& transaction) {
    table_.Commit(transaction,
                  [this, id = transaction.write_id](CommitResponse answer) {
                    placer_.Post(PlacerCommitCompleted{id, std::move(answer)});
                  });
  };
  ports.send_worker_request = [this](const WorkerRequest& call) {
    CallWorker(call);
  };
  ports.publish_committed_rows = [this](std::vector<TableRow> rows) {
    control_.Post(RowsCommitted{std::move(rows)});
  };
  ports.request_refresh = [this](std::uint64_t token) {
    control_.Post(RefreshRequested{token});
  };
  ports.wall_time = &WallClockNow;
  return ports;
}

void EntryHost::CallWorker(const WorkerRequest& call) {
  HttpRequest request;
  request.method = call.kind == WorkerRequestKind::kList ? "GET" : "POST";
  request.url = "http://" + call.address + std::string(PathOf(call.kind));
  request.headers = {{"X-Host", settings_.host.value()}};
  request.body = EncodeWorkerCall(call);
  request.timeout = call.timeout;
  request.connect_timeout = std::min(request.connect_timeout, call.timeout);
  WorkerResponse reply;
  reply.worker = call.worker;
  reply.request_id = call.request_id;
  auto done = [this, kind = call.kind,
               reply](const HttpResponse& answer) mutable {
    reply.status = answer.maybe_sent ? WorkerResponseStatus::kNoResponse
                                     : WorkerResponseStatus::kNotSent;
    if (answer.ok()) DecodeWorkerReply(kind, answer.status, answer.body, reply);
    placer_.Post(WorkerResponseReceived{std::move(reply)});
  };
  if (worker_http_.Send(std::move(request), done)) return;
  reply.status = WorkerResponseStatus::kNotSent;
  placer_.Post(WorkerResponseReceived{std::move(reply)});
}

// --- Calls and peers ---

void EntryHost::OnCallerCall(HttpServerRequest call) {
  const std::uint64_t id = call.id;
  if (closing_) {
    const Outcome refused{OutcomeState::kNotRun, 0, {}, ResultCode::kStopping};
    caller_server_.Respond(id, MakeCallerResponse(refused, "stopping", ""));
    return;
  }
  const bool post = call.method == "POST";
  const bool request = post && (call.path.starts_with("/v1/requests/") ||
                                call.path == "/v1/tickets");
  const bool job =
      call.path == "/v1/jobs" || call.path.starts_with("/v1/jobs/");
  bool taken = false;
  if (request) {
    taken = requests_.TryPost(CallerRequestReceived{std::move(call)});
  } else if (job) {
    taken = control_.TryPost(JobRequestReceived{std::move(call)});
  } else if (call.path == "/healthz") {
    HttpServerResponse reply;
    reply.status = stopping_ ? 503 : 200;
    reply.body = stopping_ ? R"({"state":"stopping"})" : R"({"state":"up"})";
    caller_server_.Respond(id, std::move(reply));
    return;
  } else {
    caller_server_.Respond(
        id, MakeErrorResponse({ResultCode::kNotFound, "no such call"}));
    return;
  }
  if (taken) return;
  caller_server_.Respond(id, MakeErrorResponse({ResultCode::kOverloaded,
                                                "too many requests wait"}));
}

void EntryHost::OnPeerEvent(PeerEvent event) {
  const auto* received = std::get_if<PeerMessageReceived>(&event);
  if (received == nullptr) {
    requests_.Post(event);
    control_.Post(std::move(event));
    return;
  }
  const PeerMessage& message = received->message;
  if (std::holds_alternative<Leaving>(message)) {
    requests_.Post(event);
    control_.Post(std::move(event));
    return;
  }
  const bool rows = std::holds_alternative<RowsPush>(message) ||
                    std::holds_alternative<RowsRequest>(message);
  if (rows) {
    control_.Post(std::move(event));
  } else {
    requests_.Post(std::move(event));
  }
}

// --- State ---

void EntryHost::CollectState(std::uint64_t call) {
  const auto part = [this, call](std::string name) {
    return StateDumpRequested{
        [this, call, name = std::move(name)](std::string json) {
          control_.Post(StateDumpPart{call, name, std::move(json)});
        }};
  };
  requests_.Post(part("requests"));
  placer_.Post(part("placer"));
  control_.Post(StateDumpPart{call, "traffic", TrafficState()});
}

std::string EntryHost::TrafficState() const {
  const HttpClientCounters targets = target_http_.counts();
  const HttpClientCounters workers = worker_http_.counts();
  const TableClientCounts table = table_.counts();
  const HttpServerCounters callers = caller_server_.counts();
  const HttpServerCounters operators = operator_server_.counts();
  const PeerMeshCounters peers = mesh_->counters();
  const nlohmann::json out = {
      {"targets",
       {{"requests", targets.requests},
        {"faults", targets.errors},
        {"bytes_sent", targets.bytes_sent},
        {"bytes_received", targets.bytes_received}}},
      {"workers",
       {{"requests", workers.requests},
        {"faults", workers.errors},
        {"bytes_sent", workers.bytes_sent},
        {"bytes_received", workers.bytes_received}}},
      {"table",
       {{"reads", table.reads},
        {"writes", table.writes},
        {"failures", table.failures},
        {"bytes_sent", table.bytes_sent},
        {"bytes_received", table.bytes_received}}},
      {"callers",
       {{"connections", callers.connections},
        {"calls", callers.calls},
        {"refused", callers.refused},
        {"timed_out", callers.timed_out}}},
      {"operators",
       {{"calls", operators.calls}, {"refused", operators.refused}}},
      {"peers",
       {{"bytes_sent", peers.bytes_sent},
        {"bytes_received", peers.bytes_received},
        {"frames_sent", peers.frames_sent},
        {"frames_received", peers.frames_received},
        {"bad_frames", peers.bad_frames},
        {"unauthorised", peers.unauthorised},
        {"silent", peers.idle_timeouts},
        {"closed", peers.closed},
        {"refused_full", peers.refused_full}}},
      {"rings",
       {{"requests", requests_.waiting()},
        {"control", control_.waiting()},
        {"placer", placer_.waiting()},
        {"refused",
         requests_.refused() + control_.refused() + placer_.refused()}}}};
  return out.dump();
}

// --- Planned stop ---

bool EntryHost::WaitFor(const std::atomic<bool>& done,
                        TimePoint give_up) const {
  while (!done && BootClock::now() < give_up) {
    std::this_thread::sleep_for(kStopPoll);
  }
  return done;
}

void EntryHost::RefuseLateCalls() {
  // Callers and peers that have yet to notice the stop are still told that
  // their requests were not run.
  caller_server_.StopAccepting();
  std::this_thread::sleep_for(kStopLinger);
  closing_ = true;
  std::promise<void> handled;
  requests_.Post(StateDumpRequested{
      [&handled](const std::string& /*state*/) { handled.set_value(); }});
  handled.get_future().wait();
}

void EntryHost::Stop() {
  const TimePoint give_up = BootClock::now() + settings_.stop_timeout;
  stopping_ = true;
  mesh_->Broadcast(Leaving{incarnation_});
  placer_.Post(PlacerStopRequested{});
  requests_idle_ = false;
  requests_.Post(StopRequests{});
  if (!WaitFor(requests_idle_, give_up)) {
    LogWarning(LogPart::kMain, "requests were still running at the stop");
  }
  control_.Post(ControlStopRequested{});
  if (!WaitFor(control_stopped_, give_up)) {
    LogWarning(LogPart::kShare, "shares were not given back in time");
  }
  if (!WaitFor(placer_stopped_, give_up)) {
    LogWarning(LogPart::kLease, "the placer lease was not given back in time");
  }
  RefuseLateCalls();
  caller_server_.Stop();
  operator_server_.Stop();
  mesh_.reset();
  target_http_.Stop();
  worker_http_.Stop();
  platform_http_.Stop();
  requests_.Stop();
  control_.Stop();
  placer_.Stop();
}

}  // namespace chivewing
