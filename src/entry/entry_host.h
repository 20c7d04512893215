#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "entry/control_plane_callbacks.h"
#include "entry/control_plane_event.h"
#include "entry/event_loop_thread.h"
#include "entry/placer_callbacks.h"
#include "entry/placer_event.h"
#include "entry/request_callbacks.h"
#include "entry/request_event.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/peer_mesh.h"
#include "settings/settings.h"
#include "store/table_client.h"

namespace chivewing {

class RequestController;
class ControlPlaneController;
class PlacerController;

// The process of an entry host: three controllers (requests, control plane,
// placer), each on its own event loop thread. Bounded rings carry events to
// them from each other, from the HTTP servers and clients and from the peer
// mesh.
class EntryHost {
 public:
  explicit EntryHost(Settings settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Binds the caller, operator and peer addresses and starts all threads.
  // Returns kAddressInUse when one of the addresses is in use.
  Status Start();

  // Planned stop: refuses new requests as not run, releases the placer lease
  // and the instance assignments, finishes the running requests and records
  // their outcomes. Waits for these at most settings.stop_timeout, then blocks
  // until all threads have ended.
  void Stop();

 private:
  void CreateControllers(TimePoint now);
  RequestCallbacks MakeRequestCallbacks();
  ControlPlaneCallbacks MakeControlPlaneCallbacks();
  PlacerCallbacks MakePlacerCallbacks();
  void StartEventLoops();
  Status StartServers();
  Result<std::unique_ptr<PeerMesh>> StartMesh();

  void OnCallerRequest(HttpServerRequest request);
  void OnPeerEvent(PeerEvent event);
  void SendToTarget(DispatchId dispatch, HttpRequest request);
  void SendWorkerRequest(const WorkerRequest& request);
  void CollectState(std::uint64_t call_id);
  std::string TrafficState() const;
  void RefuseLateRequests();
  bool WaitFor(const std::atomic<bool>& done, TimePoint deadline) const;

  const Settings settings_;
  const std::uint64_t incarnation_;
  HttpClient target_http_;
  HttpClient worker_http_;
  HttpClient platform_http_;
  TableClient table_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  std::unique_ptr<PeerMesh> mesh_;
  std::unique_ptr<RequestController> request_controller_;
  std::unique_ptr<ControlPlaneController> control_controller_;
  std::unique_ptr<PlacerController> placer_controller_;
  EventLoopThread<RequestEvent> request_loop_;
  EventLoopThread<ControlPlaneEvent> control_loop_;
  EventLoopThread<PlacerEvent> placer_loop_;
  std::atomic<bool> requests_idle_{false};
  std::atomic<bool> control_stopped_{false};
  std::atomic<bool> placer_stopped_{false};
  std::atomic<bool> stopping_{false};
  // True when caller requests are refused without reaching an event loop.
  std::atomic<bool> refusing_requests_{false};
};

}  // namespace chivewing
