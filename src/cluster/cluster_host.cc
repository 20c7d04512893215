#include "cluster/cluster_host.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <variant>

#include "base/log.h"
#include "cluster/lease_rank.h"
#include "cluster/metrics_text.h"
#include "cluster/verified_starts.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 16384;
// Peers push rows; polling the table finds rows that were not pushed.
constexpr milliseconds kDispatchingPollInterval{100};
constexpr milliseconds kSuccessorPollInterval{300};
// Hosts that are far from taking the lease are fed by the dispatching host:
// what they read only grows the volume, by their number times the rows.
constexpr milliseconds kStandbyPollInterval{1000};
// Hosts that are next in line for the lease.
constexpr std::size_t kSuccessors = 8;
// How long callers are still served after a graceful stop has begun.
constexpr milliseconds kMaxStopGracePeriod{2500};
constexpr milliseconds kMaxTickInterval{500};
constexpr milliseconds kGatewayOfferInterval{1000};
const char* const kMeshKey = "chivewing-cluster";

HostRow MakeHostRow(const ClusterSettings& settings,
                    std::uint64_t incarnation) {
  return {settings.host,
          settings.zone,
          settings.peer_address,
          incarnation,
          ProcessorMilli(settings),
          /*takes_worker_calls=*/true,
          /*takes_job_feed=*/true,
          /*takes_poll_incarnations=*/true,
          /*takes_start_incarnations=*/true};
}

}  // namespace

ClusterHost::ClusterHost(ClusterSettings settings,
                         const PlatformInterface& platform)
    : settings_(std::move(settings)),
      platform_(platform),
      verified_platform_(WithVerifiedStarts(platform)),
      incarnation_(static_cast<std::uint64_t>(WallClockNow().count())),
      own_row_(MakeHostRow(settings_, incarnation_)),
      desired_state_(
          platform,
          [this](auto run) { Post(LoopWork::kTable, std::move(run)); }),
      table_watcher_(
          platform.table, HostRowKey(settings_.host),
          [this](auto run) { Post(LoopWork::kTable, std::move(run)); },
          [this](TimePoint now, const TableRow& row) { OnRow(now, row); }),
      host_row_writer_(
          platform.table, table_watcher_, own_row_,
          [this](auto run) { Post(LoopWork::kTable, std::move(run)); }),
      caller_requests_(
          platform.table, desired_state_.cache(), job_status_,
          {.post =
               [this](auto run) { Post(LoopWork::kCallers, std::move(run)); },
           .respond_to_caller =
               [this](std::uint64_t request, const CallerResponse& response) {
                 caller_server_->Respond(request,
                                         platform_.encode_response(response));
               },
           .on_row = [this](TimePoint now,
                            const TableRow& row) { OnCallerRow(now, row); },
           .is_table_unreachable =
               [this](TimePoint now) {
                 return table_watcher_.IsTableUnreachable(now);
               },
           .wall_clock = [] { return WallClockNow(); },
           .decode_job = platform.decode_job,
           .table_clock =
               [this](TimePoint now) { return table_watcher_.clock().At(now); },
           .time_since_desired_state_read =
               [this](TimePoint now) {
                 return desired_state_.TimeSinceLastRead(now);
               }}),
      worker_calls_(verified_platform_, incarnation_,
                    {.send =
                         [this](const HostId& to, const PeerMessage& message) {
                           return mesh_->Send(to, message);
                         },
                     .zone_of =
                         [this](const WorkerId& worker) {
                           return ZoneOfWorker(worker);
                         }}),
      worker_gateway_(
          verified_platform_,
          {.post = [this](auto run) { Post(LoopWork::kPeers, std::move(run)); },
           .send =
               [this](const HostId& to, const PeerMessage& message) {
                 return mesh_->Send(to, message);
               }}),
      dispatcher_runner_(
          BootClock::now(), settings_, incarnation_, worker_calls_.interface(),
          table_watcher_,
          {[this](LoopWork work, auto run) { Post(work, std::move(run)); },
           [this](LoopWork work) {
             event_loop_.TryPost({work, [](TimePoint) {}});
           },
           [] { return WallClockNow(); },
           [this](TimePoint now, const std::vector<TableRow>& rows) {
             for (const TableRow& row : rows) table_watcher_.Apply(now, row);
           },
           [this](const AdviceRequest& request) { SendAdviceRequest(request); },
           [this] { worker_calls_.DropAll(); }}),
      event_loop_(kRingCapacity) {}

