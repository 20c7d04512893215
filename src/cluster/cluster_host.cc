#include "cluster/cluster_host.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <variant>

#include "base/log.h"
#include "cluster/metrics_text.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 16384;
// Desired state: how long one question waits for news, and after a fault.
constexpr milliseconds kStateWait{1000};
constexpr milliseconds kStateRetry{150};
constexpr milliseconds kAnnounceRetry{300};
// Rows are pushed by peers; following the table finds what was not.
constexpr milliseconds kLeaderPace{100};
constexpr milliseconds kFollowerPace{300};
// After a planned stop was asked for, callers are answered for this long.
constexpr milliseconds kServeAfterStop{2500};
constexpr milliseconds kLongestSleep{500};
const char* const kMeshKey = "chivewing-cluster";

}  // namespace

ClusterHost::ClusterHost(ClusterSettings settings,
                         const PlatformInterface& ports)
    : settings_(std::move(settings)),
      ports_(ports),
      incarnation_(static_cast<std::uint64_t>(WallClockNow().count())),
      rows_(
          ports.table, [this](Event event) { Post(std::move(event)); },
          [this](TimePoint now, const TableRow& row) { OnRow(now, row); }),
      callers_(
          ports.table, queues_, index_,
          {.post = [this](Event event) { Post(std::move(event)); },
           .answer =
               [this](std::uint64_t call, const CallerResponse& reply) {
                 caller_server_->Respond(call, ports_.encode_response(reply));
               },
           .on_row = [this](TimePoint now,
                            const TableRow& row) { OnOwnRow(now, row); },
           .is_table_unreachable =
               [this](TimePoint now) { return rows_.IsTableUnreachable(now); },
           .wall_clock = [] { return WallClockNow(); },
           .decode_job = ports.decode_job}),
      dispatch_(BootClock::now(), settings_, incarnation_, ports, rows_,
                {[this](Event event) { Post(std::move(event)); },
                 [] { return WallClockNow(); },
                 [this](TimePoint now, const std::vector<TableRow>& rows) {
                   for (const TableRow& row : rows) rows_.Apply(now, row);
                   RowsPush push;
                   push.rows = rows;
                   mesh_->Broadcast(PeerMessage(push));
                 },
                 [this](const AdviceRequest& ask) { Ask(ask); }}),
      duty_(kRingCapacity) {}

ClusterHost::~ClusterHost() { duty_.Stop(); }

void ClusterHost::Post(Event event) { duty_.Post(std::move(event)); }

Status ClusterHost::Start() {
  Status servers = StartServers();
  if (!servers) return servers;
  Status metrics = StartMetrics();
  if (!metrics) return metrics;
  Status mesh = StartMesh();
  if (!mesh) return mesh;
  duty_.Start([] { return BootClock::now(); },
              [this](TimePoint now, std::vector<Event>& events) {
                return Handle(now, events);
              });
  return Ok();
}

Status ClusterHost::StartServers() {
  HttpServerOptions options;
  options.address = settings_.caller_address;
  caller_server_ = std::make_unique<HttpServer>(options);
  Status callers = caller_server_->Start([this](HttpServerRequest call) {
    Post([this, call = std::move(call)](TimePoint now) {
      callers_.OnCall(now, call.id, ports_.decode_request(call), call.body);
    });
  });
  if (!callers) return callers;
  options.address = settings_.ready_address;
  ready_server_ = std::make_unique<HttpServer>(options);
  return ready_server_->Start(
      [this](const HttpServerRequest& call) { OnReadyCall(call); });
}

Status ClusterHost::StartMetrics() {
  if (settings_.metrics_address.empty()) return Ok();
  HttpServerOptions options;
  options.address = settings_.metrics_address;
  metrics_server_ = std::make_unique<HttpServer>(options);
  return metrics_server_->Start([this](const HttpServerRequest& call) {
    Post([this, id = call.id](TimePoint now) {
      HttpServerResponse reply;
      reply.content_type = "text/plain; version=0.0.4";
      reply.body = MetricsText(now);
      metrics_server_->Respond(id, std::move(reply));
    });
  });
}

std::string ClusterHost::MetricsText(TimePoint now) const {
  ClusterMetrics metrics;
  metrics.ready = ready_;
  metrics.is_table_unreachable = rows_.IsTableUnreachable(now);
  metrics.desired_state_version = queues_.state().version;
  metrics.jobs_known = index_.size();
  metrics.peers_up = peers_up_.size();
  metrics.callers = &callers_.counts();
  metrics.dispatcher = dispatch_.dispatcher();
  return WriteMetrics(metrics);
}

