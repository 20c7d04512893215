#include "routing/fake_zone.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chivewing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kHosts = 4;
constexpr std::size_t kTargets = 8;
constexpr milliseconds kLoadDuration{400};
constexpr milliseconds kSettleTime{20000};
constexpr milliseconds kTakeOverDelay{60};
constexpr milliseconds kLongestRun{400};
const EntryName kIdempotentEntry("hint-reveal");
const EntryName kNonIdempotentEntry("hint-charge");

// The id that the caller gave the request, also when a peer forwarded it.
std::string LogicalId(const RequestId& id) {
  return id.value().substr(0, id.value().find('@'));
}

RequestClass ClassOf(const EntryName& entry, bool idempotent, int priority) {
  RequestClass policy;
  policy.entry = entry;
  policy.service = kIdempotentEntry;
  policy.idempotent = idempotent;
  policy.priority = priority;
  policy.default_deadline = milliseconds(400);
  policy.timeout = milliseconds(100);
  policy.longest_run = kLongestRun;
  policy.retry_budget_percent = 50;
  policy.queue_bound = 30;
  return policy;
}

}  // namespace

FakeZone::FakeZone(std::uint32_t seed, const RouterSettings& settings,
                   const FaultToggles& toggles)
    : settings_(settings), toggles_(toggles), random_(seed) {
  hosts_.resize(kHosts);
  targets_.resize(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    InstanceInfo& info = targets_[i].info;
    info.id = InstanceId("i" + std::to_string(i));
    info.entry = kIdempotentEntry;
    info.slots = 2 + RandomBelow(2);
    info.connections = 8;
    targets_[i].holder = i % kHosts;
  }
  for (std::size_t i = 0; i < kHosts; ++i) StartHost(i);
}

std::uint64_t FakeZone::CountAnswered(ResultCode code) const {
  return static_cast<std::uint64_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [code](const auto& item) { return item.second.answer == code; }));
}

void FakeZone::Schedule(TimePoint at, std::function<void()> action) {
  events_.push({at, ++last_event_, std::move(action)});
}

void FakeZone::ScheduleAtHost(
    TimePoint at, std::size_t host, std::uint64_t incarnation,
    const std::function<void(RouterEffects&)>& action) {
  Schedule(at, [=, this] {
    Host& it = hosts_[host];
    if (it.incarnation != incarnation) return;
    if (it.paused_until > now_) {
      ScheduleAtHost(it.paused_until, host, incarnation, action);
      return;
    }
    RouterEffects effects;
    action(effects);
    ApplyEffects(host, effects);
    ScheduleTick(host);
  });
}

Duration FakeZone::RandomDelay() {
  return microseconds(100 + RandomBelow(5000));
}

std::uint32_t FakeZone::RandomBelow(std::uint32_t bound) {
  return static_cast<std::uint32_t>(random_() % bound);
}

void FakeZone::Check(bool holds, const std::string& what) {
  if (!holds) violations_.insert(what);
}

void FakeZone::ScheduleTick(std::size_t host) {
  const auto next = hosts_[host].router.NextWakeTime();
  if (!next) return;
  const std::uint64_t incarnation = hosts_[host].incarnation;
  ScheduleAtHost(std::max(*next, now_), host, incarnation,
                 [=, this](RouterEffects& out) {
                   const auto due = hosts_[host].router.NextWakeTime();
                   if (due && *due <= now_) hosts_[host].router.Tick(now_, out);
                 });
}

void FakeZone::StartHost(std::size_t index) {
  Host& host = hosts_[index];
  host.id = HostId("h" + std::to_string(index));
  host.router = Router(settings_, host.incarnation);
  host.paused_until = {};
  host.stopping = false;
  host.idle.clear();
  host.open.clear();
  RouterEffects out;
  host.router.SetClasses(now_,
                         {ClassOf(kIdempotentEntry, true, 1),
                          ClassOf(kNonIdempotentEntry, false, 2)},
                         out);
  for (Target& target : targets_) {
    if (target.holder != index || target.moving || target.dead) continue;
    host.router.AddInstance(now_, target.info, false, out);
  }
  for (std::size_t peer = 0; peer < kHosts; ++peer) {
    if (peer == index) continue;
    host.router.AddPeer(now_, HostId("h" + std::to_string(peer)), out);
  }
  ApplyEffects(index, out);
  ScheduleTick(index);
}