ClusterHost::~ClusterHost() {
  dispatcher_runner_.StopLease();
  event_loop_.Stop();
}

void ClusterHost::Post(LoopWork work, std::function<void(TimePoint)> run) {
  event_loop_.Post({work, std::move(run)});
}

Status ClusterHost::Start() {
  Status servers_started = StartServers();
  if (!servers_started) return servers_started;
  Status metrics_started = StartMetrics();
  if (!metrics_started) return metrics_started;
  Status mesh_started = StartMesh();
  if (!mesh_started) return mesh_started;
  event_loop_.Start([] { return BootClock::now(); },
                    [this](TimePoint now, std::vector<Event>& events) {
                      return HandleEvents(now, events);
                    });
  dispatcher_runner_.StartLease([] { return BootClock::now(); });
  return Ok();
}

Status ClusterHost::StartServers() {
  HttpServerOptions options;
  options.address = settings_.caller_address;
  caller_server_ = std::make_unique<HttpServer>(options);
  Status caller_server_started =
      caller_server_->Start([this](HttpServerRequest request) {
        Post(LoopWork::kCallers, [this,
                                  request = std::move(request)](TimePoint now) {
          caller_requests_.OnRequest(
              now, request.id, platform_.decode_request(request), request.body);
        });
      });
  if (!caller_server_started) return caller_server_started;
  options.address = settings_.ready_address;
  ready_server_ = std::make_unique<HttpServer>(options);
  return ready_server_->Start([this](const HttpServerRequest& request) {
    OnReadinessRequest(request);
  });
}

Status ClusterHost::StartMetrics() {
  if (settings_.metrics_address.empty()) return Ok();
  HttpServerOptions options;
  options.address = settings_.metrics_address;
  metrics_server_ = std::make_unique<HttpServer>(options);
  return metrics_server_->Start([this](const HttpServerRequest& request) {
    Post(LoopWork::kCallers, [this, id = request.id](TimePoint now) {
      HttpServerResponse response;
      response.content_type = "text/plain; version=0.0.4";
      response.body = MetricsText(now);
      metrics_server_->Respond(id, std::move(response));
    });
  });
}

std::string ClusterHost::MetricsText(TimePoint now) const {
  ClusterMetrics metrics;
  metrics.ready = ready_;
  metrics.is_table_unreachable = table_watcher_.IsTableUnreachable(now);
  metrics.is_fed = table_watcher_.IsFed(now);
  metrics.desired_state_version = desired_state_.cache().state().version;
  metrics.desired_state_read_ago = desired_state_.TimeSinceLastRead(now);
  metrics.desired_state_failed_reads = desired_state_.failed_reads();
  metrics.jobs_known = job_status_.size();
  metrics.peers_up = peers_.connected().size();
  metrics.callers = &caller_requests_.counters();
  metrics.dispatcher = dispatcher_runner_.dispatcher();
  metrics.late_rows = dispatcher_runner_.late_rows();
  metrics.registrations_held_back =
      dispatcher_runner_.registrations_held_back();
  return WriteMetrics(metrics);
}

void ClusterHost::OnReadinessRequest(const HttpServerRequest& request) {
  HttpServerResponse response;
  response.status = ready_ ? 200 : 503;
  response.body = "{}";
  ready_server_->Respond(request.id, std::move(response));
}

