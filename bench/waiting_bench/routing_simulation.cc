#include "waiting_bench/routing_simulation.h"

#include <utility>

namespace chivewing {
namespace {

const EntryName kEntry("route-check");
constexpr Duration kNotRun{-1};
// Payload size of a load report in msgpack: the type, array headers and forward
// id once, and for each service its name and three small numbers.
constexpr std::uint64_t kReportHeadBytes = 16;
constexpr std::uint64_t kLoadBytes = 20;

HostId HostName(std::size_t index) {
  return HostId("h" + std::to_string(index));
}

std::size_t IndexOf(const std::string& name) {
  return std::stoul(name.substr(1));
}

}  // namespace

RoutingSimulation::RoutingSimulation(const RoutingSimulationConfig& size,
                                     const RouterSettings& settings,
                                     Duration deadline)
    : size_(size), armed_(size.hosts, TimePoint::max()) {
  RequestClass policy;
  policy.entry = kEntry;
  policy.default_deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
  policy.timeout = policy.default_deadline;
  policy.queue_bound = 1000000;
  for (std::size_t i = 0; i < size.hosts; ++i) {
    routers_.emplace_back(settings);
    routers_.back().SetClasses(now_, {policy}, effects_);
  }
  for (std::size_t i = 0; i < size.instances; ++i) {
    InstanceInfo view;
    view.id = InstanceId("i" + std::to_string(i));
    view.entry = kEntry;
    view.slots = size.slots;
    routers_[i % size.hosts].AddInstance(now_, view, false, effects_);
  }
  for (std::size_t i = 0; i < size.hosts; ++i) {
    for (std::size_t peer = 0; peer < size.hosts; ++peer) {
      if (peer == i) continue;
      Call(i, [&](Router& router) {
        router.AddPeer(now_, HostName(peer), effects_);
      });
    }
  }
}

void RoutingSimulation::At(TimePoint at, std::function<void()> action) {
  events_.push({at, ++last_event_, std::move(action)});
}

template <typename Action>
void RoutingSimulation::Call(std::size_t host, const Action& action) {
  effects_.clear();
  action(routers_[host]);
  Perform(host);
  Arm(host);
}

RoutingSimulationResult RoutingSimulation::Run(
    const std::vector<Arrival>& arrivals) {
  arrivals_ = &arrivals;
  waits_.assign(arrivals.size(), kNotRun);
  Arrive(0);
  while (answered_ < arrivals.size()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  for (const Duration wait : waits_) {
    if (wait == kNotRun) {
      ++result_.refused;
    } else {
      result_.waits.push_back(wait);
    }
  }
  for (const Router& router : routers_) {
    const RouterCounters counters = router.State(now_).counters;
    result_.forwarded += counters.forwarded;
    result_.suspended_instances += counters.ejections;
  }
  return result_;
}

void RoutingSimulation::Arrive(std::size_t index) {
  if (index >= arrivals_->size()) return;
  const Arrival& arrival = (*arrivals_)[index];
  At(arrival.at, [this, index, host = arrival.host] {
    RouterRequest request;
    request.id = RequestId("r" + std::to_string(index));
    request.entry = kEntry;
    Call(host,
         [&](Router& router) { (void)router.Submit(now_, request, effects_); });
    Arrive(index + 1);
  });
}

void RoutingSimulation::Arm(std::size_t host) {
  const auto next = routers_[host].NextWakeTime();
  if (!next || *next >= armed_[host]) return;
  armed_[host] = *next;
  At(std::max(*next, now_), [this, host, due = *next] {
    if (armed_[host] != due) return;  // superseded by an earlier wake-up
    armed_[host] = TimePoint::max();
    Call(host, [&](Router& router) { router.Tick(now_, effects_); });
  });
}

void RoutingSimulation::Perform(std::size_t host) {
  const RouterEffects effects = std::move(effects_);
  for (const RouterEffect& effect : effects) {
    if (const auto* it = std::get_if<Dispatch>(&effect)) DoDispatch(host, *it);
    if (const auto* it = std::get_if<ForwardToPeer>(&effect))
      DoForward(host, *it);
    if (const auto* it = std::get_if<RespondToPeer>(&effect)) {
      DoRespondToPeer(host, *it);
    }
    if (const auto* it = std::get_if<SendLoadReport>(&effect))
      DoReport(host, *it);
    if (const auto* it = std::get_if<ProbeInstance>(&effect)) {
      DoProbe(host, it->probe);
    }
    if (std::holds_alternative<RespondToCaller>(effect)) ++answered_;
  }
}

void RoutingSimulation::DoDispatch(std::size_t host, const Dispatch& effect) {
  const std::size_t index = IndexOf(effect.request.value());
  const Arrival& arrival = (*arrivals_)[index];
  waits_[index] = now_ - arrival.at;
  At(now_ + arrival.service + 2 * size_.target_hop,
     [this, host, dispatch = effect.dispatch] {
       Call(host, [&](Router& router) {
         router.OnDispatchCompleted(now_, dispatch, TargetOutcome::kDone,
                                    effects_);
       });
     });
}

void RoutingSimulation::DoForward(std::size_t host,
                                  const ForwardToPeer& effect) {
  At(now_ + size_.hop, [this, host, effect] {
    RouterRequest request;
    request.id = effect.request;
    request.entry = kEntry;
    request.origin = ForwardOrigin{HostName(host), effect.forward_id};
    request.remaining = effect.remaining;
    Call(IndexOf(effect.peer.value()),
         [&](Router& router) { (void)router.Submit(now_, request, effects_); });
  });
}

void RoutingSimulation::DoRespondToPeer(std::size_t host,
                                        const RespondToPeer& effect) {
  result_.carried_bytes += kReportHeadBytes + kLoadBytes;
  At(now_ + size_.hop, [this, host, effect] {
    Call(IndexOf(effect.peer.value()), [&](Router& router) {
      router.OnForwardCompleted(now_, HostName(host), effect.forward_id,
                                effect.code, effect.load, effects_);
    });
  });
}

void RoutingSimulation::DoProbe(std::size_t host, ProbeId probe) {
  At(now_ + 2 * size_.hop, [this, host, probe] {
    Call(host, [&](Router& router) {
      router.OnProbeCompleted(now_, probe, TargetStatus{}, effects_);
    });
  });
}

void RoutingSimulation::DoReport(std::size_t host,
                                 const SendLoadReport& effect) {
  result_.report_bytes +=
      kReportHeadBytes + kLoadBytes * effect.report.entries.size();
  At(now_ + size_.hop, [this, host, effect] {
    Call(IndexOf(effect.peer.value()), [&](Router& router) {
      router.OnLoadReport(now_, HostName(host), effect.report, effects_);
    });
  });
}

}  // namespace chivewing
