#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "cluster/caller_request_handler.h"
#include "cluster/cluster_settings.h"
#include "cluster/desired_state_watcher.h"
#include "cluster/dispatcher_runner.h"
#include "cluster/host_row_writer.h"
#include "cluster/job_feed_receiver.h"
#include "cluster/job_feed_sender.h"
#include "cluster/job_status_index.h"
#include "cluster/lease_handover.h"
#include "cluster/loop_monitor.h"
#include "cluster/peer_directory.h"
#include "cluster/platform_interface.h"
#include "cluster/table_watcher.h"
#include "cluster/worker_call_forwarder.h"
#include "cluster/worker_gateway.h"
#include "entry/event_loop_thread.h"
#include "http/http_server.h"
#include "peer/peer_mesh.h"

namespace chivewing {

// The process of an entry host on the users' platform: accepts callers' jobs
// over HTTP, and dispatches them while it holds the dispatcher's lease. All
// state belongs to one event-loop thread, to which the HTTP servers, the
// clients and the peer mesh post events.
class ClusterHost {
 public:
  // `platform` must outlive the host; its calls may complete after Stop has
  // begun.
  ClusterHost(ClusterSettings settings, const PlatformInterface& platform);
  ~ClusterHost();
  ClusterHost(const ClusterHost&) = delete;
  ClusterHost& operator=(const ClusterHost&) = delete;

  Status Start();
  // Graceful stop: releases the lease, serves callers for a grace period, then
  // stops. Blocks until done.
  void Stop();

 private:
  struct Event {
    LoopWork work = LoopWork::kCallers;
    std::function<void(TimePoint)> run{};
  };

  void Post(LoopWork work, std::function<void(TimePoint)> run);
  TimePoint HandleEvents(TimePoint now, std::vector<Event>& events);
  // Returns the time, after adding the time since `from` to the kind of work.
  TimePoint AccountSince(TimePoint from, LoopWork work);
  std::chrono::milliseconds TablePollInterval() const;
  void LogLoad(TimePoint now);
  void LogFeed(TimePoint now);
  Status StartServers();
  Status StartMesh();
  void OnReadinessRequest(const HttpServerRequest& request);
  Status StartMetrics();
  std::string MetricsText(TimePoint now) const;
  void OnRow(TimePoint now, const TableRow& row);
  void SendJobFeed(TimePoint now);
  void RequestJobFeed(TimePoint now);
  void OnJobFeed(TimePoint now, const PeerMessageReceived& received,
                 const JobFeed& feed);
  // True if this host may have to dispatch soon, or does.
  bool NeedsAllRows() const;
  void OnCallerRow(TimePoint now, const TableRow& row);
  void OnHostRow(const TableRow& row);
  void OnLeaseRow(const TableRow& row);
  void ConnectPeers();
  void OnPeerEvent(TimePoint now, TimePoint received_at,
                   const PeerEvent& event);
  void OnPeerMessage(TimePoint now, TimePoint received_at,
                     const PeerMessageReceived& received);
  void SendAdviceRequest(const AdviceRequest& request);
  void OnPeerAdviceRequest(const HostId& from,
                           const PeerAdviceRequest& request);
  void UpdateAdviceHosts();
  void OfferAsGateway(TimePoint now);
  // If this host dispatches: sends the connected peers, or one of them, the
  // rows that say so and where it is.
  void AnnounceDispatching();
  void AnnounceDispatchingTo(const HostId& peer);
  ZoneId ZoneOfWorker(const WorkerId& worker) const;

  const ClusterSettings settings_;
  const PlatformInterface& platform_;
  const PlatformInterface verified_platform_;
  const std::uint64_t incarnation_;
  const HostRow own_row_;
  JobStatusIndex job_status_;
  DesiredStateWatcher desired_state_;
  TableWatcher table_watcher_;
  HostRowWriter host_row_writer_;
  CallerRequestHandler caller_requests_;
  WorkerCallForwarder worker_calls_;
  WorkerGateway worker_gateway_;
  DispatcherRunner dispatcher_runner_;
  PeerDirectory peers_;
  TimePoint next_gateway_offer_{};
  JobFeedSender feed_sender_;
  JobFeedReceiver feed_receiver_;
  std::set<HostId> mesh_peers_;
  HostId dispatching_host_;
  std::size_t lease_rank_ = 0;

  LoopMonitor loop_monitor_;
  LeaseHandover lease_handover_;
  std::int64_t strongest_peer_milli_ = 0;  // of the connected ones
  std::atomic<bool> ready_{false};
  bool stopping_ = false;
  bool was_fed_ = false;  // in the last turn of the loop

  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;  // may be null
  std::unique_ptr<PeerMesh> mesh_;
  EventLoopThread<Event> event_loop_;
};

}  // namespace chivewing