Status ClusterHost::StartMesh() {
  PeerMeshSettings mesh;
  mesh.host = settings_.host;
  mesh.zone = settings_.zone;
  mesh.incarnation = incarnation_;
  mesh.key = kMeshKey;
  mesh.listen_address = settings_.peer_address;
  Result<std::unique_ptr<PeerMesh>> started =
      PeerMesh::Start(mesh, [this](PeerEvent event) {
        Post(LoopWork::kPeers,
             [this, received_at = BootClock::now(), event = std::move(event)](
                 TimePoint now) { OnPeerEvent(now, received_at, event); });
      });
  if (!started) return started.error();
  mesh_ = std::move(started.value());
  return Ok();
}

TimePoint ClusterHost::AccountSince(TimePoint from, LoopWork work) {
  const TimePoint now = BootClock::now();
  loop_monitor_.Add(work, now - from);
  return now;
}

TimePoint ClusterHost::HandleEvents(TimePoint now, std::vector<Event>& events) {
  TimePoint measured = now;
  for (Event& event : events) {
    event.run(now);
    measured = AccountSince(measured, event.work);
  }
  host_row_writer_.Tick(now);
  OfferAsGateway(now);
  RequestJobFeed(now);
  if (feed_receiver_.TakeSilence(now)) table_watcher_.OnFeedSilent(now);
  TimePoint next = now + kMaxTickInterval;
  next = std::min(next, feed_receiver_.silent_at());
  next = std::min(next, desired_state_.Tick(now));
  dispatcher_runner_.OnDesiredState(now, desired_state_.cache().state());
  table_watcher_.set_min_poll_interval(TablePollInterval());
  table_watcher_.set_needs_all_rows(NeedsAllRows());
  next = std::min(next, table_watcher_.Tick(now));
  next = std::min(next, caller_requests_.Tick(now));
  measured = AccountSince(measured, LoopWork::kTableTimer);
  SendJobFeed(now);
  next = std::min(next, feed_sender_.due());
  const TimePoint deciding_from = measured;
  next = std::min(next, dispatcher_runner_.Tick(now));
  next = std::min(next, worker_calls_.Flush(now));
  next = std::min(next, worker_gateway_.Tick(now));
  measured = AccountSince(measured, LoopWork::kDeciding);
  dispatcher_runner_.OnTickMeasured(measured, measured - deciding_from);
  lease_handover_.OnTurn(measured, measured - now);
  if (lease_handover_.IsDue(measured, dispatcher_runner_.dispatching(),
                            own_row_.processor_milli, strongest_peer_milli_)) {
    dispatcher_runner_.HandOver(measured);
  }
  loop_monitor_.AddIteration(measured - now, events.size(),
                             event_loop_.waiting());
  ready_ = !stopping_ && desired_state_.cache().ready() &&
           table_watcher_.ready() && !table_watcher_.IsTableUnreachable(now);
  LogLoad(now);
  LogFeed(now);
  return next;
}

void ClusterHost::LogFeed(TimePoint now) {
  const bool fed = table_watcher_.IsFed(now);
  if (std::exchange(was_fed_, fed) == fed) return;
  LogInfo(LogPart::kPeer,
          std::string(fed ? "job states come from the dispatching host"
                          : "job states come from the table") +
              " dispatching=" + dispatching_host_.value() +
              " revision=" + std::to_string(table_watcher_.cache().revision()));
}

milliseconds ClusterHost::TablePollInterval() const {
  if (dispatcher_runner_.dispatching()) return kDispatchingPollInterval;
  return lease_rank_ < kSuccessors ? kSuccessorPollInterval
                                   : kStandbyPollInterval;
}

bool ClusterHost::NeedsAllRows() const {
  return dispatcher_runner_.dispatching() || lease_rank_ < kSuccessors;
}

// The load of the dispatching host: without it, a lease that was lost to load
// cannot be told from one that was lost to the network.
void ClusterHost::LogLoad(TimePoint now) {
  const std::optional<std::string> summary = loop_monitor_.TakeSummary(now);
  if (!summary || !dispatcher_runner_.dispatching()) return;
  LogInfo(LogPart::kMain, "dispatcher load " + *summary + " " +
                              dispatcher_runner_.LoadSummary(now) + " " +
                              worker_calls_.LoadSummary());
}

