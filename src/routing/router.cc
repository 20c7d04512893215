#include "routing/router.h"

#include <algorithm>
#include <chrono>

#include "routing/invariant.h"

namespace chivewing {
namespace {

// Longest run time assumed for a service without request classes.
constexpr std::chrono::seconds kDefaultLongestRun{60};
// Service time assumed before the first response.
constexpr std::chrono::milliseconds kDefaultServiceTime{10};

// Low bits of a forward id that hold a counter; the others hold the process's
// incarnation.
constexpr int kForwardCounterBits = 36;

// Result code that a caller gets when a dispatch ends with this outcome.
ResultCode ResultCodeOf(TargetOutcome outcome) {
  switch (outcome) {
    case TargetOutcome::kDone:
    case TargetOutcome::kDoneWithFault:
      return ResultCode::kOk;
    case TargetOutcome::kRefusedNoSlot:
    case TargetOutcome::kRefusedLeaving:
      return ResultCode::kRefusedByTarget;
    case TargetOutcome::kConnectFailed:
      return ResultCode::kConnectFailed;
    case TargetOutcome::kNotSent:
      return ResultCode::kOverloaded;
    case TargetOutcome::kTimedOut:
      return ResultCode::kTimedOut;
    case TargetOutcome::kConnectionLost:
      return ResultCode::kConnectionLost;
    case TargetOutcome::kBadAnswer:
      return ResultCode::kBadAnswer;
  }
  return ResultCode::kInternal;
}

bool IsUnknownOutcome(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 300 && number < 400;
}

}  // namespace

Router::Router(const RouterSettings& settings, std::uint64_t incarnation)
    : settings_(settings),
      instances_(settings),
      peers_(settings),
      report_scheduler_(settings.report_interval),
      last_forward_(incarnation << kForwardCounterBits) {}

EntryName Router::ServiceOf(const RequestClass& policy) {
  return policy.service.empty() ? policy.entry : policy.service;
}

QueuePosition Router::PositionOf(RequestKey key, const Request& request) {
  return {request.policy->priority, request.deadline,
          static_cast<std::uint64_t>(key)};
}

void Router::SetClasses(TimePoint now, const std::vector<RequestClass>& classes,
                        RouterEffects& out) {
  for (auto& [entry, record] : classes_) record.policy = nullptr;
  for (const RequestClass& policy : classes) {
    ClassRecord& record = classes_[policy.entry];
    record.policy = std::make_shared<const RequestClass>(policy);
    record.budget.set_percent(policy.retry_budget_percent);
  }
  std::erase_if(classes_, [](const auto& item) {
    return item.second.policy == nullptr && item.second.in_progress == 0;
  });
  SendDueLoadReports(now, out);
}

Duration Router::LongestRun(const EntryName& service) const {
  Duration longest{};
  for (const auto& [entry, record] : classes_) {
    if (record.policy == nullptr || ServiceOf(*record.policy) != service) {
      continue;
    }
    longest = std::max<Duration>(longest, record.policy->longest_run);
  }
  return longest.count() > 0 ? longest : Duration(kDefaultLongestRun);
}

void Router::AddInstance(TimePoint now, const InstanceInfo& info,
                         bool taken_over, RouterEffects& out) {
  std::optional<TimePoint> busy_until;
  if (taken_over) busy_until = now + LongestRun(info.entry);
  instances_.Add(now, info, busy_until, out);
  OnServiceChanged(now, info.entry, out);
}

void Router::RemoveInstance(TimePoint now, const InstanceId& id,
                            RouterEffects& out) {
  const EntryName service = instances_.ServiceOf(id);
  instances_.Remove(now, id, out);
  OnServiceChanged(now, service, out);
}

void Router::SetInstanceState(TimePoint now, const InstanceId& id,
                              InstanceState state, RouterEffects& out) {
  instances_.SetState(now, id, state, out);
  OnServiceChanged(now, instances_.ServiceOf(id), out);
}

void Router::ApplyStatus(TimePoint now, const InstanceId& id,
                         const TargetStatus& status, TimePoint requested_at,
                         RouterEffects& out) {
  instances_.ApplyStatus(now, id, status, requested_at, out);
  OnServiceChanged(now, instances_.ServiceOf(id), out);
}

ResultCode Router::CheckAdmission(const RouterRequest& request) const {
  if (stopping_) return ResultCode::kStopping;
  const auto found = classes_.find(request.entry);
  if (found == classes_.end() || found->second.policy == nullptr) {
    return ResultCode::kUnknownEntry;
  }
  if (!found->second.policy->idempotent && !request.claimed) {
    return ResultCode::kClaimUnavailable;
  }
  if (request.remaining && request.remaining->count() <= 0) {
    return ResultCode::kDeadlineUnreachable;
  }
  return ResultCode::kOk;
}

void Router::Reject(const RouterRequest& request, ResultCode code,
                    RouterEffects& out) {
  Request refused;
  refused.id = request.id;
  refused.origin = request.origin;
  const auto found = classes_.find(request.entry);
  if (found != classes_.end() && found->second.policy != nullptr) {
    refused.service = ServiceOf(*found->second.policy);
  }
  SendResponse(refused, code, std::nullopt, std::nullopt, out);
}

Router::RequestKey Router::Insert(TimePoint now, const RouterRequest& request) {
  const RequestKey key{++last_request_};
  ClassRecord& record = classes_.at(request.entry);
  ++record.in_progress;
  record.budget.Deposit();
  Request inserted;
  inserted.id = request.id;
  inserted.policy = record.policy;
  inserted.service = ServiceOf(*record.policy);
  inserted.origin = request.origin;
  inserted.claimed = request.claimed;
  inserted.may_forward = !request.origin;
  inserted.deadline =
      now + request.remaining.value_or(record.policy->default_deadline);
  inserted.timer = inserted.deadline;
  timers_.emplace(inserted.timer, key);
  keys_by_id_.emplace(request.id, key);
  requests_.emplace(key, std::move(inserted));
  return key;
}

Status Router::Submit(TimePoint now, const RouterRequest& request,
                      RouterEffects& out) {
  if (keys_by_id_.contains(request.id)) {
    return Error{
        ResultCode::kBadRequest,
        "request " + request.id.value() +
            " rejected: a request with this id is already in progress"};
  }
  ++counters_.submitted;
  if (request.origin) {
    report_scheduler_.RecordReceivedForward(request.origin->peer,
                                            request.origin->forward_id);
  }
  const ResultCode code = CheckAdmission(request);
  if (code != ResultCode::kOk) {
    Reject(request, code, out);
    return Ok();
  }
  const RequestKey key = Insert(now, request);
  const EntryName service = requests_.at(key).service;
  Place(now, key, out);
  OnServiceChanged(now, service, out);
  return Ok();
}

void Router::Place(TimePoint now, RequestKey key, RouterEffects& out) {
  const Request& request = requests_.at(key);
  if (TryDispatch(now, key, out)) return;
  const std::size_t ahead =
      queues_[request.service].CountBefore(PositionOf(key, request));
  const std::optional<Duration> wait = EstimateWait(request.service, ahead);
  if (TryForward(now, key, wait.value_or(Duration::max()), out)) return;
  Enqueue(now, key, out);
}

bool Router::TryDispatch(TimePoint now, RequestKey key, RouterEffects& out) {
  Request& request = requests_.at(key);
  CheckInvariant(request.policy->idempotent || !request.unknown_outcome,
                 "a non-idempotent request that may have run was sent again");
  const std::optional<InstanceRef> chosen =
      instances_.Choose(request.service, request.avoid);
  if (!chosen) return false;
  const bool fresh = instances_.StartDispatch(*chosen);
  const DispatchId dispatch{++last_dispatch_};
  const RequestClass& policy = *request.policy;
  dispatches_.emplace(
      dispatch, DispatchRecord{key, *chosen, now, policy.longest_run, fresh});
  request.phase = Phase::kDispatched;
  request.dispatch = dispatch;
  request.avoid = chosen->key;
  ++counters_.dispatched;
  const InstanceInfo& info = instances_.Get(*chosen).info();
  const Duration timeout =
      std::min<Duration>(policy.timeout, request.deadline - now);
  out.emplace_back(Dispatch{dispatch, request.id, info.id, info.address,
                            info.share_epoch, timeout, fresh});
  return true;
}

bool Router::TryForward(TimePoint now, RequestKey key, Duration local_wait,
                        RouterEffects& out) {
  Request& request = requests_.at(key);
  if (!request.may_forward) return false;
  const std::optional<HostId> peer = peers_.Choose(
      request.service, MeanServiceTime(request.service), local_wait);
  if (!peer) return false;
  const ForwardId forward_id{++last_forward_};
  forwards_.emplace(forward_id, ForwardRecord{key, *peer, request.service});
  peers_.AddForward(*peer, request.service, forward_id);
  request.phase = Phase::kForwarded;
  request.forward_id = forward_id;
  ++counters_.forwarded;
  out.emplace_back(ForwardToPeer{*peer, forward_id, request.id,
                                 request.deadline - now, request.claimed});
  return true;
}

void Router::Enqueue(TimePoint now, RequestKey key, RouterEffects& out) {
  Request& request = requests_.at(key);
  const InstancePool* const pool = instances_.FindPool(request.service);
  if (pool == nullptr || pool->empty()) {
    FinishRequest(key, request.last_not_run_code, std::nullopt, std::nullopt,
                  out);
    return;
  }
  ClassRecord& record = classes_.at(request.policy->entry);
  if (record.waiting >= request.policy->queue_bound) {
    FinishRequest(key, ResultCode::kQueueFull, std::nullopt, std::nullopt, out);
    return;
  }
  RequestQueue& queue = queues_[request.service];
  const QueuePosition position = PositionOf(key, request);
  const std::optional<Duration> wait =
      EstimateWait(request.service, queue.CountBefore(position));
  const bool misses_deadline =
      wait && now + *wait + MeanServiceTime(request.service) > request.deadline;
  if (misses_deadline || request.deadline <= now) {
    FinishRequest(key, ResultCode::kDeadlineUnreachable, std::nullopt,
                  std::nullopt, out);
    return;
  }
  request.phase = Phase::kWaiting;
  queue.Add(position, request.may_forward);
  ++record.waiting;
}

void Router::Dequeue(RequestKey key, Request& request) {
  queues_[request.service].Remove(PositionOf(key, request));
  --classes_.at(request.policy->entry).waiting;
}

Duration Router::MeanServiceTime(const EntryName& service) const {
  const InstancePool* const pool = instances_.FindPool(service);
  if (pool == nullptr || pool->service_time().samples() == 0) {
    return kDefaultServiceTime;
  }
  return pool->service_time().mean();
}

std::optional<Duration> Router::EstimateWait(const EntryName& service,
                                             std::size_t ahead) const {
  const InstancePool* const pool = instances_.FindPool(service);
  if (pool == nullptr || pool->usable_slots() == 0) return std::nullopt;
  const auto turns = static_cast<Duration::rep>(ahead) + 1;
  return MeanServiceTime(service) * turns / pool->usable_slots();
}

void Router::PlaceQueued(TimePoint now, const EntryName& service,
                         RouterEffects& out) {
  const auto found = queues_.find(service);
  if (found == queues_.end()) return;
  RequestQueue& queue = found->second;
  while (const std::optional<std::uint64_t> first = queue.First()) {
    const RequestKey key{*first};
    if (!TryDispatch(now, key, out)) break;
    Dequeue(key, requests_.at(key));
  }
  while (const std::optional<std::uint64_t> first = queue.FirstForwardable()) {
    const RequestKey key{*first};
    const QueuePosition position = PositionOf(key, requests_.at(key));
    const std::optional<Duration> wait =
        EstimateWait(service, queue.CountBefore(position));
    if (!TryForward(now, key, wait.value_or(Duration::max()), out)) break;
    Dequeue(key, requests_.at(key));
  }
}

void Router::Cancel(TimePoint now, const RequestId& id, RouterEffects& out) {
  const auto found = keys_by_id_.find(id);
  if (found == keys_by_id_.end()) return;
  const RequestKey key = found->second;
  Request& request = requests_.at(key);
  if (request.phase != Phase::kWaiting) return;
  const EntryName service = request.service;
  Dequeue(key, request);
  FinishRequest(key, ResultCode::kCancelled, std::nullopt, std::nullopt, out);
  OnServiceChanged(now, service, out);
}

void Router::OnDispatchCompleted(TimePoint now, DispatchId dispatch,
                                 TargetOutcome outcome, RouterEffects& out) {
  const auto found = dispatches_.find(dispatch);
  if (found == dispatches_.end()) return;
  const DispatchRecord record = found->second;
  dispatches_.erase(found);
  instances_.EndDispatch(now, record.instance,
                         DispatchResult{outcome, record.fresh_connection,
                                        record.sent_at, record.longest_run},
                         out);
  const ResultCode code = ResultCodeOf(outcome);
  if (code == ResultCode::kOk) {
    FinishRequest(record.request, code, dispatch, std::nullopt, out);
  } else {
    AttemptFailed(now, record.request, code, out);
  }
  OnServiceChanged(now, record.instance.service, out);
}

void Router::AttemptFailed(TimePoint now, RequestKey key, ResultCode code,
                           RouterEffects& out) {
  Request& request = requests_.at(key);
  const bool unknown = IsUnknownOutcome(code);
  if (unknown) request.unknown_outcome = code;
  if (!unknown) request.last_not_run_code = code;
  const bool may_retry = !unknown || request.policy->idempotent;
  if (!may_retry || request.deadline <= now) {
    FinishRequest(key, code, std::nullopt, std::nullopt, out);
    return;
  }
  if (!classes_.at(request.policy->entry).budget.TryWithdraw()) {
    ++counters_.retries_refused;
    FinishRequest(key, unknown ? code : ResultCode::kRetryBudgetSpent,
                  std::nullopt, std::nullopt, out);
    return;
  }
  ++counters_.retried;
  Place(now, key, out);
}

void Router::FinishRequest(RequestKey key, ResultCode code,
                           std::optional<DispatchId> dispatch,
                           std::optional<ForwardId> forward_id,
                           RouterEffects& out) {
  const auto found = requests_.find(key);
  CheckInvariant(found != requests_.end(),
                 "a request was answered more than once");
  const Request& request = found->second;
  // A later attempt did not run, but an earlier one may have.
  const bool may_have_run = IsNotRun(code) && request.unknown_outcome;
  const ResultCode final_code = may_have_run ? *request.unknown_outcome : code;
  CheckInvariant(!IsNotRun(final_code) || !request.unknown_outcome,
                 "a request that may have run was reported as not run");
  SendResponse(request, final_code, dispatch, forward_id, out);
  timers_.erase({request.timer, key});
  keys_by_id_.erase(request.id);
  const auto record = classes_.find(request.policy->entry);
  --record->second.in_progress;
  if (record->second.policy == nullptr && record->second.in_progress == 0) {
    classes_.erase(record);
  }
  requests_.erase(found);
}

void Router::SendResponse(const Request& request, ResultCode code,
                          std::optional<DispatchId> dispatch,
                          std::optional<ForwardId> forward_id,
                          RouterEffects& out) {
  if (code == ResultCode::kOk) {
    ++counters_.done;
  } else if (IsNotRun(code)) {
    ++counters_.not_run;
  } else {
    ++counters_.unknown;
  }
  if (!request.origin) {
    out.emplace_back(RespondToCaller{request.id, code, dispatch, forward_id});
    return;
  }
  LoadReport load{report_scheduler_.LastReceivedForward(request.origin->peer),
                  {}};
  if (!request.service.empty()) {
    load.entries.push_back(LoadOf(request.service));
    UpdateCapacity(request.service);
    report_scheduler_.MarkReported(request.origin->peer, request.service);
  }
  out.emplace_back(RespondToPeer{request.origin->peer,
                                 request.origin->forward_id, request.id, code,
                                 dispatch, std::move(load)});
}

void Router::OnProbeCompleted(TimePoint now, ProbeId probe,
                              const std::optional<TargetStatus>& status,
                              RouterEffects& out) {
  const EntryName service =
      instances_.OnProbeCompleted(now, probe, status, out);
  if (!service.empty()) OnServiceChanged(now, service, out);
}

void Router::AddPeer(TimePoint now, const HostId& peer, RouterEffects& out) {
  if (!peers_.Contains(peer)) peers_.Add(peer);
  report_scheduler_.AddPeer(peer);
  SendDueLoadReports(now, out);
}

void Router::OnPeerLost(TimePoint now, const HostId& peer, RouterEffects& out) {
  peers_.Remove(peer);
  report_scheduler_.RemovePeer(peer);
  std::vector<ForwardId> lost;
  for (const auto& [forward_id, record] : forwards_) {
    if (record.peer == peer) lost.push_back(forward_id);
  }
  std::sort(lost.begin(), lost.end());
  for (const ForwardId forward_id : lost) {
    const ForwardRecord record = forwards_.at(forward_id);
    forwards_.erase(forward_id);
    AttemptFailed(now, record.request, ResultCode::kConnectionLost, out);
    OnServiceChanged(now, record.service, out);
  }
  // Requests that the lost peer forwarded here have no one to respond to: those
  // still waiting are cancelled.
  std::vector<RequestId> orphans;
  for (const auto& [key, request] : requests_) {
    if (request.phase != Phase::kWaiting || !request.origin) continue;
    if (request.origin->peer == peer) orphans.push_back(request.id);
  }
  for (const RequestId& id : orphans) Cancel(now, id, out);
}

void Router::OnLoadReport(TimePoint now, const HostId& peer,
                          const LoadReport& report, RouterEffects& out) {
  peers_.Apply(peer, report);
  for (const EntryLoad& load : report.entries)
    OnServiceChanged(now, load.entry, out);
}

void Router::OnForwardCompleted(TimePoint now, const HostId& peer,
                                ForwardId forward_id, ResultCode code,
                                const LoadReport& report, RouterEffects& out) {
  peers_.Apply(peer, report);
  const auto found = forwards_.find(forward_id);
  if (found == forwards_.end() || found->second.peer != peer) return;
  const ForwardRecord record = found->second;
  forwards_.erase(found);
  peers_.RemoveForward(peer, record.service, forward_id);
  if (code == ResultCode::kOk) {
    FinishRequest(record.request, code, std::nullopt, forward_id, out);
  } else if (IsNotRun(code)) {
    requests_.at(record.request).may_forward = false;
    AttemptFailed(now, record.request, code, out);
  } else {
    AttemptFailed(now, record.request,
                  IsUnknownOutcome(code) ? code : ResultCode::kBadAnswer, out);
  }
  OnServiceChanged(now, record.service, out);
}

void Router::BeginStop(TimePoint now, RouterEffects& out) {
  stopping_ = true;
  report_scheduler_.MarkAllUnreported();
  SendDueLoadReports(now, out);
}

bool Router::idle() const { return requests_.empty() && dispatches_.empty(); }

void Router::SetTimer(RequestKey key, Request& request, TimePoint at) {
  timers_.erase({request.timer, key});
  request.timer = at;
  timers_.emplace(at, key);
}

void Router::OnTimer(TimePoint now, RequestKey key, RouterEffects& out) {
  Request& request = requests_.at(key);
  const EntryName service = request.service;
  if (request.phase == Phase::kWaiting) {
    Dequeue(key, request);
    FinishRequest(key, ResultCode::kDeadlineUnreachable, std::nullopt,
                  std::nullopt, out);
  } else if (request.timer == request.deadline) {
    SetTimer(key, request, request.deadline + settings_.outcome_grace);
  } else {
    AbandonAttempt(now, key, out);
  }
  OnServiceChanged(now, service, out);
}

// The attempt counts as timed out: the request may have run.
void Router::AbandonAttempt(TimePoint now, RequestKey key, RouterEffects& out) {
  const Request& request = requests_.at(key);
  if (request.phase == Phase::kForwarded) {
    const ForwardRecord record = forwards_.at(request.forward_id);
    forwards_.erase(request.forward_id);
    peers_.RemoveForward(record.peer, record.service, request.forward_id);
    AttemptFailed(now, key, ResultCode::kTimedOut, out);
    return;
  }
  const DispatchRecord record = dispatches_.at(request.dispatch);
  dispatches_.erase(request.dispatch);
  instances_.EndDispatch(
      now, record.instance,
      DispatchResult{TargetOutcome::kTimedOut, record.fresh_connection,
                     record.sent_at, record.longest_run},
      out);
  AttemptFailed(now, key, ResultCode::kTimedOut, out);
}

void Router::Tick(TimePoint now, RouterEffects& out) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    OnTimer(now, timers_.begin()->second, out);
  }
  for (const EntryName& service : instances_.Tick(now, out)) {
    OnServiceChanged(now, service, out);
  }
  SendDueLoadReports(now, out);
}

