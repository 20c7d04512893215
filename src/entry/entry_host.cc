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
constexpr std::size_t kMaxRowsPerChangesPage = 2000;
// Events in each ring. Leaves room beyond what callers may fill
// (limits.ring_capacity, 8192 by default) for completions, which must not be
// lost.
constexpr std::size_t kRingCapacity = 65536;
constexpr std::chrono::milliseconds kMaxControlTickInterval{50};
constexpr std::chrono::milliseconds kMaxRequestTickInterval{100};
constexpr std::chrono::milliseconds kStopPollInterval{10};
constexpr std::chrono::milliseconds kLateRequestPeriod{300};

HttpServerOptions MakeServerOptions(const Settings& settings,
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

HttpServerOptions MakeCallerServerOptions(const Settings& settings) {
  HttpServerOptions out = MakeServerOptions(settings, settings.caller_address);
  out.threads = static_cast<unsigned>(settings.http_threads);
  return out;
}

HttpServerOptions MakeOperatorServerOptions(const Settings& settings) {
  HttpServerOptions out =
      MakeServerOptions(settings, settings.operator_address);
  out.bearer_key = settings.shared_key;
  return out;
}

TableClientOptions MakeTableClientOptions(const Settings& settings) {
  TableClientOptions out;
  out.addresses = settings.platform.addresses;
  out.host = settings.host.value();
  out.timeout = settings.platform.timeout;
  out.connect_timeout = std::min(out.connect_timeout, out.timeout);
  return out;
}

// Larger for each new process of the host, provided that its wall clock does
// not go back between them.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(WallClockNow().count());
}

}  // namespace

EntryHost::EntryHost(Settings settings)
    : settings_(std::move(settings)),
      incarnation_(NewIncarnation()),
      table_(platform_http_, MakeTableClientOptions(settings_)),
      caller_server_(MakeCallerServerOptions(settings_)),
      operator_server_(MakeOperatorServerOptions(settings_)),
      request_loop_(kRingCapacity),
      control_loop_(kRingCapacity),
      placer_loop_(kRingCapacity) {}

EntryHost::~EntryHost() = default;

// --- Start ---

Status EntryHost::Start() {
  // The peer address is bound first: success shows that no earlier process of
  // this host is still running.
  Result<std::unique_ptr<PeerMesh>> mesh = StartMesh();
  if (!mesh) return mesh.error();
  mesh_ = std::move(mesh).value();
  CreateControllers(BootClock::now());
  Status servers = StartServers();
  if (!servers) return servers;
  StartEventLoops();
  return Ok();
}

Result<std::unique_ptr<PeerMesh>> EntryHost::StartMesh() {
  return PeerMesh::Start(
      MakeMeshSettings(settings_, incarnation_),
      [this](PeerEvent event) { OnPeerEvent(std::move(event)); });
}

void EntryHost::CreateControllers(TimePoint now) {
  request_controller_ = std::make_unique<RequestController>(
      MakeRequestControllerSettings(settings_, incarnation_),
      MakeRequestCallbacks());
  control_controller_ = std::make_unique<ControlPlaneController>(
      MakeControlPlaneSettings(settings_, incarnation_),
      MakeControlPlaneCallbacks());
  placer_controller_ = std::make_unique<PlacerController>(
      now, MakePlacerControllerSettings(settings_, incarnation_),
      MakePlacerCallbacks());
}

Status EntryHost::StartServers() {
  Status callers = caller_server_.Start([this](HttpServerRequest request) {
    OnCallerRequest(std::move(request));
  });
  if (!callers) return callers;
  return operator_server_.Start([this](HttpServerRequest request) {
    const std::uint64_t id = request.id;
    if (control_loop_.TryPost(OperatorRequestReceived{std::move(request)}))
      return;
    operator_server_.Respond(
        id, MakeErrorResponse({ResultCode::kOverloaded,
                               "request refused: the control queue is full"}));
  });
}