void ClusterHost::OnRow(TimePoint now, const TableRow& row) {
  const std::optional<JobId> changed_job = job_status_.OnRow(row);
  if (changed_job) feed_sender_.AddJob(now, *changed_job);
  if (IsFeedRow(row.key)) feed_sender_.AddRow(now, row);
  if (row.key.starts_with(kHostRowPrefix)) OnHostRow(row);
  // Before the peers are disconnected: a dispatcher that ends here makes no
  // more calls, and its calls through them are not lost but forgotten.
  dispatcher_runner_.OnRow(now, row);
  if (row.key == LeaseManager::RowKey(ZoneId(kDispatcherZone))) OnLeaseRow(row);
}

void ClusterHost::OnLeaseRow(const TableRow& row) {
  const auto lease = row.value ? DecodeLeaseRow(*row.value) : std::nullopt;
  if (!lease || lease->host == dispatching_host_) return;
  dispatching_host_ = lease->host;
  LogInfo(LogPart::kPeer,
          "dispatching host changed to " + dispatching_host_.value());
  feed_receiver_.set_sender(
      dispatching_host_ == settings_.host ? HostId() : dispatching_host_);
  ConnectPeers();
  AnnounceDispatching();
}

// Callers may ask any host for a state, and the rows are much larger than what
// callers ask for.
void ClusterHost::SendJobFeed(TimePoint now) {
  if (!dispatcher_runner_.dispatching()) {
    feed_sender_.Stop();
    return;
  }
  const RowCache& cache = table_watcher_.cache();
  for (const JobFeedSender::First& first :
       feed_sender_.TakeFirsts(now, cache, job_status_)) {
    mesh_->SendToEach(first.to, PeerMessage(first.feed));
  }
  const std::optional<JobFeed> feed =
      feed_sender_.TakeDue(now, cache.revision(), job_status_);
  if (!feed) return;
  const std::set<HostId>& receivers = feed_sender_.receivers();
  mesh_->SendToEach({receivers.begin(), receivers.end()}, PeerMessage(*feed));
}

void ClusterHost::RequestJobFeed(TimePoint now) {
  if (!table_watcher_.TakesFeed() || !peers_.TakesJobFeed(dispatching_host_))
    return;
  if (!feed_receiver_.TakeRequest(now)) return;
  mesh_->Send(dispatching_host_,
              PeerMessage(JobFeedRequest{table_watcher_.cache().revision()}));
}

void ClusterHost::OnJobFeed(TimePoint now, const PeerMessageReceived& received,
                            const JobFeed& feed) {
  for (const TableRow& row : feed.rows) table_watcher_.Apply(now, row);
  for (const JobStatusChange& change : feed.changes) {
    job_status_.OnChange(change);
  }
  if (feed_receiver_.OnFeed(now, received.from, received.incarnation, feed))
    table_watcher_.OnFed(now, feed.through);
}

// Pushes a row that was committed or read for a caller to the dispatching host,
// so that it need not wait for its next poll.
void ClusterHost::OnCallerRow(TimePoint now, const TableRow& row) {
  table_watcher_.Apply(now, row);
  if (dispatcher_runner_.dispatching() || dispatching_host_.empty()) return;
  RowsPush push;
  push.rows.push_back(row);
  mesh_->Send(dispatching_host_, PeerMessage(push));
}

void ClusterHost::OnHostRow(const TableRow& row) {
  const HostId host(row.key.substr(kHostRowPrefix.size()));
  if (host == settings_.host) {
    AnnounceDispatching();
    return;
  }
  if (!row.value) {
    peers_.RemoveRow(host);
    mesh_->RemovePeer(host);
    mesh_peers_.erase(host);
    return;
  }
  const Result<HostRow> decoded = DecodeHostRow(row.key, *row.value);
  if (!decoded) {
    LogError(LogPart::kPeer, "host row cannot be decoded; ignoring it key=" +
                                 row.key + " why=" + decoded.error().detail);
    return;
  }
  const HostRow* const known = peers_.FindRow(host);
  const bool moved =
      known != nullptr && known->address != decoded.value().address;
  peers_.SetRow(decoded.value());
  if (moved) mesh_peers_.erase(host);
  ConnectPeers();
}