std::optional<TimePoint> Router::NextWakeTime() const {
  std::optional<TimePoint> next = instances_.NextWakeTime();
  const std::optional<TimePoint> report = report_scheduler_.NextWakeTime();
  if (report && (!next || *report < *next)) next = report;
  if (!timers_.empty() && (!next || timers_.begin()->first < *next)) {
    next = timers_.begin()->first;
  }
  return next;
}

EntryLoad Router::LoadOf(const EntryName& service) const {
  EntryLoad load;
  load.entry = service;
  const auto queue = queues_.find(service);
  if (queue != queues_.end()) {
    load.queued = static_cast<std::uint32_t>(queue->second.size());
  }
  const InstancePool* const pool = instances_.FindPool(service);
  if (pool == nullptr || stopping_) return load;
  load.slots = pool->usable_slots();
  load.free_slots = pool->free_slots();
  return load;
}

void Router::UpdateCapacity(const EntryName& service) {
  if (instances_.FindPool(service) == nullptr) return;
  const EntryLoad load = LoadOf(service);
  Capacity capacity = Capacity::kFree;
  if (load.free_slots == 0) capacity = Capacity::kFull;
  if (load.slots == 0) capacity = Capacity::kNone;
  report_scheduler_.SetCapacity(service, capacity);
}

