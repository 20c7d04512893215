// Compares the waiting time of requests on the same arrivals: Router objects of
// one availability zone, a single queue over all slots (the oracle), random
// choice and round robin.
#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "waiting_bench/routing_simulation.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr double kMeanServiceMs = 20;
constexpr double kServiceSigma = 1;
// Arrival rate of the first and of the last entry host, relative to the mean.
constexpr double kMaxArrivalRatio = 1.6;
constexpr double kMinArrivalRatio = 0.4;
constexpr std::chrono::seconds kDeadline{100};
constexpr milliseconds kShortDeadline{250};

struct Options {
  std::uint32_t seed = 1;
  std::size_t requests = 400000;
  std::string json;
  std::string only;
  RoutingSimulationConfig zone;
};

struct Figures {
  std::string scheme;
  double load = 0;
  double mean_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double to_oracle = 0;          // mean / oracle's mean
  double to_oracle_forward = 0;  // mean / (oracle's mean + one hop)
  double refused = 0;            // fraction of requests
  double forwarded = 0;          // fraction of requests
  double report_bytes = 0;       // per second and host, separate reports
  double carried_bytes = 0;      // per second and host, piggybacked
};

std::vector<Arrival> MakeArrivals(const Options& options, double load) {
  std::mt19937_64 random(options.seed);
  const double slots =
      static_cast<double>(options.zone.instances * options.zone.slots);
  std::exponential_distribution<double> gap(load * slots / kMeanServiceMs);
  std::lognormal_distribution<double> service(
      std::log(kMeanServiceMs) - kServiceSigma * kServiceSigma / 2,
      kServiceSigma);
  std::vector<double> weights;
  const auto hosts = options.zone.hosts;
  for (std::size_t i = 0; i < hosts; ++i) {
    const double step = static_cast<double>(i) / static_cast<double>(hosts - 1);
    weights.push_back(kMaxArrivalRatio +
                      (kMinArrivalRatio - kMaxArrivalRatio) * step);
  }
  std::discrete_distribution<std::size_t> host(weights.begin(), weights.end());
  std::vector<Arrival> arrivals;
  arrivals.reserve(options.requests);
  double at_ms = 0;
  for (std::size_t i = 0; i < options.requests; ++i) {
    at_ms += gap(random);
    const std::chrono::duration<double, std::milli> at(at_ms);
    const std::chrono::duration<double, std::milli> length(service(random));
    arrivals.push_back({TimePoint(std::chrono::hours(2)) +
                            std::chrono::duration_cast<Duration>(at),
                        host(random),
                        std::chrono::duration_cast<Duration>(length)});
  }
  return arrivals;
}

// A FIFO queue over `slots` slots: each request takes the slot that becomes
// free first.
class SlotQueue {
 public:
  explicit SlotQueue(std::size_t slots) {
    for (std::size_t i = 0; i < slots; ++i) free_at_.emplace();
  }
  Duration Take(const Arrival& arrival) {
    const TimePoint start = std::max(arrival.at, free_at_.top());
    free_at_.pop();
    free_at_.push(start + arrival.service);
    return start - arrival.at;
  }

 private:
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
      free_at_;
};

// Distributes the arrivals over one queue per instance, chosen by `choose`.
std::vector<Duration> RunSplit(const std::vector<Arrival>& arrivals,
                               const RoutingSimulationConfig& zone,
                               const std::function<std::size_t()>& choose) {
  std::vector<SlotQueue> queues(zone.instances, SlotQueue(zone.slots));
  std::vector<Duration> waits;
  waits.reserve(arrivals.size());
  for (const Arrival& arrival : arrivals) {
    waits.push_back(queues[choose()].Take(arrival));
  }
  return waits;
}

std::vector<Duration> RunOracle(const std::vector<Arrival>& arrivals,
                                const RoutingSimulationConfig& zone) {
  SlotQueue queue(zone.instances * zone.slots);
  std::vector<Duration> waits;
  waits.reserve(arrivals.size());
  for (const Arrival& arrival : arrivals) waits.push_back(queue.Take(arrival));
  return waits;
}

