#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "cluster/caller_request_handler.h"
#include "cluster/cluster_settings.h"
#include "cluster/desired_state_cache.h"
#include "cluster/dispatcher_runner.h"
#include "cluster/host_row.h"
#include "cluster/job_status_index.h"
#include "cluster/platform_interface.h"
#include "cluster/table_watcher.h"
#include "entry/event_loop_thread.h"
#include "http/http_server.h"
#include "peer/peer_mesh.h"

namespace chivewing {

// The process of an entry host on a platform: takes callers' jobs, and may hold
// the dispatcher's lease. One thread decides; servers, clients and the mesh
// hand it what arrives.
class ClusterHost {
 public:
  // `ports` outlives the host; its calls may end after Stop has begun.
  ClusterHost(ClusterSettings settings, const PlatformInterface& ports);
  ~ClusterHost();
  ClusterHost(const ClusterHost&) = delete;
  ClusterHost& operator=(const ClusterHost&) = delete;

  Status Start();
  // Planned stop: gives the lease back, goes on answering for a while, ends.
  void Stop();

 private:
  using Event = std::function<void(TimePoint)>;

  void Post(Event event);
  TimePoint Handle(TimePoint now, std::vector<Event>& events);
  Status StartServers();
  Status StartMesh();
  void OnReadyCall(const HttpServerRequest& call);
  Status StartMetrics();
  std::string MetricsText(TimePoint now) const;
  void OnRow(TimePoint now, const TableRow& row);
  void OnOwnRow(TimePoint now, const TableRow& row);
  void WatchDesiredState(TimePoint now);
  void OnDesiredState(TimePoint now, const DesiredStateUpdate& news);
  void Announce(TimePoint now);
  void OnHostRow(const TableRow& row);
  void ConnectPeers();
  void OnPeerEvent(TimePoint now, const PeerEvent& event);
  void OnPeerMessage(TimePoint now, const PeerMessageReceived& received);
  void Ask(const AdviceRequest& ask);
  void AnswerPeerAsk(const HostId& from, const PeerAdviceRequest& ask);
  void UpdateAskers();

  const ClusterSettings settings_;
  const PlatformInterface& ports_;
  const std::uint64_t incarnation_;
  DesiredStateCache queues_;
  JobStatusIndex index_;
  TableWatcher rows_;
  CallerRequestHandler callers_;
  DispatcherRunner dispatch_;
  std::map<HostId, HostRow> hosts_;  // the others
  std::set<HostId> peers_up_;
  std::set<HostId> dialled_;
  HostId leader_;

  bool state_open_ = false;
  TimePoint state_next_{};
  std::uint64_t state_revision_ = 0;
  bool announced_ = false;
  bool announce_open_ = false;
  TimePoint announce_next_{};
  std::atomic<bool> ready_{false};
  bool stopping_ = false;

  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;  // if it has an address
  std::unique_ptr<PeerMesh> mesh_;
  EventLoopThread<Event> duty_;
};

}  // namespace chivewing