void EntryHost::StartEventLoops() {
  request_loop_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (RequestEvent& event : events)
      request_controller_->HandleEvent(now, event);
    request_controller_->Tick(now);
    requests_idle_ = request_controller_->IsIdle();
    const TimePoint wake =
        request_controller_->NextWakeTime().value_or(TimePoint::max());
    return std::min(wake, now + kMaxRequestTickInterval);
  });
  control_loop_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (ControlPlaneEvent& event : events)
      control_controller_->HandleEvent(now, event);
    control_controller_->Tick(now);
    control_stopped_ = control_controller_->IsStopped();
    return now + kMaxControlTickInterval;
  });
  placer_loop_.Start(&BootClock::now, [this](TimePoint now, auto& events) {
    for (PlacerEvent& event : events)
      placer_controller_->HandleEvent(now, event);
    placer_controller_->Tick(now);
    placer_stopped_ = placer_controller_->IsStopped();
    return placer_controller_->NextWake(now);
  });
}

// --- Callbacks ---

RequestCallbacks EntryHost::MakeRequestCallbacks() {
  RequestCallbacks callbacks;
  callbacks.send_to_target = [this](DispatchId dispatch, HttpRequest request) {
    SendToTarget(dispatch, std::move(request));
  };
  callbacks.probe_target = [this](ProbeId probe, HttpRequest request) {
    const bool accepted = target_http_.Send(
        std::move(request), [this, probe](HttpResponse response) {
          request_loop_.Post(ProbeCompleted{probe, std::move(response)});
        });
    if (!accepted)
      request_loop_.Post(ProbeCompleted{probe, {.error = HttpError::kStopped}});
  };
  callbacks.send_peer = [this](const HostId& to, const PeerMessage& message) {
    return mesh_->Send(to, message);
  };
  callbacks.commit_claims = [this](const TableTransaction& transaction) {
    table_.Commit(transaction, [this, id = transaction.write_id](
                                   CommitResponse response) {
      request_loop_.Post(ClaimCommitCompleted{id, std::move(response)});
    });
  };
  callbacks.respond_to_caller = [this](std::uint64_t call_id,
                                       HttpServerResponse response) {
    caller_server_.Respond(call_id, std::move(response));
  };
  callbacks.notify_instance_drained = [this](const InstanceId& instance) {
    control_loop_.Post(InstanceDrained{instance});
  };
  return callbacks;
}

void EntryHost::SendToTarget(DispatchId dispatch, HttpRequest request) {
  const bool accepted = target_http_.Send(
      std::move(request), [this, dispatch](HttpResponse response) {
        request_loop_.Post(DispatchCompleted{dispatch, std::move(response)});
      });
  if (accepted) return;
  request_loop_.Post(
      DispatchCompleted{dispatch, {.error = HttpError::kStopped}});
}

ControlPlaneCallbacks EntryHost::MakeControlPlaneCallbacks() {
  ControlPlaneCallbacks callbacks;
  callbacks.fetch_changes = [this](std::uint64_t since,
                                   const std::vector<std::string>& prefixes) {
    table_.Changes(since, prefixes, kMaxRowsPerChangesPage,
                   [this](ChangesResponse response) {
                     control_loop_.Post(ChangesReceived{std::move(response)});
                   });
  };
  callbacks.fetch_host_list = [this] {
    const TimePoint asked_at = BootClock::now();
    table_.Hosts([this, asked_at](HostListResponse response) {
      control_loop_.Post(HostListReceived{std::move(response), asked_at});
    });
  };
  callbacks.read_rows = [this](std::uint64_t read,
                               const std::vector<std::string>& keys) {
    table_.Read(keys, [this, read](ReadResponse response) {
      control_loop_.Post(RowReadCompleted{read, std::move(response)});
    });
  };
  callbacks.commit = [this](CommitOrigin origin,
                            const TableTransaction& transaction) {
    table_.Commit(transaction, [this, origin, id = transaction.write_id](
                                   CommitResponse response) {
      control_loop_.Post(
          ControlCommitCompleted{origin, id, std::move(response)});
    });
  };
  callbacks.send_peer = [this](const HostId& to, const PeerMessage& message) {
    return mesh_->Send(to, message);
  };
  callbacks.broadcast = [this](const PeerMessage& message) {
    mesh_->Broadcast(message);
  };
  callbacks.post_request_event = [this](RequestEvent event) {
    request_loop_.Post(std::move(event));
  };
  callbacks.post_placer_event = [this](PlacerEvent event) {
    placer_loop_.Post(std::move(event));
  };
  callbacks.respond_to_operator = [this](std::uint64_t call_id,
                                         HttpServerResponse response) {
    operator_server_.Respond(call_id, std::move(response));
  };
  callbacks.respond_to_caller = [this](std::uint64_t call_id,
                                       HttpServerResponse response) {
    caller_server_.Respond(call_id, std::move(response));
  };
  callbacks.collect_state = [this](std::uint64_t call_id) {
    CollectState(call_id);
  };
  callbacks.wall_time = &WallClockNow;
  return callbacks;
}

