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

// The process of an entry host: three duties (requests, control, placer), each
// on a thread of its own, joined by bounded rings with the HTTP servers and
// clients and the connections to peers.
class EntryHost {
 public:
  explicit EntryHost(Settings settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Binds the three addresses and starts all threads. kAddressInUse when one of
  // the addresses is taken.
  Status Start();

  // Planned stop: refuses new work as not run, gives the placer lease and the
  // shares back, finishes what runs and records outcomes, within the settings'
  // time.
  void Stop();

 private:
  void MakeFlows(TimePoint now);
  RequestCallbacks MakeRequestPorts();
  ControlPlaneCallbacks MakeControlPorts();
  PlacerCallbacks MakePlacerPorts();
  void StartDuties();
  Status StartServers();
  Result<std::unique_ptr<PeerMesh>> StartMesh();

  void OnCallerCall(HttpServerRequest call);
  void OnPeerEvent(PeerEvent event);
  void CallTarget(DispatchId dispatch, HttpRequest request);
  void CallWorker(const WorkerRequest& call);
  void CollectState(std::uint64_t call);
  std::string TrafficState() const;
  void RefuseLateCalls();
  bool WaitFor(const std::atomic<bool>& done, TimePoint give_up) const;

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
  std::unique_ptr<ControlPlaneController> control_plane_controller_;
  std::unique_ptr<PlacerController> placer_controller_;
  EventLoopThread<RequestEvent> requests_;
  EventLoopThread<ControlPlaneEvent> control_;
  EventLoopThread<PlacerEvent> placer_;
  std::atomic<bool> requests_idle_{false};
  std::atomic<bool> control_stopped_{false};
  std::atomic<bool> placer_stopped_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> closing_{false};  // calls no longer reach the duties
};

}  // namespace chivewing
