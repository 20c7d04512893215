#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/instance_info.h"
#include "routing/instance_manager.h"
#include "routing/load_report.h"
#include "routing/load_report_scheduler.h"
#include "routing/peer_load_tracker.h"
#include "routing/request_class.h"
#include "routing/request_queue.h"
#include "routing/retry_budget.h"
#include "routing/router_effect.h"
#include "routing/router_request.h"
#include "routing/router_settings.h"
#include "routing/router_state.h"
#include "routing/target_outcome.h"

namespace chivewing {

// Decides where each request of an entry host runs: on an instance assigned to
// this host, at a peer entry host of the zone, or later, after waiting in a
// queue. Does no I/O and reads no clock: each call takes an event and appends
// effects for the caller to carry out, in order. Not thread-safe.
//
// Each request accepted by Submit ends in exactly one RespondToCaller (local
// caller) or RespondToPeer (forwarded). A result code of the not-run group is
// only given when no dispatch or forward of the request can have run.
class Router {
 public:
  // Forward ids include the process's `incarnation`, so that a response meant
  // for an earlier process of the same host matches no forward of this one.
  explicit Router(const RouterSettings& settings = {},
                  std::uint64_t incarnation = 0);

  // Replaces all request classes. Requests in progress keep theirs.
  void SetClasses(TimePoint now, const std::vector<RequestClass>& classes,
                  RouterEffects& out);

  // Adds an instance, or updates its address, slots, connections, epoch and
  // state. With `taken_over`, the former assignee may have left requests
  // running: all slots and connections count as busy until the instance's
  // status or the longest run time shows otherwise.
  void AddInstance(TimePoint now, const InstanceInfo& info, bool taken_over,
                   RouterEffects& out);
  // The assignment is lost or the instance is gone: it gets no new requests.
  void RemoveInstance(TimePoint now, const InstanceId& id, RouterEffects& out);
  void SetInstanceState(TimePoint now, const InstanceId& id,
                        InstanceState state, RouterEffects& out);
  // Applies a status of the instance, requested at `requested_at`. Its counts
  // bound the abandoned requests and inherited connections that had arrived by
  // then.
  void ApplyStatus(TimePoint now, const InstanceId& id,
                   const TargetStatus& status, TimePoint requested_at,
                   RouterEffects& out);

  // Accepts a request. Fails with kBadRequest and no effects when a request
  // with this id is in progress.
  Status Submit(TimePoint now, const RouterRequest& request,
                RouterEffects& out);
  // Cancels a request that still waits here; one that was sent continues.
  void Cancel(TimePoint now, const RequestId& id, RouterEffects& out);

  // A dispatch ended. An id that is no longer in progress is ignored.
  void OnDispatchCompleted(TimePoint now, DispatchId dispatch,
                           TargetOutcome outcome, RouterEffects& out);
  // A probe ended; without a status when it failed.
  void OnProbeCompleted(TimePoint now, ProbeId probe,
                        const std::optional<TargetStatus>& status,
                        RouterEffects& out);

  // A connection to a peer of the zone was established.
  void AddPeer(TimePoint now, const HostId& peer, RouterEffects& out);
  // The peer is gone or unresponsive: the outcome of forwards to it is unknown.
  void OnPeerLost(TimePoint now, const HostId& peer, RouterEffects& out);
  // The peer is stopping as planned: it gets no further forwards, and still
  // responds to those that it has.
  void OnPeerLeaving(const HostId& peer) { peers_.Remove(peer); }
  void OnLoadReport(TimePoint now, const HostId& peer, const LoadReport& report,
                    RouterEffects& out);
  // The peer responded to a forward. For a forward that was never sent, the
  // caller passes kOverloaded and an empty report.
  void OnForwardCompleted(TimePoint now, const HostId& peer,
                          ForwardId forward_id, ResultCode code,
                          const LoadReport& report, RouterEffects& out);

  // Starts a planned stop: new requests are rejected as not run, the others are
  // finished.
  void BeginStop(TimePoint now, RouterEffects& out);
  // True when no request waits, runs or is forwarded.
  bool idle() const;

  // Handles deadlines, probes and load reports that are due at `now`.
  void Tick(TimePoint now, RouterEffects& out);
  // When Tick is next due; empty when nothing is pending.
  std::optional<TimePoint> NextWakeTime() const;

  RouterState State(TimePoint now) const;

 private:
  class Impl;

 private:
  enum class RequestKey : std::uint64_t {};
  enum class Phase : std::uint8_t { kWaiting, kDispatched, kForwarded };

