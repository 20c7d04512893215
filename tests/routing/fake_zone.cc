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
constexpr milliseconds kLoad{400};
constexpr milliseconds kQuiet{20000};
constexpr milliseconds kTakeOverDelay{60};
constexpr milliseconds kLongestRun{400};
const EntryName kSafe("hint-reveal");
const EntryName kOnce("hint-charge");

// The caller's name of a request, also when a peer forwarded it.
std::string LogicalId(const RequestId& id) {
  return id.value().substr(0, id.value().find('@'));
}

RequestClass ClassOf(const EntryName& entry, bool idempotent, int priority) {
  RequestClass policy;
  policy.entry = entry;
  policy.service = kSafe;
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
                   const FaultToggles& switches)
    : settings_(settings), switches_(switches), random_(seed) {
  hosts_.resize(kHosts);
  targets_.resize(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    InstanceInfo& view = targets_[i].view;
    view.id = InstanceId("i" + std::to_string(i));
    view.entry = kSafe;
    view.slots = 2 + Draw(2);
    view.connections = 8;
    targets_[i].holder = i % kHosts;
  }
  for (std::size_t i = 0; i < kHosts; ++i) StartHost(i);
}

std::uint64_t FakeZone::answered(ResultCode code) const {
  return static_cast<std::uint64_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [code](const auto& item) { return item.second.answer == code; }));
}

void FakeZone::At(TimePoint at, std::function<void()> action) {
  events_.push({at, ++last_event_, std::move(action)});
}

void FakeZone::AtHost(TimePoint at, std::size_t host, std::uint64_t incarnation,
                      const std::function<void(RouterEffects&)>& action) {
  At(at, [=, this] {
    Host& it = hosts_[host];
    if (it.incarnation != incarnation) return;
    if (it.paused_until > now_) {
      AtHost(it.paused_until, host, incarnation, action);
      return;
    }
    RouterEffects effects;
    action(effects);
    Perform(host, effects);
    ArmTick(host);
  });
}

Duration FakeZone::Delay() { return microseconds(100 + Draw(5000)); }

std::uint32_t FakeZone::Draw(std::uint32_t bound) {
  return static_cast<std::uint32_t>(random_() % bound);
}

void FakeZone::Check(bool holds, const std::string& what) {
  if (!holds) violations_.insert(what);
}

