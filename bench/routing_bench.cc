// Measures the time in which Router chooses an instance for a request: p50, p99
// and p99.9 for increasing numbers of instances.
#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "routing/router.h"

namespace chivewing {
namespace {

const EntryName kEntry("route-check");
constexpr std::uint32_t kSlots = 8;
constexpr double kBusyShare = 0.8;
constexpr std::size_t kPeers = 7;

struct Options {
  std::uint32_t seed = 1;
  std::size_t decisions = 200000;
  std::string json;
};

struct Figures {
  std::size_t instances = 0;
  double p50_us = 0;
  double p99_us = 0;
  double p999_us = 0;
  double answer_p99_us = 0;  // of processing a response
};

// A Router with `instances` instances, of whose slots kBusyShare are occupied.
class Load {
 public:
  Load(std::size_t instances, std::uint32_t seed) : random_(seed) {
    RequestClass policy;
    policy.entry = kEntry;
    router_.SetClasses(now_, {policy}, out_);
    for (std::size_t i = 0; i < instances; ++i) {
      InstanceInfo view;
      view.id = InstanceId("instance-" + std::to_string(i));
      view.entry = kEntry;
      view.address = "127.0.0.1:8000";
      view.slots = kSlots;
      router_.AddInstance(now_, view, false, out_);
    }
    for (std::size_t i = 0; i < kPeers; ++i) {
      router_.AddPeer(now_, HostId("host-" + std::to_string(i)), out_);
    }
    const auto busy = static_cast<std::size_t>(
        kBusyShare * static_cast<double>(instances * kSlots));
    for (std::size_t i = 0; i < busy; ++i) Submit();
  }

  // Returns the time of one Submit() that dispatches.
  Duration Submit() {
    RouterRequest request;
    request.id = RequestId("request-" + std::to_string(++last_));
    request.entry = kEntry;
    now_ += std::chrono::microseconds(50);
    out_.clear();
    const TimePoint start = BootClock::now();
    (void)router_.Submit(now_, request, out_);
    const Duration taken = BootClock::now() - start;
    const auto* const sent = std::get_if<Dispatch>(&out_.front());
    if (sent != nullptr) running_.push_back(sent->dispatch);
    return taken;
  }

  // Returns the time of processing the response to one running dispatch.
  Duration Answer() {
    const std::size_t index = random_() % running_.size();
    std::swap(running_[index], running_.back());
    const DispatchId dispatch = running_.back();
    running_.pop_back();
    out_.clear();
    const TimePoint start = BootClock::now();
    router_.OnDispatchCompleted(now_, dispatch, TargetOutcome::kDone, out_);
    return BootClock::now() - start;
  }

 private:
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  Router router_;
  RouterEffects out_;
  std::vector<DispatchId> running_;
  std::uint64_t last_ = 0;
};

double Quantile(std::vector<Duration>& times, double share) {
  const auto nth =
      times.begin() +
      static_cast<std::ptrdiff_t>(share * static_cast<double>(times.size()));
  std::nth_element(times.begin(), nth, times.end());
  return std::chrono::duration<double, std::micro>(*nth).count();
}

Figures MeasureSize(const Options& options, std::size_t instances) {
  Load load(instances, options.seed);
  std::vector<Duration> submits;
  std::vector<Duration> answers;
  submits.reserve(options.decisions);
  answers.reserve(options.decisions);
  for (std::size_t i = 0; i < options.decisions; ++i) {
    answers.push_back(load.Answer());
    submits.push_back(load.Submit());
  }
  return {instances, Quantile(submits, 0.5), Quantile(submits, 0.99),
          Quantile(submits, 0.999), Quantile(answers, 0.99)};
}

Options ParseOptions(int argc, char** argv) {
  Options options;
  const option names[] = {{"seed", required_argument, nullptr, 's'},
                          {"json", required_argument, nullptr, 'j'},
                          {"decisions", required_argument, nullptr, 'n'},
                          {nullptr, 0, nullptr, 0}};
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "", names, nullptr)) != -1) {
    if (chosen == 's') {
      options.seed = static_cast<std::uint32_t>(std::stoul(optarg));
    }
    if (chosen == 'j') options.json = optarg;
    if (chosen == 'n') options.decisions = std::stoul(optarg);
  }
  return options;
}

void Measure(const Options& options) {
  nlohmann::json rows = nlohmann::json::array();
  std::printf("%9s %8s %8s %8s %14s\n", "instances", "p50 us", "p99 us",
              "p99.9 us", "answer p99 us");
  std::vector<Figures> all;
  for (const std::size_t instances : {50, 200, 1000}) {
    const Figures figures = MeasureSize(options, instances);
    all.push_back(figures);
    std::printf("%9zu %8.2f %8.2f %8.2f %14.2f\n", figures.instances,
                figures.p50_us, figures.p99_us, figures.p999_us,
                figures.answer_p99_us);
    rows.push_back({{"instances", figures.instances},
                    {"p50_us", figures.p50_us},
                    {"p99_us", figures.p99_us},
                    {"p999_us", figures.p999_us},
                    {"answer_p99_us", figures.answer_p99_us}});
  }
  const double slope =
      (all.back().p50_us - all.front().p50_us) /
      static_cast<double>(all.back().instances - all.front().instances);
  std::printf("slope of p50: %.6f us an instance\n", slope);
  if (options.json.empty()) return;
  std::ofstream file(options.json);
  file << nlohmann::json({{"bench", "routing"},
                          {"seed", options.seed},
                          {"decisions", options.decisions},
                          {"slope_p50_us_per_instance", slope},
                          {"rows", rows}})
              .dump(2)
       << "\n";
}

}  // namespace
}  // namespace chivewing

int main(int argc, char** argv) {
  chivewing::Measure(chivewing::ParseOptions(argc, argv));
  return 0;
}
