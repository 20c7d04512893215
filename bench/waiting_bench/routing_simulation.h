#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "routing/router.h"

namespace chivewing {

// One request of the simulated load: arrival time, entry host and service time.
struct Arrival {
  TimePoint at;
  std::size_t host = 0;
  Duration service{};
};

// Size and network delays of the simulated zone.
struct RoutingSimulationConfig {
  std::size_t hosts = 8;
  std::size_t instances = 50;
  std::uint32_t slots = 8;
  Duration hop = std::chrono::microseconds(500);  // one way, host to host
  Duration target_hop{};                          // one way, host to target
};

// Results of one simulation.
struct RoutingSimulationResult {
  std::vector<Duration> waits;  // of completed requests, by arrival
  std::uint64_t refused = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t suspended_instances = 0;  // suspended as slow
  // Payload bytes of load reports: sent as separate messages, and piggybacked
  // on forward responses.
  std::uint64_t report_bytes = 0;
  std::uint64_t carried_bytes = 0;
};

// Discrete-event simulation of the Router objects of one availability zone,
// connected by a network with fixed delays. Runs on a simulated clock and does
// no I/O.
class RoutingSimulation {
 public:
  RoutingSimulation(const RoutingSimulationConfig& size,
                    const RouterSettings& settings, Duration deadline);

  RoutingSimulationResult Run(const std::vector<Arrival>& arrivals);

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void At(TimePoint at, std::function<void()> action);
  // Applies `action` to the host's router and executes the resulting effects.
  template <typename Action>
  void Call(std::size_t host, const Action& action);
  void Perform(std::size_t host);
  void DoDispatch(std::size_t host, const Dispatch& effect);
  void DoForward(std::size_t host, const ForwardToPeer& effect);
  void DoRespondToPeer(std::size_t host, const RespondToPeer& effect);
  void DoProbe(std::size_t host, ProbeId probe);
  void DoReport(std::size_t host, const SendLoadReport& effect);
  void Arm(std::size_t host);
  void Arrive(std::size_t index);

  RoutingSimulationConfig size_;
  TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::vector<Router> routers_;
  std::vector<TimePoint> armed_;
  RouterEffects effects_;
  const std::vector<Arrival>* arrivals_ = nullptr;
  std::vector<Duration> waits_;  // by arrival; negative: did not run
  std::size_t answered_ = 0;
  RoutingSimulationResult result_;
};

}  // namespace chivewing