PlacerCallbacks EntryHost::MakePlacerCallbacks() {
  PlacerCallbacks callbacks;
  callbacks.commit = [this](const TableTransaction& transaction) {
    table_.Commit(transaction, [this, id = transaction.write_id](
                                   CommitResponse response) {
      placer_loop_.Post(PlacerCommitCompleted{id, std::move(response)});
    });
  };
  callbacks.send_worker_request = [this](const WorkerRequest& request) {
    SendWorkerRequest(request);
  };
  callbacks.publish_committed_rows = [this](std::vector<TableRow> rows) {
    control_loop_.Post(RowsCommitted{std::move(rows)});
  };
  callbacks.request_refresh = [this](std::uint64_t token) {
    control_loop_.Post(RefreshRequested{token});
  };
  callbacks.wall_time = &WallClockNow;
  return callbacks;
}

void EntryHost::SendWorkerRequest(const WorkerRequest& request) {
  HttpRequest http_request;
  http_request.method =
      request.kind == WorkerRequestKind::kList ? "GET" : "POST";
  http_request.url =
      "http://" + request.address + std::string(PathOf(request.kind));
  http_request.headers = {{"X-Host", settings_.host.value()}};
  http_request.body = EncodeWorkerCall(request);
  http_request.timeout = request.timeout;
  http_request.connect_timeout =
      std::min(http_request.connect_timeout, request.timeout);
  WorkerResponse worker_response;
  worker_response.worker = request.worker;
  worker_response.request_id = request.request_id;
  auto done = [this, kind = request.kind,
               worker_response](const HttpResponse& response) mutable {
    worker_response.status = response.maybe_sent
                                 ? WorkerResponseStatus::kNoResponse
                                 : WorkerResponseStatus::kNotSent;
    if (response.ok())
      DecodeWorkerReply(kind, response.status, response.body, worker_response);
    placer_loop_.Post(WorkerResponseReceived{std::move(worker_response)});
  };
  if (worker_http_.Send(std::move(http_request), done)) return;
  worker_response.status = WorkerResponseStatus::kNotSent;
  placer_loop_.Post(WorkerResponseReceived{std::move(worker_response)});
}

// --- Incoming requests and peer events ---

void EntryHost::OnCallerRequest(HttpServerRequest request) {
  const std::uint64_t id = request.id;
  if (refusing_requests_) {
    const Outcome refused{OutcomeState::kNotRun, 0, {}, ResultCode::kStopping};
    caller_server_.Respond(id, MakeCallerResponse(refused, "stopping", ""));
    return;
  }
  const bool is_post = request.method == "POST";
  const bool is_request =
      is_post && (request.path.starts_with("/v1/requests/") ||
                  request.path == "/v1/tickets");
  const bool is_job =
      request.path == "/v1/jobs" || request.path.starts_with("/v1/jobs/");
  bool accepted = false;
  if (is_request) {
    accepted = request_loop_.TryPost(CallerRequestReceived{std::move(request)});
  } else if (is_job) {
    accepted = control_loop_.TryPost(JobRequestReceived{std::move(request)});
  } else if (request.path == "/healthz") {
    HttpServerResponse response;
    response.status = stopping_ ? 503 : 200;
    response.body = stopping_ ? R"({"state":"stopping"})" : R"({"state":"up"})";
    caller_server_.Respond(id, std::move(response));
    return;
  } else {
    caller_server_.Respond(id, MakeErrorResponse({ResultCode::kNotFound,
                                                  "unknown method or path"}));
    return;
  }
  if (accepted) return;
  caller_server_.Respond(
      id, MakeErrorResponse({ResultCode::kOverloaded,
                             "request refused: the event queue is full"}));
}