// The dispatching host connects to all others, and they connect to it.
void ClusterHost::ConnectPeers() {
  for (const auto& [host, row] : peers_.rows()) {
    const bool wanted =
        dispatching_host_ == settings_.host || dispatching_host_ == host;
    if (wanted && mesh_peers_.insert(host).second) {
      mesh_->AddPeer({host, row.address});
    } else if (!wanted && mesh_peers_.erase(host) > 0) {
      mesh_->RemovePeer(host);
      peers_.OnDisconnected(host);
    }
  }
  lease_rank_ = LeaseRank(own_row_, peers_.rows());
  dispatcher_runner_.set_rank(lease_rank_);
  UpdateAdviceHosts();
}

// A host that reads the table seldom, or that the table turns away, learns from
// the dispatching host itself where to connect to.
void ClusterHost::AnnounceDispatching() {
  for (const auto& [peer, incarnation] : peers_.connected())
    AnnounceDispatchingTo(peer);
}

void ClusterHost::AnnounceDispatchingTo(const HostId& peer) {
  if (dispatching_host_ != settings_.host) return;
  RowsPush push;
  for (const std::string& key :
       {HostRowKey(settings_.host),
        LeaseManager::RowKey(ZoneId(kDispatcherZone))}) {
    if (const TableRow* const row = table_watcher_.cache().Find(key))
      push.rows.push_back(*row);
  }
  mesh_->Send(peer, PeerMessage(push));
}

// Responses to advice requests come over the connection that the other host
// has made: one that has not learned yet where to connect to is not asked.
void ClusterHost::UpdateAdviceHosts() {
  std::set<HostId> advice_hosts = peers_.AdviceHosts();
  advice_hosts.insert(settings_.host);
  dispatcher_runner_.set_advice_hosts(std::move(advice_hosts));
  // A host that has offered itself also has a connection to this one, for its
  // responses.
  worker_calls_.SetGateways(peers_.Gateways());
  strongest_peer_milli_ = peers_.StrongestConnectedMilli();
}

// Offers this host to the dispatching one, again and again because a message
// may be lost with its connection.
void ClusterHost::OfferAsGateway(TimePoint now) {
  if (now < next_gateway_offer_ || stopping_) return;
  if (!peers_.TakesWorkerCalls(dispatching_host_)) return;
  next_gateway_offer_ = now + kGatewayOfferInterval;
  mesh_->Send(dispatching_host_, PeerMessage(WorkerCallResponses{}));
}

ZoneId ClusterHost::ZoneOfWorker(const WorkerId& worker) const {
  const Dispatcher* const dispatcher = dispatcher_runner_.dispatcher();
  if (dispatcher == nullptr) return {};
  const auto found = dispatcher->state().workers.find(worker);
  if (found == dispatcher->state().workers.end()) return {};
  return found->second.registration().zone;
}

void ClusterHost::OnPeerEvent(TimePoint now, TimePoint received_at,
                              const PeerEvent& event) {
  if (const auto* up = std::get_if<PeerUp>(&event)) {
    peers_.OnConnected(up->host, up->incarnation);
    if (up->host == dispatching_host_) next_gateway_offer_ = now;
    AnnounceDispatchingTo(up->host);
    LogInfo(LogPart::kPeer, "peer connected host=" + up->host.value());
    UpdateAdviceHosts();
  } else if (const auto* down = std::get_if<PeerDown>(&event)) {
    peers_.OnDisconnected(down->host);
    feed_sender_.RemoveReceiver(down->host);
    UpdateAdviceHosts();
    LogWarning(LogPart::kPeer, "peer disconnected host=" + down->host.value());
  } else if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    OnPeerMessage(now, received_at, *received);
  }
}