void ClusterHost::OnReadyCall(const HttpServerRequest& call) {
  HttpServerResponse reply;
  reply.status = ready_ ? 200 : 503;
  reply.body = "{}";
  ready_server_->Respond(call.id, std::move(reply));
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
        Post([this, event = std::move(event)](TimePoint now) {
          OnPeerEvent(now, event);
        });
      });
  if (!started) return started.error();
  mesh_ = std::move(started.value());
  return Ok();
}

TimePoint ClusterHost::Handle(TimePoint now, std::vector<Event>& events) {
  for (Event& event : events) event(now);
  WatchDesiredState(now);
  Announce(now);
  TimePoint next = now + kLongestSleep;
  rows_.set_min_poll_interval(dispatch_.dispatching() ? kLeaderPace
                                                      : kFollowerPace);
  next = std::min(next, rows_.Tick(now));
  next = std::min(next, callers_.Tick(now));
  next = std::min(next, dispatch_.Tick(now));
  if (!state_open_) next = std::min(next, state_next_);
  ready_ = !stopping_ && queues_.ready() && rows_.ready() &&
           !rows_.IsTableUnreachable(now);
  return next;
}

void ClusterHost::OnRow(TimePoint now, const TableRow& row) {
  index_.OnRow(row);
  if (row.key.starts_with(kHostRowPrefix)) OnHostRow(row);
  if (row.key.starts_with("placer/") && row.value) {
    if (const auto lease = DecodeLeaseRow(*row.value)) {
      if (lease->host != leader_) {
        leader_ = lease->host;
        LogInfo(LogPart::kPeer, "dispatching host is " + leader_.value());
        ConnectPeers();
      }
    }
  }
  dispatch_.OnRow(now, row);
}

// A row that this host has written or read for a caller goes to the
// dispatching host at once.
void ClusterHost::OnOwnRow(TimePoint now, const TableRow& row) {
  rows_.Apply(now, row);
  if (dispatch_.dispatching() || leader_.empty()) return;
  RowsPush push;
  push.rows.push_back(row);
  mesh_->Send(leader_, PeerMessage(push));
}

void ClusterHost::WatchDesiredState(TimePoint now) {
  if (state_open_ || now < state_next_) return;
  state_open_ = true;
  ports_.watch_desired_state(
      state_revision_, kStateWait, [this](const DesiredStateUpdate& news) {
        Post([this, news](TimePoint then) { OnDesiredState(then, news); });
      });
}

void ClusterHost::OnDesiredState(TimePoint now,
                                 const DesiredStateUpdate& news) {
  state_open_ = false;
  state_next_ = now;
  if (news.history_lost) {
    state_revision_ = 0;
    return;
  }
  if (!news.ok) {
    state_next_ = now + kStateRetry;
    return;
  }
  state_revision_ = news.revision;
  if (!news.state) {
    if (!queues_.ready()) state_next_ = now + kStateRetry;
    return;
  }
  const std::uint64_t version = news.state->version;
  if (queues_.Update(*news.state)) {
    LogInfo(LogPart::kCatalogue,
            "desired state in force version=" + std::to_string(version));
  }
}

// Writes the row by which the other hosts find this process.
void ClusterHost::Announce(TimePoint now) {
  if (announced_ || announce_open_ || !rows_.ready() || now < announce_next_) {
    return;
  }
  announce_open_ = true;
  const std::string key = HostRowKey(settings_.host);
  TableTransaction write;
  write.write_id =
      "host-" + settings_.host.value() + "-" + std::to_string(incarnation_);
  write.conditions = {{key, rows_.cache().version(key)}};
  write.writes = {{key, EncodeHostRow({settings_.host, settings_.zone,
                                       settings_.peer_address, incarnation_})}};
  ports_.table.commit(write, [this, write](const CommitResponse& answer) {
    Post([this, write, answer](TimePoint then) {
      announce_open_ = false;
      announce_next_ = then + kAnnounceRetry;
      for (const TableRow& row : answer.rows) {
        rows_.Apply(then, row);
        announced_ = announced_ || row.write_id == write.write_id;
      }
      announced_ = announced_ || answer.status == CommitStatus::kCommitted;
    });
  });
}

void ClusterHost::OnHostRow(const TableRow& row) {
  const HostId host(row.key.substr(kHostRowPrefix.size()));
  if (host == settings_.host) return;
  if (!row.value) {
    hosts_.erase(host);
    mesh_->RemovePeer(host);
    dialled_.erase(host);
    return;
  }
  const Result<HostRow> decoded = DecodeHostRow(row.key, *row.value);
  if (!decoded) {
    LogError(LogPart::kPeer, "unreadable row key=" + row.key +
                                 " why=" + decoded.error().detail);
    return;
  }
  const auto known = hosts_.find(host);
  const bool moved =
      known != hosts_.end() && known->second.address != decoded.value().address;
  hosts_[host] = decoded.value();
  if (moved) dialled_.erase(host);
  ConnectPeers();
}