void EntryHost::OnPeerEvent(PeerEvent event) {
  const auto* received = std::get_if<PeerMessageReceived>(&event);
  if (received == nullptr) {
    request_loop_.Post(event);
    control_loop_.Post(std::move(event));
    return;
  }
  const PeerMessage& message = received->message;
  if (std::holds_alternative<Leaving>(message)) {
    request_loop_.Post(event);
    control_loop_.Post(std::move(event));
    return;
  }
  const bool is_row_message = std::holds_alternative<RowsPush>(message) ||
                              std::holds_alternative<RowsRequest>(message);
  if (is_row_message) {
    control_loop_.Post(std::move(event));
  } else {
    request_loop_.Post(std::move(event));
  }
}

// --- State ---

void EntryHost::CollectState(std::uint64_t call_id) {
  const auto part = [this, call_id](std::string name) {
    return StateDumpRequested{
        [this, call_id, name = std::move(name)](std::string json) {
          control_loop_.Post(StateDumpPart{call_id, name, std::move(json)});
        }};
  };
  request_loop_.Post(part("requests"));
  placer_loop_.Post(part("placer"));
  control_loop_.Post(StateDumpPart{call_id, "traffic", TrafficState()});
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
       {{"requests", request_loop_.waiting()},
        {"control", control_loop_.waiting()},
        {"placer", placer_loop_.waiting()},
        {"refused", request_loop_.refused() + control_loop_.refused() +
                        placer_loop_.refused()}}}};
  return out.dump();
}

// --- Planned stop ---

bool EntryHost::WaitFor(const std::atomic<bool>& done,
                        TimePoint deadline) const {
  while (!done && BootClock::now() < deadline) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  return done;
}

void EntryHost::RefuseLateRequests() {
  // Callers and peers that have not noticed the stop yet still get the response
  // that their requests were not run. The state dump serves as a marker: when
  // it is handled, all events posted before it have been handled too.
  caller_server_.StopAccepting();
  std::this_thread::sleep_for(kLateRequestPeriod);
  refusing_requests_ = true;
  std::promise<void> handled;
  request_loop_.Post(StateDumpRequested{
      [&handled](const std::string& /*state*/) { handled.set_value(); }});
  handled.get_future().wait();
}

void EntryHost::Stop() {
  const TimePoint deadline = BootClock::now() + settings_.stop_timeout;
  stopping_ = true;
  mesh_->Broadcast(Leaving{incarnation_});
  placer_loop_.Post(PlacerStopRequested{});
  requests_idle_ = false;
  request_loop_.Post(StopRequests{});
  if (!WaitFor(requests_idle_, deadline)) {
    LogWarning(LogPart::kMain,
               "requests still running at the stop timeout; stopping anyway");
  }
  control_loop_.Post(ControlStopRequested{});
  if (!WaitFor(control_stopped_, deadline)) {
    LogWarning(LogPart::kShare,
               "assignments not released by the stop timeout; stopping anyway");
  }
  if (!WaitFor(placer_stopped_, deadline)) {
    LogWarning(
        LogPart::kLease,
        "placer lease not released by the stop timeout; stopping anyway");
  }
  RefuseLateRequests();
  caller_server_.Stop();
  operator_server_.Stop();
  mesh_.reset();
  target_http_.Stop();
  worker_http_.Stop();
  platform_http_.Stop();
  request_loop_.Stop();
  control_loop_.Stop();
  placer_loop_.Stop();
}

}  // namespace chivewing