double Ms(Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

Figures Summarise(std::string scheme, double load,
                  std::vector<Duration> waits) {
  // The first tenth is warm-up: the zone is still filling.
  waits.erase(waits.begin(),
              waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 10));
  std::sort(waits.begin(), waits.end());
  Figures figures;
  figures.scheme = std::move(scheme);
  figures.load = load;
  if (waits.empty()) return figures;
  const Duration sum = std::accumulate(waits.begin(), waits.end(), Duration{});
  const auto count = static_cast<double>(waits.size());
  figures.mean_ms = Ms(sum) / count;
  figures.p99_ms = Ms(waits[static_cast<std::size_t>(count * 0.99)]);
  figures.p999_ms = Ms(waits[static_cast<std::size_t>(count * 0.999)]);
  return figures;
}

Figures RunRouters(const std::string& scheme, double load,
                   const std::vector<Arrival>& arrivals,
                   const RoutingSimulationConfig& zone,
                   const RouterSettings& settings, Duration deadline) {
  RoutingSimulation routers(zone, settings, deadline);
  const RoutingSimulationResult result = routers.Run(arrivals);
  Figures figures = Summarise(scheme, load, result.waits);
  const double seconds = Ms(arrivals.back().at - arrivals.front().at) / 1000;
  const double host_seconds = seconds * static_cast<double>(zone.hosts);
  const auto count = static_cast<double>(arrivals.size());
  if (result.suspended_instances > 0) {
    std::printf("instances wrongly suspended as slow: %llu\n",
                static_cast<unsigned long long>(result.suspended_instances));
  }
  figures.refused = static_cast<double>(result.refused) / count;
  figures.forwarded = static_cast<double>(result.forwarded) / count;
  figures.report_bytes =
      static_cast<double>(result.report_bytes) / host_seconds;
  figures.carried_bytes =
      static_cast<double>(result.carried_bytes) / host_seconds;
  return figures;
}

struct Scheme {
  std::string name;
  RouterSettings settings;
};

std::vector<Scheme> Schemes() {
  std::vector<Scheme> schemes;
  schemes.push_back({"default", {}});
  RouterSettings settings;
  settings.peer_choice = PeerSelectionPolicy::kNone;
  schemes.push_back({"no forwarding", settings});
  settings.peer_choice = PeerSelectionPolicy::kPowerOfTwoChoices;
  schemes.push_back({"two choices", settings});
  settings.peer_choice = PeerSelectionPolicy::kMostFreeSlots;
  schemes.push_back({"freest", settings});
  settings.count_unreported_forwards = false;
  schemes.push_back({"freest, own forwards not counted", settings});
  settings = {};
  settings.peer_choice = PeerSelectionPolicy::kShortestExpectedWait;
  schemes.push_back({"shortest delay", settings});
  settings.peer_choice = PeerSelectionPolicy::kMostFreeSlotsThenShortestWait;
  schemes.push_back({"freest, then shortest delay", settings});
  return schemes;
}

void Print(const Figures& figures) {
  std::printf(
      "%-34s %5.2f %9.3f %9.3f %9.3f %8.2f %8.2f %7.4f %6.3f %7.0f %7.0f\n",
      figures.scheme.c_str(), figures.load, figures.mean_ms, figures.p99_ms,
      figures.p999_ms, figures.to_oracle, figures.to_oracle_forward,
      figures.refused, figures.forwarded, figures.report_bytes,
      figures.carried_bytes);
  std::fflush(stdout);
}

nlohmann::json ToJson(const Figures& figures) {
  return {{"scheme", figures.scheme},
          {"load", figures.load},
          {"mean_ms", figures.mean_ms},
          {"p99_ms", figures.p99_ms},
          {"p999_ms", figures.p999_ms},
          {"mean_to_oracle", figures.to_oracle},
          {"mean_to_oracle_and_forward", figures.to_oracle_forward},
          {"refused_share", figures.refused},
          {"forwarded_share", figures.forwarded},
          {"report_bytes_per_second", figures.report_bytes},
          {"carried_bytes_per_second", figures.carried_bytes}};
}

// Collects and prints the results for one load. The oracle's are added first.
class Table {
 public:
  explicit Table(const Options& options) : options_(options) {
    std::printf("%-34s %5s %9s %9s %9s %8s %8s %7s %6s %7s %7s\n", "scheme",
                "load", "mean ms", "p99 ms", "p99.9 ms", "/oracle", "/or+fwd",
                "refused", "fwd", "rep B/s", "car B/s");
  }