void FakeZone::ArmTick(std::size_t host) {
  const auto next = hosts_[host].router.NextWakeTime();
  if (!next) return;
  const std::uint64_t incarnation = hosts_[host].incarnation;
  AtHost(std::max(*next, now_), host, incarnation,
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
  host.router.SetClasses(
      now_, {ClassOf(kSafe, true, 1), ClassOf(kOnce, false, 2)}, out);
  for (Target& target : targets_) {
    if (target.holder != index || target.moving || target.dead) continue;
    host.router.AddInstance(now_, target.view, false, out);
  }
  for (std::size_t peer = 0; peer < kHosts; ++peer) {
    if (peer == index) continue;
    host.router.AddPeer(now_, HostId("h" + std::to_string(peer)), out);
  }
  Perform(index, out);
  ArmTick(index);
}

void FakeZone::Run(const std::vector<Fault>& faults) {
  load_end_ = now_ + kLoad;
  Arrive();
  for (const Fault& fault : faults) {
    At(now_ + milliseconds(fault.at_ms), [=, this] { Inject(fault); });
  }
  const TimePoint end = now_ + kQuiet;
  while (!events_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  for (Host& host : hosts_) {
    Check(host.open.empty(), "a request was never answered");
    Check(host.router.idle(), "a router is not idle at the end");
  }
  for (const auto& [id, request] : requests_) {
    Check(request.idempotent || request.runs <= 1, "ran twice");
    const bool not_run = request.answer && IsNotRun(*request.answer);
    Check(!not_run || request.runs == 0, "said not run of what ran");
    Check(request.answer != ResultCode::kOk || request.runs > 0,
          "said done of what did not run");
  }
}

void FakeZone::Arrive() {
  if (now_ >= load_end_) return;
  const std::size_t index = Draw(3) == 0 ? Draw(kHosts) : 0;
  const RequestId id("r" + std::to_string(++last_request_));
  const bool idempotent = Draw(3) != 0;
  requests_[id.value()].idempotent = idempotent;
  AtHost(now_, index, hosts_[index].incarnation, [=, this](RouterEffects& out) {
    RouterRequest request;
    request.id = id;
    request.entry = idempotent ? kSafe : kOnce;
    request.claimed = true;
    hosts_[index].open.insert(id);
    Check(hosts_[index].router.Submit(now_, request, out).has_value(),
          "a request was not taken");
  });
  At(now_ + microseconds(500 + Draw(1500)), [this] { Arrive(); });
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
      AtHost(now_, host, hosts_[host].incarnation, [=, this](auto& out) {
        hosts_[host].router.BeginStop(now_, out);
      });
      for (std::size_t i = 0; i < kTargets; ++i) {
        if (targets_[i].holder == host) MoveShare(i);
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
    case Fault::Kind::kSilence:
      targets_[target].silent_before = now_;
      return;
    case Fault::Kind::kSlowTarget:
      targets_[target].slow_until = now_ + length;
      return;
    case Fault::Kind::kBadTarget:
      targets_[target].bad_until = now_ + length;
      return;
    case Fault::Kind::kLeaveTarget:
      return LeaveTarget(target);
    case Fault::Kind::kMoveShare:
      return MoveShare(target);
    case Fault::Kind::kCancel:
      AtHost(now_, host, hosts_[host].incarnation, [=, this](auto& out) {
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
    AtHost(now_ + Delay(), peer, hosts_[peer].incarnation,
           [=, this](auto& out) {
             hosts_[peer].router.OnPeerLost(now_, hosts_[index].id, out);
             hosts_[peer].router.AddPeer(now_, hosts_[index].id, out);
           });
  }
  for (std::size_t i = 0; i < kTargets; ++i) {
    Target& target = targets_[i];
    if (target.holder != index) continue;
    target.holder = (index + 1 + Draw(kHosts - 1)) % kHosts;
    target.moving = true;
    const std::uint64_t move = ++target.move;
    At(now_ + kTakeOverDelay, [=, this] {
      if (targets_[i].move == move) {
        TakeOver(i, switches_.count_abandoned_slots);
      }
    });
  }
  StartHost(index);
}

void FakeZone::TakeOver(std::size_t index, bool taken_over) {
  Target& target = targets_[index];
  target.moving = false;
  ++target.view.share_epoch;
  if (target.dead) return;
  AtHost(now_, target.holder, hosts_[target.holder].incarnation,
         [=, this](auto& out) {
           const Target& it = targets_[index];
           if (it.view.state == InstanceState::kLeaving) return;
           hosts_[it.holder].router.AddInstance(now_, it.view, taken_over, out);
         });
}

void FakeZone::MoveShare(std::size_t index) {
  Target& target = targets_[index];
  if (target.moving || target.dead) return;
  target.moving = true;
  const std::uint64_t move = ++target.move;
  AtHost(now_, target.holder, hosts_[target.holder].incarnation,
         [=, this](auto& out) {
           Target& it = targets_[index];
           if (it.move != move) return;
           hosts_[it.holder].router.SetInstanceState(
               now_, it.view.id, InstanceState::kLeaving, out);
           if (!switches_.finish_before_hand_over) HandOver(index);
         });
}

// The holder has told that the instance is idle.
void FakeZone::HandOver(std::size_t index) {
  Target& target = targets_[index];
  const std::size_t from = target.holder;
  const std::uint64_t move = target.move;
  AtHost(now_, from, hosts_[from].incarnation, [=, this](auto& out) {
    Target& it = targets_[index];
    if (it.move != move || it.holder != from) return;
    hosts_[from].router.RemoveInstance(now_, it.view.id, out);
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
    AtHost(now_ + Delay(), self, incarnation, [=, this](auto& out) {
      hosts_[self].router.OnPeerLost(now_, peer, out);
    });
    AtHost(
        now_ + length + milliseconds(6), self, incarnation,
        [=, this](auto& out) { hosts_[self].router.AddPeer(now_, peer, out); });
  }
}

void FakeZone::KillTarget(std::size_t index) {
  Target& target = targets_[index];
  target.dead = true;
  target.running = 0;
  // The platform's list says so, with a lag.
  At(now_ + milliseconds(80), [=, this] {
    const std::size_t holder = targets_[index].holder;
    AtHost(now_, holder, hosts_[holder].incarnation, [=, this](auto& out) {
      hosts_[holder].router.RemoveInstance(now_, targets_[index].view.id, out);
    });
  });
}

void FakeZone::LeaveTarget(std::size_t index) {
  Target& target = targets_[index];
  target.view.state = InstanceState::kLeaving;
  const std::size_t holder = target.holder;
  AtHost(now_, holder, hosts_[holder].incarnation, [=, this](auto& out) {
    targets_[index].told_leaving = true;
    if (!switches_.tell_leaving) return;
    hosts_[holder].router.SetInstanceState(now_, targets_[index].view.id,
                                           InstanceState::kLeaving, out);
  });
}

void FakeZone::Perform(std::size_t host, const RouterEffects& effects) {
  for (const RouterEffect& effect : effects) {
    if (const auto* it = std::get_if<Dispatch>(&effect)) DoDispatch(host, *it);
    if (const auto* it = std::get_if<ForwardToPeer>(&effect))
      DoForward(host, *it);
    if (const auto* it = std::get_if<RespondToCaller>(&effect))
      DoAnswer(host, *it);
    if (const auto* it = std::get_if<RespondToPeer>(&effect)) {
      DoAnswerPeer(host, *it);
    }
    if (const auto* it = std::get_if<SendLoadReport>(&effect))
      DoReport(host, *it);
    if (const auto* it = std::get_if<ProbeInstance>(&effect)) {
      DoProbe(host, *it);
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

void FakeZone::DoDispatch(std::size_t host, const Dispatch& effect) {
  const std::size_t index = TargetIndex(effect.instance);
  const Target& target = targets_[index];
  Check(target.holder == host, "sent by a host that does not hold the share");
  Check(!target.told_leaving, "new work for a leaving instance");
  std::vector<Connection>& idle = hosts_[host].idle[index];
  Connection connection{now_};
  if (!effect.fresh_connection) {
    Check(!idle.empty(), "reused a connection that is not open");
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
  const Sent sent{host, incarnation, index, effect, connection};
  At(now_ + Delay(), [=, this] { Reach(sent); });
  AtHost(now_ + effect.timeout, host, incarnation, [=, this](auto& out) {
    const TargetOutcome outcome = switches_.report_timeouts_truly
                                      ? TargetOutcome::kTimedOut
                                      : TargetOutcome::kNotSent;
    hosts_[host].router.OnDispatchCompleted(now_, effect.dispatch, outcome,
                                            out);
  });
}

void FakeZone::Reach(const Sent& sent) {
  Target& target = targets_[sent.target];
  if (target.dead) {
    Answered(sent, sent.effect.fresh_connection
                       ? TargetOutcome::kConnectFailed
                       : TargetOutcome::kConnectionLost);
    return;
  }
  if (sent.connection.opened < target.silent_before) return;
  if (target.bad_until > now_ && Draw(2) == 0) {
    Answered(sent, TargetOutcome::kRefusedNoSlot);
    return;
  }
  Check(target.running < target.view.slots, "more work than slots");
  if (target.running >= target.view.slots) {
    Answered(sent, TargetOutcome::kRefusedNoSlot);
    return;
  }
  Serve(sent);
}

void FakeZone::Serve(const Sent& sent) {
  Target& target = targets_[sent.target];
  ++target.running;
  ++ran_;
  ++requests_[LogicalId(sent.effect.request)].runs;
  Duration service = microseconds(500 + Draw(20000));
  if (target.slow_until > now_) service = milliseconds(50 + Draw(300));
  const bool crossed = target.bad_until > now_ && Draw(2) == 0;
  At(now_ + service, [=, this] {
    Target& it = targets_[sent.target];
    if (it.dead) {
      Answered(sent, TargetOutcome::kConnectionLost);
      return;
    }
    --it.running;
    if (sent.connection.opened < it.silent_before) return;
    Answered(sent, crossed ? TargetOutcome::kBadAnswer : TargetOutcome::kDone);
  });
}

void FakeZone::Answered(const Sent& sent, TargetOutcome outcome) {
  AtHost(now_ + Delay(), sent.host, sent.incarnation, [=, this](auto& out) {
    Host& host = hosts_[sent.host];
    const std::uint32_t before = host.router.State(now_).in_flight;
    host.router.OnDispatchCompleted(now_, sent.effect.dispatch, outcome, out);
    const bool taken =
        host.router.State(now_).in_flight != before || !out.empty();
    const bool open =
        IsDone(outcome) || outcome == TargetOutcome::kRefusedNoSlot;
    if (!open || !taken) return;
    host.idle[sent.target].push_back(sent.connection);
  });
}

void FakeZone::DoForward(std::size_t host, const ForwardToPeer& effect) {
  if (lossy_until_ > now_ && Draw(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  AtHost(now_ + Delay(), peer, hosts_[peer].incarnation, [=, this](auto& out) {
    RouterRequest request;
    request.id = RequestId(
        LogicalId(effect.request) + "@" + self.value() +
        std::to_string(static_cast<std::uint64_t>(effect.forward_id)));
    const bool idempotent = requests_[LogicalId(effect.request)].idempotent;
    request.entry = idempotent ? kSafe : kOnce;
    request.origin = ForwardOrigin{self, effect.forward_id};
    request.claimed = effect.claimed;
    request.remaining = effect.remaining;
    Check(hosts_[peer].router.Submit(now_, request, out).has_value(),
          "a forward was not taken");
  });
}

void FakeZone::DoAnswer(std::size_t host, const RespondToCaller& effect) {
  Check(hosts_[host].open.erase(effect.request) == 1,
        "a request was answered twice");
  requests_[effect.request.value()].answer = effect.code;
  if (effect.code != ResultCode::kOk || !effect.dispatch) return;
  const std::string name =
      hosts_[host].id.value() + "/" + std::to_string(hosts_[host].incarnation) +
      "/" + std::to_string(static_cast<std::uint64_t>(*effect.dispatch));
  Check(dispatched_[name] == effect.request.value(),
        "answered with the body of another request");
}

void FakeZone::DoAnswerPeer(std::size_t host, const RespondToPeer& effect) {
  if (lossy_until_ > now_ && Draw(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  AtHost(now_ + Delay(), peer, hosts_[peer].incarnation, [=, this](auto& out) {
    hosts_[peer].router.OnForwardCompleted(now_, self, effect.forward_id,
                                           effect.code, effect.load, out);
  });
}

void FakeZone::DoReport(std::size_t host, const SendLoadReport& effect) {
  if (lossy_until_ > now_ && Draw(3) == 0) return;
  const std::size_t peer = HostIndex(effect.peer);
  const HostId self = hosts_[host].id;
  AtHost(now_ + Delay(), peer, hosts_[peer].incarnation, [=, this](auto& out) {
    hosts_[peer].router.OnLoadReport(now_, self, effect.report, out);
  });
}

void FakeZone::DoProbe(std::size_t host, const ProbeInstance& effect) {
  const std::size_t index = TargetIndex(effect.instance);
  const std::uint64_t incarnation = hosts_[host].incarnation;
  const TimePoint asked = now_;
  At(now_ + Delay(), [=, this] {
    const Target& target = targets_[index];
    std::optional<TargetStatus> status;
    if (!target.dead) status = TargetStatus{target.running, 1, false};
    const TimePoint back =
        target.dead ? asked + effect.timeout : now_ + Delay();
    AtHost(std::max(back, now_), host, incarnation, [=, this](auto& out) {
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