  struct Request {
    RequestId id;
    std::shared_ptr<const RequestClass> policy;
    EntryName service;
    std::optional<ForwardOrigin> origin;
    bool claimed = false;
    bool may_forward = true;
    TimePoint deadline;
    TimePoint timer;  // key of its entry in timers_
    Phase phase = Phase::kWaiting;
    DispatchId dispatch{};   // while dispatched
    ForwardId forward_id{};  // while forwarded
    // Last outcome after which the request may have run.
    std::optional<ResultCode> unknown_outcome;
    // Reason of the last attempt that did not run.
    ResultCode last_not_run_code = ResultCode::kNoInstance;
    // Instance of the last dispatch, avoided by a retry.
    std::optional<InstanceKey> avoid;
  };
  struct DispatchRecord {
    RequestKey request{};
    InstanceRef instance;
    TimePoint sent_at;
    Duration longest_run{};
    bool fresh_connection = false;
  };
  struct ForwardRecord {
    RequestKey request{};
    HostId peer;
    EntryName service;
  };
  struct ClassRecord {
    std::shared_ptr<const RequestClass> policy;
    RetryBudget budget{0};
    std::uint32_t waiting = 0;
    std::uint32_t in_progress = 0;
  };

  static EntryName ServiceOf(const RequestClass& policy);
  static QueuePosition PositionOf(RequestKey key, const Request& request);
  // Returns the code to reject a new request with, or kOk.
  ResultCode CheckAdmission(const RouterRequest& request) const;
  void Reject(const RouterRequest& request, ResultCode code,
              RouterEffects& out);
  RequestKey Insert(TimePoint now, const RouterRequest& request);

  // Sends the request to an instance or a peer, or queues it.
  void Place(TimePoint now, RequestKey key, RouterEffects& out);
  bool TryDispatch(TimePoint now, RequestKey key, RouterEffects& out);
  bool TryForward(TimePoint now, RequestKey key, Duration local_wait,
                  RouterEffects& out);
  void Enqueue(TimePoint now, RequestKey key, RouterEffects& out);
  void Dequeue(RequestKey key, Request& request);
  // Expected wait of a request with `ahead` others before it in the queue;
  // empty when no instance has usable slots.
  std::optional<Duration> EstimateWait(const EntryName& service,
                                       std::size_t ahead) const;
  Duration MeanServiceTime(const EntryName& service) const;
  // Dispatches and forwards waiting requests of the service while instances or
  // peers have room.
  void PlaceQueued(TimePoint now, const EntryName& service, RouterEffects& out);

  // Handles an attempt that ended with `code`, which is not kOk: retries the
  // request or finishes it.
  void AttemptFailed(TimePoint now, RequestKey key, ResultCode code,
                     RouterEffects& out);
  void FinishRequest(RequestKey key, ResultCode code,
                     std::optional<DispatchId> dispatch,
                     std::optional<ForwardId> forward_id, RouterEffects& out);
  void SendResponse(const Request& request, ResultCode code,
                    std::optional<DispatchId> dispatch,
                    std::optional<ForwardId> forward_id, RouterEffects& out);
  void SetTimer(RequestKey key, Request& request, TimePoint at);
  // The deadline of the request, or the grace time after it, has passed.
  void OnTimer(TimePoint now, RequestKey key, RouterEffects& out);
  // Gives up an attempt whose outcome did not arrive.
  void AbandonAttempt(TimePoint now, RequestKey key, RouterEffects& out);
  Duration LongestRun(const EntryName& service) const;

  EntryLoad LoadOf(const EntryName& service) const;
  void SendDueLoadReports(TimePoint now, RouterEffects& out);
  void UpdateCapacity(const EntryName& service);
  // Must be called after each event: places waiting requests of the service and
  // sends load reports that are due.
  void OnServiceChanged(TimePoint now, const EntryName& service,
                        RouterEffects& out);

  RouterSettings settings_;
  InstanceManager instances_;
  PeerLoadTracker peers_;
  LoadReportScheduler report_scheduler_;
  std::unordered_map<EntryName, ClassRecord> classes_;
  std::unordered_map<EntryName, RequestQueue> queues_;
  std::unordered_map<RequestKey, Request> requests_;
  std::unordered_map<RequestId, RequestKey> keys_by_id_;
  std::unordered_map<DispatchId, DispatchRecord> dispatches_;
  std::unordered_map<ForwardId, ForwardRecord> forwards_;
  std::set<std::pair<TimePoint, RequestKey>> timers_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_dispatch_ = 0;
  std::uint64_t last_forward_ = 0;
  bool stopping_ = false;
  RouterCounters counters_;
};

}  // namespace chivewing