void ClusterHost::OnPeerMessage(TimePoint now, TimePoint received_at,
                                const PeerMessageReceived& received) {
  if (const auto* push = std::get_if<RowsPush>(&received.message)) {
    for (const TableRow& row : push->rows) table_watcher_.Apply(now, row);
  } else if (const auto* feed = std::get_if<JobFeed>(&received.message)) {
    OnJobFeed(now, received, *feed);
  } else if (const auto* feed_request =
                 std::get_if<JobFeedRequest>(&received.message)) {
    feed_sender_.OnRequest(received.from, feed_request->since);
  } else if (const auto* request =
                 std::get_if<PeerAdviceRequest>(&received.message)) {
    OnPeerAdviceRequest(received.from, *request);
  } else if (const auto* peer_response =
                 std::get_if<PeerAdviceResponse>(&received.message)) {
    AdviceResponse response;
    response.ok = peer_response->answered;
    response.valid_for = peer_response->valid_for;
    for (const AdviceTicket& ticket : peer_response->approved) {
      response.approved.push_back({ticket.worker, ticket.ticket});
    }
    dispatcher_runner_.OnAdvice(now, peer_response->query_id, response);
  } else if (const auto* calls = std::get_if<WorkerCalls>(&received.message)) {
    worker_gateway_.OnCalls(now, received_at, received.from, *calls);
  } else if (const auto* responses =
                 std::get_if<WorkerCallResponses>(&received.message)) {
    if (peers_.OnOffer(received.from, received.incarnation))
      UpdateAdviceHosts();
    worker_calls_.OnResponses(now, received.from, *responses);
  }
}

void ClusterHost::SendAdviceRequest(const AdviceRequest& request) {
  const std::uint64_t id = request.request_id;
  if (request.advice_host == settings_.host) {
    platform_.request_advice(
        request, [this, id](const AdviceResponse& response) {
          Post(LoopWork::kPeers, [this, id, response](TimePoint now) {
            dispatcher_runner_.OnAdvice(now, id, response);
          });
        });
    return;
  }
  PeerAdviceRequest message;
  message.query_id = id;
  message.job = request.step.job;
  message.occurrence = request.step.occurrence;
  message.step = request.step.step;
  message.workers = request.workers;
  message.timeout = request.timeout;
  if (mesh_->Send(request.advice_host, PeerMessage(message))) return;
  Post(LoopWork::kPeers, [this, id](TimePoint now) {
    dispatcher_runner_.OnAdvice(now, id, AdviceResponse{});
  });
}

void ClusterHost::OnPeerAdviceRequest(const HostId& from,
                                      const PeerAdviceRequest& request) {
  AdviceRequest local_request;
  local_request.request_id = request.query_id;
  local_request.advice_host = settings_.host;
  local_request.step = {request.job, request.occurrence, request.step};
  local_request.workers = request.workers;
  local_request.timeout = request.timeout;
  platform_.request_advice(local_request, [this, from, id = request.query_id](
                                              const AdviceResponse& response) {
    PeerAdviceResponse peer_response;
    peer_response.query_id = id;
    peer_response.answered = response.ok;
    peer_response.valid_for = response.valid_for;
    for (const WorkerTicket& ticket : response.approved) {
      peer_response.approved.push_back({ticket.worker, ticket.ticket});
    }
    mesh_->Send(from, PeerMessage(peer_response));
  });
}

void ClusterHost::Stop() {
  ready_ = false;
  Post(LoopWork::kLease, [this](TimePoint now) {
    stopping_ = true;
    dispatcher_runner_.Stop(now);
  });
  const auto grace_period =
      std::min(kMaxStopGracePeriod, settings_.stop_timeout);
  std::this_thread::sleep_for(grace_period / 2);
  caller_server_->StopAccepting();
  std::this_thread::sleep_for(grace_period / 2);
  caller_server_->Stop();
  ready_server_->Stop();
  if (metrics_server_) metrics_server_->Stop();
  dispatcher_runner_.StopLease();
  event_loop_.Stop();
  mesh_.reset();
}

}  // namespace chivewing