  void Add(Figures figures) {
    if (figures.scheme == "oracle") oracle_ms_ = figures.mean_ms;
    if (oracle_ms_ > 0) figures.to_oracle = figures.mean_ms / oracle_ms_;
    figures.to_oracle_forward =
        figures.mean_ms / (oracle_ms_ + Ms(options_.zone.hop));
    Print(figures);
    rows_.push_back(ToJson(figures));
  }

  const nlohmann::json& rows() const { return rows_; }

 private:
  Options options_;
  double oracle_ms_ = 0;
  nlohmann::json rows_ = nlohmann::json::array();
};

bool Wanted(const Options& options, const std::string& scheme) {
  return options.only.empty() || options.only == scheme;
}

void MeasureLoad(const Options& options, double load, Table& table) {
  const std::vector<Arrival> arrivals = MakeArrivals(options, load);
  table.Add(Summarise("oracle", load, RunOracle(arrivals, options.zone)));
  for (const Scheme& scheme : Schemes()) {
    if (!Wanted(options, scheme.name)) continue;
    table.Add(RunRouters(scheme.name, load, arrivals, options.zone,
                         scheme.settings, kDeadline));
  }
  std::mt19937_64 random(options.seed);
  if (Wanted(options, "random instance")) {
    table.Add(Summarise("random instance", load,
                        RunSplit(arrivals, options.zone, [&] {
                          return random() % options.zone.instances;
                        })));
  }
  std::size_t turn = 0;
  if (Wanted(options, "round robin")) {
    table.Add(
        Summarise("round robin", load, RunSplit(arrivals, options.zone, [&] {
                    return turn++ % options.zone.instances;
                  })));
  }
}

// A third of the instances is not assigned to any entry host, so that no router
// may use them.
void MeasureIdleThird(const Options& options, double load, Table& table) {
  const std::vector<Arrival> arrivals = MakeArrivals(options, load);
  RoutingSimulationConfig rest = options.zone;
  rest.instances -= rest.instances / 3;
  table.Add(Summarise("oracle", load, RunOracle(arrivals, options.zone)));
  table.Add(RunRouters("all slots, 250 ms deadline", load, arrivals,
                       options.zone, {}, kShortDeadline));
  table.Add(RunRouters("a third idle, 250 ms deadline", load, arrivals, rest,
                       {}, kShortDeadline));
}

Options ParseOptions(int argc, char** argv) {
  Options options;
  const option names[] = {{"seed", required_argument, nullptr, 's'},
                          {"json", required_argument, nullptr, 'j'},
                          {"requests", required_argument, nullptr, 'n'},
                          {"only", required_argument, nullptr, 'o'},
                          {"target-hop-us", required_argument, nullptr, 't'},
                          {nullptr, 0, nullptr, 0}};
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "", names, nullptr)) != -1) {
    if (chosen == 's') {
      options.seed = static_cast<std::uint32_t>(std::stoul(optarg));
    }
    if (chosen == 'j') options.json = optarg;
    if (chosen == 'n') options.requests = std::stoul(optarg);
    if (chosen == 'o') options.only = optarg;
    if (chosen == 't') {
      options.zone.target_hop = std::chrono::microseconds(std::stol(optarg));
    }
  }
  return options;
}

void Measure(const Options& options) {
  Table table(options);
  for (const double load : {0.5, 0.8, 0.95}) MeasureLoad(options, load, table);
  for (const double load : {0.5, 0.6, 0.8}) {
    if (!Wanted(options, "idle")) continue;
    MeasureIdleThird(options, load, table);
  }
  if (options.json.empty()) return;
  std::ofstream file(options.json);
  file << nlohmann::json({{"bench", "waiting"},
                          {"seed", options.seed},
                          {"requests", options.requests},
                          {"rows", table.rows()}})
              .dump(2)
       << "\n";
}

}  // namespace
}  // namespace chivewing

int main(int argc, char** argv) {
  chivewing::Measure(chivewing::ParseOptions(argc, argv));
  return 0;
}