void Router::SendDueLoadReports(TimePoint now, RouterEffects& out) {
  for (const HostId& peer : report_scheduler_.DuePeers(now)) {
    LoadReport report{report_scheduler_.LastReceivedForward(peer), {}};
    for (const EntryName& service :
         report_scheduler_.TakeUnreportedServices(now, peer)) {
      report.entries.push_back(LoadOf(service));
    }
    ++counters_.reports_sent;
    out.emplace_back(SendLoadReport{peer, std::move(report)});
  }
}

void Router::OnServiceChanged(TimePoint now, const EntryName& service,
                              RouterEffects& out) {
  if (service.empty()) return;
  PlaceQueued(now, service, out);
  UpdateCapacity(service);
  SendDueLoadReports(now, out);
}

RouterState Router::State(TimePoint /*now*/) const {
  RouterState state;
  state.stopping = stopping_;
  for (const auto& [service, queue] : queues_) {
    state.waiting += static_cast<std::uint32_t>(queue.size());
  }
  state.in_flight = static_cast<std::uint32_t>(dispatches_.size());
  state.forwarded = static_cast<std::uint32_t>(forwards_.size());
  state.instances = instances_.Summaries();
  state.peers = peers_.Summaries();
  state.counters = counters_;
  state.counters.ejections = instances_.ejections();
  state.counters.readmitted = instances_.readmitted();
  return state;
}

}  // namespace chivewing