void FakeZone::Run(const std::vector<Fault>& faults) {
  load_end_ = now_ + kLoadDuration;
  SubmitNextRequest();
  for (const Fault& fault : faults) {
    Schedule(now_ + milliseconds(fault.at_ms), [=, this] { Inject(fault); });
  }
  const TimePoint end = now_ + kSettleTime;
  while (!events_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  for (Host& host : hosts_) {
    Check(host.open.empty(), "a request got no response");
    Check(host.router.idle(), "a router is not idle at the end of the run");
  }
  for (const auto& [id, request] : requests_) {
    Check(request.idempotent || request.runs <= 1,
          "a non-idempotent request ran twice");
    const bool not_run = request.answer && IsNotRun(*request.answer);
    Check(!not_run || request.runs == 0,
          "a request that ran was reported as not run");
    Check(request.answer != ResultCode::kOk || request.runs > 0,
          "a request that did not run was reported as done");
  }
}

void FakeZone::SubmitNextRequest() {
  if (now_ >= load_end_) return;
  const std::size_t index = RandomBelow(3) == 0 ? RandomBelow(kHosts) : 0;
  const RequestId id("r" + std::to_string(++last_request_));
  const bool idempotent = RandomBelow(3) != 0;
  requests_[id.value()].idempotent = idempotent;
  ScheduleAtHost(
      now_, index, hosts_[index].incarnation, [=, this](RouterEffects& out) {
        RouterRequest request;
        request.id = id;
        request.entry = idempotent ? kIdempotentEntry : kNonIdempotentEntry;
        request.claimed = true;
        hosts_[index].open.insert(id);
        Check(hosts_[index].router.Submit(now_, request, out).has_value(),
              "a submitted request was not accepted");
      });
  Schedule(now_ + microseconds(500 + RandomBelow(1500)),
           [this] { SubmitNextRequest(); });
}

void FakeZone::Inject(const Fault& fault) {
  const std::size_t host = fault.subject % kHosts;
  const std::size_t target = fault.subject % kTargets;
  const Duration length = milliseconds(fault.length_ms);
  switch (fault.kind) {
    case Fault::Kind::kKillHost:
      return KillHost(host);
    case Fault::Kind::kPauseHost:
      hosts_[host].paused_until = now_ + length;
      return;
    case Fault::Kind::kStopHost:
      hosts_[host].stopping = true;
      ScheduleAtHost(
          now_, host, hosts_[host].incarnation,
          [=, this](auto& out) { hosts_[host].router.BeginStop(now_, out); });
      for (std::size_t i = 0; i < kTargets; ++i) {
        if (targets_[i].holder == host) MoveAssignment(i);
      }
      return;
    case Fault::Kind::kCutPeers:
      return CutPeers(host, (host + 1 + fault.subject / kHosts) % kHosts,
                      length);
    case Fault::Kind::kLoseMessages:
      lossy_until_ = now_ + length;
      return;
    case Fault::Kind::kKillTarget:
      return KillTarget(target);
    case Fault::Kind::kSilenceConnections:
      targets_[target].silent_before = now_;
      return;
    case Fault::Kind::kSlowTarget:
      targets_[target].slow_until = now_ + length;
      return;
    case Fault::Kind::kMisbehavingTarget:
      targets_[target].bad_until = now_ + length;
      return;
    case Fault::Kind::kTargetLeaves:
      return SetTargetLeaving(target);
    case Fault::Kind::kMoveAssignment:
      return MoveAssignment(target);
    case Fault::Kind::kCancel:
      ScheduleAtHost(now_, host, hosts_[host].incarnation,
                     [=, this](auto& out) {
                       const std::set<RequestId> open = hosts_[host].open;
                       for (const RequestId& id : open) {
                         hosts_[host].router.Cancel(now_, id, out);
                       }
                     });
      return;
  }
}

void FakeZone::KillHost(std::size_t index) {
  Host& host = hosts_[index];
  ++host.incarnation;
  for (std::size_t peer = 0; peer < kHosts; ++peer) {
    if (peer == index) continue;
    ScheduleAtHost(now_ + RandomDelay(), peer, hosts_[peer].incarnation,
                   [=, this](auto& out) {
                     hosts_[peer].router.OnPeerLost(now_, hosts_[index].id,
                                                    out);
                     hosts_[peer].router.AddPeer(now_, hosts_[index].id, out);
                   });
  }
  for (std::size_t i = 0; i < kTargets; ++i) {
    Target& target = targets_[i];
    if (target.holder != index) continue;
    target.holder = (index + 1 + RandomBelow(kHosts - 1)) % kHosts;
    target.moving = true;
    const std::uint64_t move_number = ++target.move_number;
    Schedule(now_ + kTakeOverDelay, [=, this] {
      if (targets_[i].move_number == move_number) {
        TakeOver(i, toggles_.count_abandoned_slots);
      }
    });
  }
  StartHost(index);
}

void FakeZone::TakeOver(std::size_t index, bool taken_over) {
  Target& target = targets_[index];
  target.moving = false;
  ++target.info.share_epoch;
  if (target.dead) return;
  ScheduleAtHost(now_, target.holder, hosts_[target.holder].incarnation,
                 [=, this](auto& out) {
                   const Target& it = targets_[index];
                   if (it.info.state == InstanceState::kLeaving) return;
                   hosts_[it.holder].router.AddInstance(now_, it.info,
                                                        taken_over, out);
                 });
}

void FakeZone::MoveAssignment(std::size_t index) {
  Target& target = targets_[index];
  if (target.moving || target.dead) return;
  target.moving = true;
  const std::uint64_t move_number = ++target.move_number;
  ScheduleAtHost(now_, target.holder, hosts_[target.holder].incarnation,
                 [=, this](auto& out) {
                   Target& it = targets_[index];
                   if (it.move_number != move_number) return;
                   hosts_[it.holder].router.SetInstanceState(
                       now_, it.info.id, InstanceState::kLeaving, out);
                   if (!toggles_.drain_before_handover) HandOver(index);
                 });
}

// The assignee has reported the instance as drained.
void FakeZone::HandOver(std::size_t index) {
  Target& target = targets_[index];
  const std::size_t from = target.holder;
  const std::uint64_t move_number = target.move_number;
  ScheduleAtHost(now_, from, hosts_[from].incarnation, [=, this](auto& out) {
    Target& it = targets_[index];
    if (it.move_number != move_number || it.holder != from) return;
    hosts_[from].router.RemoveInstance(now_, it.info.id, out);
    hosts_[from].idle.erase(index);
    it.holder = (from + 1) % kHosts;
    TakeOver(index, false);
  });
}

void FakeZone::CutPeers(std::size_t a, std::size_t b, Duration length) {
  if (a == b) return;
  for (const auto& [from, to] : {std::pair(a, b), std::pair(b, a)}) {
    const std::size_t self = from;
    const HostId peer = hosts_[to].id;
    const std::uint64_t incarnation = hosts_[self].incarnation;
    ScheduleAtHost(now_ + RandomDelay(), self, incarnation,
                   [=, this](auto& out) {
                     hosts_[self].router.OnPeerLost(now_, peer, out);
                   });
    ScheduleAtHost(
        now_ + length + milliseconds(6), self, incarnation,
        [=, this](auto& out) { hosts_[self].router.AddPeer(now_, peer, out); });
  }
}

void FakeZone::KillTarget(std::size_t index) {
  Target& target = targets_[index];
  target.dead = true;
  target.running = 0;
  // The platform's host list shows it after a delay.
  Schedule(now_ + milliseconds(80), [=, this] {
    const std::size_t holder = targets_[index].holder;
    ScheduleAtHost(now_, holder, hosts_[holder].incarnation,
                   [=, this](auto& out) {
                     hosts_[holder].router.RemoveInstance(
                         now_, targets_[index].info.id, out);
                   });
  });
}

void FakeZone::SetTargetLeaving(std::size_t index) {
  Target& target = targets_[index];
  target.info.state = InstanceState::kLeaving;
  const std::size_t holder = target.holder;
  ScheduleAtHost(
      now_, holder, hosts_[holder].incarnation, [=, this](auto& out) {
        targets_[index].leaving_notified = true;
        if (!toggles_.notify_leaving) return;
        hosts_[holder].router.SetInstanceState(now_, targets_[index].info.id,
                                               InstanceState::kLeaving, out);
      });
}

void FakeZone::ApplyEffects(std::size_t host, const RouterEffects& effects) {
  for (const RouterEffect& effect : effects) {
    if (const auto* it = std::get_if<Dispatch>(&effect))
      SendDispatch(host, *it);
    if (const auto* it = std::get_if<ForwardToPeer>(&effect))
      SendForward(host, *it);
    if (const auto* it = std::get_if<RespondToCaller>(&effect))
      RecordResponse(host, *it);
    if (const auto* it = std::get_if<RespondToPeer>(&effect)) {
      SendPeerResponse(host, *it);
    }
    if (const auto* it = std::get_if<SendLoadReport>(&effect))
      DeliverLoadReport(host, *it);
    if (const auto* it = std::get_if<ProbeInstance>(&effect)) {
      SendProbe(host, *it);
    }
    if (const auto* it = std::get_if<CloseConnections>(&effect)) {
      hosts_[host].idle.erase(TargetIndex(it->instance));
    }
    if (const auto* it = std::get_if<NotifyInstanceDrained>(&effect)) {
      const std::size_t target = TargetIndex(it->instance);
      if (targets_[target].moving && targets_[target].holder == host) {
        HandOver(target);
      }
    }
  }
}

void FakeZone::SendDispatch(std::size_t host, const Dispatch& effect) {
  const std::size_t index = TargetIndex(effect.instance);
  const Target& target = targets_[index];
  Check(target.holder == host,
        "a request was sent by a host without the assignment");
  Check(!target.leaving_notified, "a leaving instance was sent a new request");
  std::vector<Connection>& idle = hosts_[host].idle[index];
  Connection connection{now_};
  if (!effect.fresh_connection) {
    Check(!idle.empty(), "a connection that is not open was reused");
    if (!idle.empty()) {
      connection = idle.back();
      idle.pop_back();
    }
  }
  const std::string name =
      hosts_[host].id.value() + "/" + std::to_string(hosts_[host].incarnation) +
      "/" + std::to_string(static_cast<std::uint64_t>(effect.dispatch));
  dispatched_[name] = LogicalId(effect.request);
  const std::uint64_t incarnation = hosts_[host].incarnation;
  const SentDispatch sent{host, incarnation, index, effect, connection};
  Schedule(now_ + RandomDelay(), [=, this] { ReachTarget(sent); });
  ScheduleAtHost(now_ + effect.timeout, host, incarnation,
                 [=, this](auto& out) {
                   const TargetOutcome outcome = toggles_.report_timeouts
                                                     ? TargetOutcome::kTimedOut
                                                     : TargetOutcome::kNotSent;
                   hosts_[host].router.OnDispatchCompleted(
                       now_, effect.dispatch, outcome, out);
                 });
}

void FakeZone::ReachTarget(const SentDispatch& sent) {
  Target& target = targets_[sent.target];
  if (target.dead) {
    DeliverOutcome(sent, sent.effect.fresh_connection
                             ? TargetOutcome::kConnectFailed
                             : TargetOutcome::kConnectionLost);
    return;
  }
  if (sent.connection.opened < target.silent_before) return;
  if (target.bad_until > now_ && RandomBelow(2) == 0) {
    DeliverOutcome(sent, TargetOutcome::kRefusedNoSlot);
    return;
  }
  Check(target.running < target.info.slots,
        "an instance got more requests than slots");
  if (target.running >= target.info.slots) {
    DeliverOutcome(sent, TargetOutcome::kRefusedNoSlot);
    return;
  }
  RunAtTarget(sent);
}

void FakeZone::RunAtTarget(const SentDispatch& sent) {
  Target& target = targets_[sent.target];
  ++target.running;
  ++run_count_;
  ++requests_[LogicalId(sent.effect.request)].runs;
  Duration service = microseconds(500 + RandomBelow(20000));
  if (target.slow_until > now_) service = milliseconds(50 + RandomBelow(300));
  const bool crossed = target.bad_until > now_ && RandomBelow(2) == 0;
  Schedule(now_ + service, [=, this] {
    Target& it = targets_[sent.target];
    if (it.dead) {
      DeliverOutcome(sent, TargetOutcome::kConnectionLost);
      return;
    }
    --it.running;
    if (sent.connection.opened < it.silent_before) return;
    DeliverOutcome(sent,
                   crossed ? TargetOutcome::kBadAnswer : TargetOutcome::kDone);
  });
}

void FakeZone::DeliverOutcome(const SentDispatch& sent, TargetOutcome outcome) {
  ScheduleAtHost(
      now_ + RandomDelay(), sent.host, sent.incarnation, [=, this](auto& out) {
        Host& host = hosts_[sent.host];
        const std::uint32_t before = host.router.State(now_).in_flight;
        host.router.OnDispatchCompleted(now_, sent.effect.dispatch, outcome,
                                        out);
        const bool taken =
            host.router.State(now_).in_flight != before || !out.empty();
        const bool open =
            IsDone(outcome) || outcome == TargetOutcome::kRefusedNoSlot;
        if (!open || !taken) return;
        host.idle[sent.target].push_back(sent.connection);
      });
}

void FakeZone::SendForward(std::size_t host, const ForwardToPeer& effect) {
  if (lossy_until_ > now_ && RandomBelow(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  ScheduleAtHost(
      now_ + RandomDelay(), peer, hosts_[peer].incarnation,
      [=, this](auto& out) {
        RouterRequest request;
        request.id = RequestId(
            LogicalId(effect.request) + "@" + self.value() +
            std::to_string(static_cast<std::uint64_t>(effect.forward_id)));
        const bool idempotent = requests_[LogicalId(effect.request)].idempotent;
        request.entry = idempotent ? kIdempotentEntry : kNonIdempotentEntry;
        request.origin = ForwardOrigin{self, effect.forward_id};
        request.claimed = effect.claimed;
        request.remaining = effect.remaining;
        Check(hosts_[peer].router.Submit(now_, request, out).has_value(),
              "a forwarded request was not accepted");
      });
}

void FakeZone::RecordResponse(std::size_t host, const RespondToCaller& effect) {
  Check(hosts_[host].open.erase(effect.request) == 1,
        "a request was answered twice");
  requests_[effect.request.value()].answer = effect.code;
  if (effect.code != ResultCode::kOk || !effect.dispatch) return;
  const std::string name =
      hosts_[host].id.value() + "/" + std::to_string(hosts_[host].incarnation) +
      "/" + std::to_string(static_cast<std::uint64_t>(*effect.dispatch));
  Check(dispatched_[name] == effect.request.value(),
        "a request was answered with the body of another");
}

void FakeZone::SendPeerResponse(std::size_t host, const RespondToPeer& effect) {
  if (lossy_until_ > now_ && RandomBelow(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  ScheduleAtHost(now_ + RandomDelay(), peer, hosts_[peer].incarnation,
                 [=, this](auto& out) {
                   hosts_[peer].router.OnForwardCompleted(
                       now_, self, effect.forward_id, effect.code, effect.load,
                       out);
                 });
}

void FakeZone::DeliverLoadReport(std::size_t host,
                                 const SendLoadReport& effect) {
  if (lossy_until_ > now_ && RandomBelow(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  ScheduleAtHost(now_ + RandomDelay(), peer, hosts_[peer].incarnation,
                 [=, this](auto& out) {
                   hosts_[peer].router.OnLoadReport(now_, self, effect.report,
                                                    out);
                 });
}

void FakeZone::SendProbe(std::size_t host, const ProbeInstance& effect) {
  const std::size_t index = TargetIndex(effect.instance);
  const std::uint64_t incarnation = hosts_[host].incarnation;
  const TimePoint asked = now_;
  Schedule(now_ + RandomDelay(), [=, this] {
    const Target& target = targets_[index];
    std::optional<TargetStatus> status;
    if (!target.dead) status = TargetStatus{target.running, 1, false};
    const TimePoint back =
        target.dead ? asked + effect.timeout : now_ + RandomDelay();
    ScheduleAtHost(
        std::max(back, now_), host, incarnation, [=, this](auto& out) {
          hosts_[host].router.OnProbeCompleted(now_, effect.probe, status, out);
        });
  });
}

std::size_t FakeZone::HostIndex(const HostId& id) const {
  return std::stoul(id.value().substr(1));
}

std::size_t FakeZone::TargetIndex(const InstanceId& id) const {
  return std::stoul(id.value().substr(1));
}

}  // namespace chivewing