// The dispatching host dials all others, and they dial it.
void ClusterHost::ConnectPeers() {
  std::size_t rank = 0;
  for (const auto& [host, row] : hosts_) {
    if (host < settings_.host) ++rank;
    const bool wanted = leader_ == settings_.host || leader_ == host;
    if (wanted && dialled_.insert(host).second) {
      mesh_->AddPeer({host, row.address});
    } else if (!wanted && dialled_.erase(host) > 0) {
      mesh_->RemovePeer(host);
      peers_up_.erase(host);
    }
  }
  dispatch_.set_rank(rank);
  UpdateAskers();
}

void ClusterHost::UpdateAskers() {
  std::set<HostId> askers = peers_up_;
  askers.insert(settings_.host);
  dispatch_.set_advice_hosts(std::move(askers));
}

void ClusterHost::OnPeerEvent(TimePoint now, const PeerEvent& event) {
  if (const auto* up = std::get_if<PeerUp>(&event)) {
    peers_up_.insert(up->host);
    LogInfo(LogPart::kPeer, "peer is up host=" + up->host.value());
    UpdateAskers();
  } else if (const auto* down = std::get_if<PeerDown>(&event)) {
    peers_up_.erase(down->host);
    UpdateAskers();
    LogWarning(LogPart::kPeer, "peer is down host=" + down->host.value());
  } else if (const auto* got = std::get_if<PeerMessageReceived>(&event)) {
    OnPeerMessage(now, *got);
  }
}

void ClusterHost::OnPeerMessage(TimePoint now,
                                const PeerMessageReceived& received) {
  if (const auto* push = std::get_if<RowsPush>(&received.message)) {
    for (const TableRow& row : push->rows) rows_.Apply(now, row);
  } else if (const auto* ask =
                 std::get_if<PeerAdviceRequest>(&received.message)) {
    AnswerPeerAsk(received.from, *ask);
  } else if (const auto* reply =
                 std::get_if<PeerAdviceResponse>(&received.message)) {
    AdviceResponse answer;
    answer.ok = reply->answered;
    answer.valid_for = reply->valid_for;
    for (const AdviceTicket& ticket : reply->approved) {
      answer.approved.push_back({ticket.worker, ticket.ticket});
    }
    dispatch_.OnAdvice(now, reply->query_id, answer);
  }
}

void ClusterHost::Ask(const AdviceRequest& ask) {
  const std::uint64_t id = ask.request_id;
  if (ask.advice_host == settings_.host) {
    ports_.request_advice(ask, [this, id](const AdviceResponse& answer) {
      Post([this, id, answer](TimePoint now) {
        dispatch_.OnAdvice(now, id, answer);
      });
    });
    return;
  }
  PeerAdviceRequest message;
  message.query_id = id;
  message.job = ask.step.job;
  message.occurrence = ask.step.occurrence;
  message.step = ask.step.step;
  message.workers = ask.workers;
  message.timeout = ask.timeout;
  if (mesh_->Send(ask.advice_host, PeerMessage(message))) return;
  Post([this, id](TimePoint now) {
    dispatch_.OnAdvice(now, id, AdviceResponse{});
  });
}

void ClusterHost::AnswerPeerAsk(const HostId& from,
                                const PeerAdviceRequest& ask) {
  AdviceRequest question;
  question.request_id = ask.query_id;
  question.advice_host = settings_.host;
  question.step = {ask.job, ask.occurrence, ask.step};
  question.workers = ask.workers;
  question.timeout = ask.timeout;
  ports_.request_advice(
      question, [this, from, id = ask.query_id](const AdviceResponse& answer) {
        PeerAdviceResponse reply;
        reply.query_id = id;
        reply.answered = answer.ok;
        reply.valid_for = answer.valid_for;
        for (const WorkerTicket& ticket : answer.approved) {
          reply.approved.push_back({ticket.worker, ticket.ticket});
        }
        mesh_->Send(from, PeerMessage(reply));
      });
}

void ClusterHost::Stop() {
  ready_ = false;
  Post([this](TimePoint now) {
    stopping_ = true;
    dispatch_.Stop(now);
  });
  const auto serve = std::min(kServeAfterStop, settings_.stop_timeout);
  std::this_thread::sleep_for(serve / 2);
  caller_server_->StopAccepting();
  std::this_thread::sleep_for(serve / 2);
  caller_server_->Stop();
  ready_server_->Stop();
  if (metrics_server_) metrics_server_->Stop();
  duty_.Stop();
  mesh_.reset();
}

}  // namespace chivewing
