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

// Decides where each request of an entry host runs: on an instance whose share
// this host holds, at a peer of the zone, or later. Does no I/O and reads no
// clock: each call takes an event and appends effects for the caller to carry
// out, in order. Not thread-safe.
//
// Each request that Submit took ends in exactly one Answer (local caller) or
// AnswerPeer (forwarded). A code of the not-run group is only given when no
// dispatch or forward of the request can have run.
class Router {
 public:
  // Hop ids hold the process's `incarnation`, so that an answer meant for an
  // earlier process of the same host matches no hop of this one.
  explicit Router(const RouterSettings& settings = {},
                  std::uint64_t incarnation = 0);

  // Replaces all request classes. Requests in progress keep theirs.
  void SetClasses(TimePoint now, const std::vector<RequestClass>& classes,
                  RouterEffects& out);

  // Adds an instance, or changes its address, size, epoch and state. Of one
  // that is `taken_over` from a holder that may have left work behind, all
  // slots and connections count as busy until its status or the longest run
  // time says otherwise.
  void AddInstance(TimePoint now, const InstanceInfo& info, bool taken_over,
                   RouterEffects& out);
  // The share is lost or the instance is gone: nothing new is sent there.
  void RemoveInstance(TimePoint now, const InstanceId& id, RouterEffects& out);
  void SetInstanceState(TimePoint now, const InstanceId& id,
                        InstanceState state, RouterEffects& out);
  // Takes an instance's own count, asked for at `requested_at`, as the upper
  // bound of work left behind there before that time.
  void ApplyStatus(TimePoint now, const InstanceId& id,
                   const TargetStatus& status, TimePoint requested_at,
                   RouterEffects& out);

  // Takes a request. Fails, with no effect, when its id is in progress.
  Status Submit(TimePoint now, const RouterRequest& request,
                RouterEffects& out);
  // Withdraws a request that still waits here; one that was sent goes on.
  void Cancel(TimePoint now, const RequestId& id, RouterEffects& out);

  // The end of a dispatch. An id that is no longer in progress is ignored.
  void OnDispatchCompleted(TimePoint now, DispatchId dispatch,
                           TargetOutcome outcome, RouterEffects& out);
  // The end of a probe; no status when it failed.
  void OnProbeCompleted(TimePoint now, ProbeId probe,
                        const std::optional<TargetStatus>& status,
                        RouterEffects& out);

  // A connection to a peer of the zone stands.
  void AddPeer(TimePoint now, const HostId& peer, RouterEffects& out);
  // The peer is gone or silent: forwards to it have an unknown end.
  void OnPeerLost(TimePoint now, const HostId& peer, RouterEffects& out);
  // The peer stops as planned: it gets no further forwards, and still answers
  // those that it has.
  void OnPeerLeaving(const HostId& peer) { peers_.Remove(peer); }
  void OnLoadReport(TimePoint now, const HostId& peer, const LoadReport& report,
                    RouterEffects& out);
  // The peer's answer to a forward. For one that was never sent the caller
  // passes kOverloaded and an empty report.
  void OnForwardCompleted(TimePoint now, const HostId& peer,
                          ForwardId forward_id, ResultCode code,
                          const LoadReport& report, RouterEffects& out);

  // Planned stop: refuses new requests as not run and finishes the others.
  void BeginStop(TimePoint now, RouterEffects& out);
  // Nothing waits, runs or is forwarded.
  bool idle() const;

  // Does what is due by `now`.
  void Tick(TimePoint now, RouterEffects& out);
  // When Tick has something to do next; empty when nothing is pending.
  std::optional<TimePoint> NextWakeTime() const;

  // Present state for dumps and metrics.
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
    TimePoint timer;  // as in timers_
    Phase phase = Phase::kWaiting;
    DispatchId dispatch{};   // while dispatched
    ForwardId forward_id{};  // while forwarded
    // The last outcome under which it may have run.
    std::optional<ResultCode> unknown_outcome;
    // Why it was last not run.
    ResultCode last_not_run_code = ResultCode::kNoInstance;
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
  // Code to refuse a new request with, or kOk.
  ResultCode CheckAdmission(const RouterRequest& request) const;
  void Reject(const RouterRequest& request, ResultCode code,
              RouterEffects& out);
  RequestKey Insert(TimePoint now, const RouterRequest& request);

  // Sends the request to an instance or a peer, or lets it wait.
  void Place(TimePoint now, RequestKey key, RouterEffects& out);
  bool TryDispatch(TimePoint now, RequestKey key, RouterEffects& out);
  bool TryForward(TimePoint now, RequestKey key, Duration local_wait,
                  RouterEffects& out);
  void Enqueue(TimePoint now, RequestKey key, RouterEffects& out);
  void Dequeue(RequestKey key, Request& request);
  // Wait of a request with `ahead` others before it; empty when no instance
  // can be counted on.
  std::optional<Duration> EstimateWait(const EntryName& service,
                                       std::size_t ahead) const;
  Duration MeanServiceTime(const EntryName& service) const;
  // Gives free slots and free peers to the waiting requests of the service.
  void PlaceQueued(TimePoint now, const EntryName& service, RouterEffects& out);

  // An attempt ended with this code, which is not kOk.
  void AttemptFailed(TimePoint now, RequestKey key, ResultCode code,
                     RouterEffects& out);
  void FinishRequest(RequestKey key, ResultCode code,
                     std::optional<DispatchId> dispatch,
                     std::optional<ForwardId> forward_id, RouterEffects& out);
  void SendResponse(const Request& request, ResultCode code,
                    std::optional<DispatchId> dispatch,
                    std::optional<ForwardId> forward_id, RouterEffects& out);
  void SetTimer(RequestKey key, Request& request, TimePoint at);
  void OnTimer(TimePoint now, RequestKey key, RouterEffects& out);
  void AbandonAttempt(TimePoint now, RequestKey key, RouterEffects& out);
  Duration LongestRun(const EntryName& service) const;

  EntryLoad LoadOf(const EntryName& service) const;
  void SendDueLoadReports(TimePoint now, RouterEffects& out);
  void UpdateCapacity(const EntryName& service);
  // Follows each event: reports load and checks the invariants.
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
