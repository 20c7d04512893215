// Measures the placer: decision time by number of workers, placements per
// second, packing density, waiting time of gangs under load, and readmission of
// workers from quarantine.
#include <getopt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/placer.h"
#include "placement/worker_health_tracker.h"

namespace chivewing {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using Random = std::mt19937_64;

constexpr Resources kHintWorker{32000, 65536, 0};
constexpr Resources kAcceleratorWorker{32000, 131072, 4};
constexpr int kWorkersPerRack = 8;

// Prints rows to standard output and writes them to a file as JSON lines.
class Report {
 public:
  Report(const std::string& path, std::uint64_t seed) : seed_(seed) {
    if (!path.empty()) file_.open(path);
  }

  void AddRow(const std::string& measure, const std::string& variant,
              const std::string& name, double value, const char* unit) {
    std::printf("%-18s %-34s %-22s %12.3f %s\n", measure.c_str(),
                variant.c_str(), name.c_str(), value, unit);
    std::fflush(stdout);
    if (!file_.is_open()) return;
    file_ << R"({"measure":")" << measure << R"(","variant":")" << variant
          << R"(","name":")" << name << R"(","value":)" << value
          << R"(,"unit":")" << unit << R"(","seed":)" << seed_ << "}\n";
    file_.flush();
  }

 private:
  std::uint64_t seed_;
  std::ofstream file_;
};

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(share * last))];
}

std::int64_t Uniform(Random& random, std::int64_t least, std::int64_t most) {
  return std::uniform_int_distribution<std::int64_t>(least, most)(random);
}

double Exponential(Random& random, double mean) {
  return std::exponential_distribution<double>(1.0 / mean)(random);
}

Duration ToDuration(double in_seconds) {
  return duration_cast<Duration>(std::chrono::duration<double>(in_seconds));
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A mix of small and large tasks, one in ten with accelerators.
Resources MixedTask(Random& random) {
  const std::int64_t kind = Uniform(random, 0, 99);
  if (kind < 60) {
    return {250 * Uniform(random, 1, 8), 256 * Uniform(random, 1, 16), 0};
  }
  if (kind < 90) {
    return {1000 * Uniform(random, 2, 16), 1024 * Uniform(random, 2, 32), 0};
  }
  return {1000 * Uniform(random, 1, 8), 2048 * Uniform(random, 2, 16),
          Uniform(random, 1, 2)};
}

// A zone of simulated workers on a simulated clock. Effects of the placer are
// executed immediately.
class Zone {
 public:
  explicit Zone(PlacerOptions options = {}) : placer(options, 1) {}

  void AddWorkers(int count, const Resources& capacity) {
    for (int number = 0; number < count; ++number) {
      WorkerSpec worker;
      worker.id = WorkerId("w" + std::to_string(workers_));
      worker.rack = "r" + std::to_string(workers_ / kWorkersPerRack);
      worker.capacity = capacity;
      placer.UpsertWorker(now, worker, effects);
      ++workers_;
    }
  }

  JobId Submit(JobClass job_class, int tasks, const Resources& size,
               Duration run_time, int priority = 0) {
    JobSpec job;
    job.id = JobId("j" + std::to_string(next_job_++));
    job.entry = EntryName("e" + std::to_string(entry_));
    job.owner = OwnerId("o" + std::to_string(entry_ % 220));
    job.job_class = job_class;
    job.tasks = tasks;
    job.per_task = size;
    job.priority = priority;
    job.run_time = run_time;
    job.submitted = now;
    placer.SubmitJob(now, job, effects);
    return job.id;
  }

  // Runs one decision, commits it and starts its tasks; calls `started` for
  // each task.
  std::size_t Run(std::size_t max_starts,
                  const std::function<void(const LaunchTask&)>& started = {}) {
    effects.clear();
    const auto batch = placer.Decide(now, max_starts, effects);
    if (!batch) return 0;
    effects.clear();
    placer.CommitSucceeded(now, *batch, effects);
    const Effects launched = std::move(effects);
    effects.clear();
    for (const Effect& effect : launched) {
      const auto* launch = std::get_if<LaunchTask>(&effect);
      if (launch == nullptr) continue;
      placer.OnTaskStarted(now, launch->task, effects);
      if (started) started(*launch);
    }
    return launched.size();
  }

  // Sets the entry of the jobs submitted from now on.
  void SetEntry(std::int64_t entry) { entry_ = entry; }
  int workers() const { return workers_; }

  Placer placer;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Effects effects;

 private:
  int workers_ = 0;
  int next_job_ = 0;
  std::int64_t entry_ = 0;
};

// Decision time of one placement in a zone kept at about 80% load, with
// `backlog` more jobs waiting for free resources.
void MeasureDecision(Report& report, std::uint64_t seed, int workers,
                     int backlog) {
  constexpr int steps = 20000;
  Random random(seed);
  Zone zone;
  zone.AddWorkers(workers * 4 / 5, kHintWorker);
  zone.AddWorkers(workers - zone.workers(), kAcceleratorWorker);
  std::vector<TaskId> running;
  const auto remember = [&running](const LaunchTask& launch) {
    running.push_back(launch.task);
  };
  const auto fill = static_cast<std::size_t>(workers) * 4;
  for (std::size_t task = 0; task < fill; ++task) {
    zone.SetEntry(Uniform(random, 0, 499));
    zone.Submit(JobClass::kBatch, 1, MixedTask(random), seconds(60));
    zone.Run(1, remember);
  }
  for (int job = 0; job < backlog; ++job) {
    zone.SetEntry(500 + job % 200);
    zone.Submit(JobClass::kBatch, 1, {32000, 120000, 4}, seconds(60));
  }
  std::vector<double> times;
  times.reserve(steps);
  for (int step = 0; step < steps; ++step) {
    zone.now += milliseconds(1);
    zone.SetEntry(Uniform(random, 0, 499));
    zone.Submit(JobClass::kBatch, 1, MixedTask(random), seconds(60));
    zone.effects.clear();
    const auto begin = std::chrono::steady_clock::now();
    const auto batch = zone.placer.Decide(zone.now, 1, zone.effects);
    const auto end = std::chrono::steady_clock::now();
    times.push_back(
        std::chrono::duration<double, std::micro>(end - begin).count());
    if (batch) {
      zone.effects.clear();
      zone.placer.CommitSucceeded(zone.now, *batch, zone.effects);
      const Effects launched = std::move(zone.effects);
      zone.effects.clear();
      for (const Effect& effect : launched) {
        running.push_back(std::get<LaunchTask>(effect).task);
        zone.placer.OnTaskStarted(zone.now, running.back(), zone.effects);
      }
    }
    if (running.size() <= fill) continue;
    const std::size_t pick = random() % running.size();
    zone.placer.TaskEnded(zone.now, running[pick], TaskEnd::kDone,
                          zone.effects);
    running[pick] = running.back();
    running.pop_back();
  }
  const std::string variant = std::to_string(workers) + " workers, " +
                              std::to_string(backlog) + " waiting";
  report.AddRow("decision", variant, "p50", Quantile(times, 0.5), "us");
  report.AddRow("decision", variant, "p99", Quantile(times, 0.99), "us");
  report.AddRow("decision", variant, "p99.9", Quantile(times, 0.999), "us");
}

// Complete placement cycles per second: submit, decide, commit, start, end.
void MeasureThroughput(Report& report, std::uint64_t seed, int workers,
                       std::size_t group) {
  constexpr std::size_t placements = 50000;
  Random random(seed);
  Zone zone;
  zone.AddWorkers(workers * 4 / 5, kHintWorker);
  zone.AddWorkers(workers - zone.workers(), kAcceleratorWorker);
  std::vector<TaskId> running;
  const auto remember = [&running](const LaunchTask& launch) {
    running.push_back(launch.task);
  };
  const auto most = static_cast<std::size_t>(workers) * 4;
  const auto begin = std::chrono::steady_clock::now();
  std::size_t placed = 0;
  while (placed < placements) {
    zone.now += milliseconds(20);
    for (std::size_t job = 0; job < group; ++job) {
      zone.SetEntry(Uniform(random, 0, 499));
      zone.Submit(JobClass::kBatch, 1, MixedTask(random), seconds(60));
    }
    placed += zone.Run(group * 2, remember);
    while (running.size() > most) {
      const std::size_t pick = random() % running.size();
      zone.placer.TaskEnded(zone.now, running[pick], TaskEnd::kDone,
                            zone.effects);
      running[pick] = running.back();
      running.pop_back();
    }
  }
  const auto end = std::chrono::steady_clock::now();
  const std::string variant =
      std::to_string(workers) + " workers, groups of " + std::to_string(group);
  report.AddRow("throughput", variant, "placements",
                static_cast<double>(placed) / ToSeconds(end - begin), "/s");
}

struct FitVariant {
  const char* name;
  FitPolicy fit;
  bool keep_accelerators;
  bool large_first;
};

constexpr std::array kFitVariants = {
    FitVariant{"first fit", FitPolicy::kFirstFit, false, false},
    FitVariant{"best fit", FitPolicy::kBestFit, true, false},
    FitVariant{"dot product", FitPolicy::kDotProduct, true, false},
    FitVariant{"balanced", FitPolicy::kBalanced, true, false},
    FitVariant{"first fit, queue", FitPolicy::kFirstFit, false, true},
    FitVariant{"best fit, queue", FitPolicy::kBestFit, true, true},
    FitVariant{"balanced, queue", FitPolicy::kBalanced, true, true},
};

// Tasks of many shapes on workers of one kind.
struct PackingMix {
  const char* name;
  Resources worker;
  Resources (*draw)(Random&);
};

// Small tasks mixed with large ones that need mostly processors or mostly
// memory.
Resources HaulierTask(Random& random) {
  const std::int64_t kind = Uniform(random, 0, 99);
  if (kind < 50) {
    return {500 * Uniform(random, 1, 4), 1024 * Uniform(random, 1, 4), 0};
  }
  if (kind < 80) {
    return {1000 * Uniform(random, 4, 9), 1024 * Uniform(random, 2, 6), 0};
  }
  return {1000 * Uniform(random, 1, 3), 1024 * Uniform(random, 10, 18), 0};
}

// Large tasks only: the hardest to pack.
Resources LargeTask(Random& random) {
  return {1000 * Uniform(random, 4, 12), 1024 * Uniform(random, 6, 24), 0};
}

constexpr Resources kHaulierWorker{16000, 32768, 0};

constexpr std::array kPackingMixes = {
    PackingMix{"hauliers", kHaulierWorker, HaulierTask},
    PackingMix{"accelerators", kAcceleratorWorker, MixedTask},
    PackingMix{"large only", kHaulierWorker, LargeTask},
};

// Lower bound of the number of workers for all tasks: the largest ratio, over
// the dimensions, of their total demand to the size of one worker.
double VolumeBound(const Resources& sum, const Resources& capacity) {
  const auto ratio = [](std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
  };
  return std::max({ratio(sum.processors_milli, capacity.processors_milli),
                   ratio(sum.memory_mb, capacity.memory_mb),
                   ratio(sum.accelerators, capacity.accelerators)});
}

// Number of workers used for a mix of tasks, relative to the volume lower
// bound. Tasks arrive one by one, or all are queued when the decision starts.
void MeasurePacking(Report& report, std::uint64_t seed, const PackingMix& mix,
                    const FitVariant& variant) {
  constexpr int rounds = 5;
  constexpr int tasks = 2000;
  double ratio_sum = 0;
  for (int round = 0; round < rounds; ++round) {
    Random random(seed + static_cast<std::uint64_t>(round));
    PlacerOptions options;
    options.fit = variant.fit;
    options.avoid_accelerator_workers = variant.keep_accelerators;
    Zone zone(options);
    zone.AddWorkers(2000, mix.worker);
    Resources sum;
    for (int task = 0; task < tasks; ++task) {
      const Resources size = mix.draw(random);
      sum += size;
      zone.SetEntry(Uniform(random, 0, 499));
      zone.Submit(JobClass::kBatch, 1, size, seconds(60));
      if (!variant.large_first) zone.Run(1);
    }
    if (variant.large_first) zone.Run(tasks);
    int used = 0;
    for (const WorkerSummary& view : zone.placer.Workers()) {
      if (view.tasks > 0) ++used;
    }
    ratio_sum += used / VolumeBound(sum, mix.worker);
  }
  report.AddRow("packing", std::string(mix.name) + ": " + variant.name,
                "ratio to volume bound", ratio_sum / rounds, "");
}

// Utilisation of the scarcest dimension in a zone that is kept full while tasks
// end and arrive.
void MeasureChurn(Report& report, std::uint64_t seed,
                  const FitVariant& variant) {
  constexpr int workers = 50;
  constexpr int steps = 20000;
  Random random(seed);
  PlacerOptions options;
  options.fit = variant.fit;
  options.avoid_accelerator_workers = variant.keep_accelerators;
  Zone zone(options);
  zone.AddWorkers(40, kHintWorker);
  zone.AddWorkers(workers - 40, kAcceleratorWorker);
  std::vector<TaskId> running;
  const auto remember = [&running](const LaunchTask& launch) {
    running.push_back(launch.task);
  };
  std::size_t waiting = 0;
  double used_sum = 0;
  int samples = 0;
  for (int step = 0; step < steps; ++step) {
    zone.now += milliseconds(100);
    while (waiting < 20) {
      zone.SetEntry(Uniform(random, 0, 499));
      zone.Submit(JobClass::kBatch, 1, MixedTask(random), seconds(60));
      ++waiting;
    }
    waiting -= zone.Run(100, remember);
    if (step > steps / 10 && step % 50 == 0) {
      const PlacerSummary summary = zone.placer.Summary();
      used_sum += VolumeBound(summary.reserved, summary.capacity);
      ++samples;
    }
    const std::size_t pick = random() % running.size();
    zone.placer.TaskEnded(zone.now, running[pick], TaskEnd::kDone,
                          zone.effects);
    running[pick] = running.back();
    running.pop_back();
  }
  report.AddRow("full zone", variant.name, "scarcest dimension",
                100 * used_sum / samples, "% used");
}

struct GangVariant {
  const char* name;
  bool reservation;
  Duration backfill_limit;
  // Actual run time of small tasks as a multiple of the declared one.
  double run_time_factor;
};

constexpr std::array kGangVariants = {
    GangVariant{"no reservation", false, seconds(0), 1.0},
    GangVariant{"reservation, no backfill", true, seconds(0), 1.0},
    GangVariant{"reservation, backfill", true, seconds(60), 1.0},
    GangVariant{"reservation, no backfill, runs 4x", true, seconds(0), 4.0},
    GangVariant{"reservation, backfill, runs 4x", true, seconds(60), 4.0},
};

// Waiting time of gangs of 50 tasks, each a quarter of a worker, while a steady
// stream of small tasks keeps a zone of 50 workers full.
class GangMeasurement {
 public:
  GangMeasurement(std::uint64_t seed, const GangVariant& variant)
      : random_(seed), variant_(variant), zone_(MakeOptions(variant)) {
    zone_.AddWorkers(50, kHintWorker);
  }

  void Run(Report& report) {
    constexpr int steps = 36000;  // one hour in steps of 100 ms
    double used_sum = 0;
    for (int step = 0; step < steps; ++step) {
      zone_.now += milliseconds(100);
      EndDueTasks();
      SubmitSmallTasks();
      if (step % 3000 == 2999) SubmitGang();
      zone_.Run(1000, [this](const LaunchTask& launch) { Start(launch); });
      const PlacerSummary summary = zone_.placer.Summary();
      used_sum += VolumeBound(summary.reserved, summary.capacity);
    }
    std::vector<double> waits = waits_;
    for (const auto& [gang, submitted] : waiting_gangs_) {
      waits.push_back(ToSeconds(zone_.now - submitted));
    }
    report.AddRow("gang wait", variant_.name, "placed of 12",
                  static_cast<double>(waits_.size()), "");
    report.AddRow("gang wait", variant_.name, "p50", Quantile(waits, 0.5), "s");
    report.AddRow("gang wait", variant_.name, "longest", Quantile(waits, 1),
                  "s");
    report.AddRow("gang wait", variant_.name, "zone in use",
                  100 * used_sum / steps, "%");
  }

 private:
  struct Running {
    TimePoint end;
    TaskId task;
    bool operator<(const Running& other) const { return end > other.end; }
  };

  static PlacerOptions MakeOptions(const GangVariant& variant) {
    PlacerOptions options;
    options.reservation = variant.reservation;
    options.backfill_limit = variant.backfill_limit;
    return options;
  }

  void SubmitSmallTasks() {
    while (zone_.placer.Summary().waiting_jobs < 40) {
      const std::int64_t kind = Uniform(random_, 0, 39);
      const auto run_time = static_cast<double>(2 + kind);
      zone_.SetEntry(kind);
      const JobId job = zone_.Submit(
          JobClass::kBatch, 1,
          {500 * Uniform(random_, 1, 8), 1024 * Uniform(random_, 1, 8), 0},
          ToDuration(run_time));
      run_times_[job] = run_time * variant_.run_time_factor;
    }
  }

  void SubmitGang() {
    zone_.SetEntry(1000);
    const JobId gang =
        zone_.Submit(JobClass::kGang, 50, {8000, 16384, 0}, seconds(30));
    run_times_[gang] = 30;
    waiting_gangs_[gang] = zone_.now;
  }

  void Start(const LaunchTask& launch) {
    const double run_time = run_times_.at(launch.job);
    running_.push_back({zone_.now + ToDuration(run_time), launch.task});
    std::push_heap(running_.begin(), running_.end());
    const auto gang = waiting_gangs_.find(launch.job);
    if (gang == waiting_gangs_.end()) return;
    waits_.push_back(ToSeconds(zone_.now - gang->second));
    waiting_gangs_.erase(gang);
  }

  void EndDueTasks() {
    while (!running_.empty() && running_.front().end <= zone_.now) {
      std::pop_heap(running_.begin(), running_.end());
      zone_.placer.TaskEnded(zone_.now, running_.back().task, TaskEnd::kDone,
                             zone_.effects);
      running_.pop_back();
    }
  }

  Random random_;
  GangVariant variant_;
  Zone zone_;
  std::vector<Running> running_;
  std::unordered_map<JobId, double> run_times_;
  std::unordered_map<JobId, TimePoint> waiting_gangs_;
  std::vector<double> waits_;
};

struct ReadmissionVariant {
  const char* name;
  ReadmissionPolicy policy;
  Duration timeout;
  int good_probes;
};

constexpr std::array kReadmissionVariants = {
    ReadmissionVariant{"time-out 10 s", ReadmissionPolicy::kTimeout,
                       seconds(10), 0},
    ReadmissionVariant{"time-out 60 s", ReadmissionPolicy::kTimeout,
                       seconds(60), 0},
    ReadmissionVariant{"time-out 300 s", ReadmissionPolicy::kTimeout,
                       seconds(300), 0},
    ReadmissionVariant{"1 good probe", ReadmissionPolicy::kConsecutiveProbes,
                       seconds(0), 1},
    ReadmissionVariant{"3 good probes", ReadmissionPolicy::kConsecutiveProbes,
                       seconds(0), 3},
    ReadmissionVariant{"5 good probes", ReadmissionPolicy::kConsecutiveProbes,
                       seconds(0), 5},
    ReadmissionVariant{"10 good probes", ReadmissionPolicy::kConsecutiveProbes,
                       seconds(0), 10},
};

struct FlapVariant {
  const char* name;
  double good_seconds;
  double bad_seconds;
  // Fraction of starts and probes that fail while the worker is bad.
  double failing;
};

constexpr std::array kFlapVariants = {
    FlapVariant{"bad 30 s of 10 min", 570, 30, 1.0},
    FlapVariant{"bad 10 min of 20 min", 600, 600, 1.0},
    FlapVariant{"flaps each 20 s", 20, 20, 1.0},
    FlapVariant{"bad half, 4 of 5 fail", 600, 600, 0.8},
};

// One worker that alternates between good and bad. A task of a new job is
// offered to it every second for a day.
void MeasureReadmission(Report& report, std::uint64_t seed,
                        const FlapVariant& flap,
                        const ReadmissionVariant& variant) {
  constexpr int day_seconds = 86400;
  constexpr int hours = 24;
  Random random(seed);
  HealthOptions options;
  options.readmission = variant.policy;
  options.quarantine_timeout = variant.timeout;
  options.probes_to_readmit = variant.good_probes;
  options.max_quarantined_fraction = 1;
  WorkerHealthTracker health(options);
  const WorkerId worker("w");
  TimePoint now = TimePoint(std::chrono::hours(1));
  bool good = true;
  TimePoint change = now + ToDuration(Exponential(random, flap.good_seconds));
  double failed = 0;
  double probes = 0;
  double good_time = 0;
  double good_used = 0;
  const auto fails = [&random, &flap, &good] {
    return !good && std::bernoulli_distribution(flap.failing)(random);
  };
  for (int second = 0; second < day_seconds; ++second) {
    now += seconds(1);
    while (now >= change) {
      good = !good;
      const double mean = good ? flap.good_seconds : flap.bad_seconds;
      change += ToDuration(Exponential(random, mean));
    }
    Effects effects;
    health.Tick(now, effects);
    for (const Effect& effect : effects) {
      if (!std::holds_alternative<ProbeWorker>(effect)) continue;
      ++probes;
      Effects more;
      health.OnProbeCompleted(now, worker, !fails(), more);
    }
    if (good) ++good_time;
    if (health.IsQuarantined(worker)) continue;
    const JobId job("j" + std::to_string(second));
    if (fails()) {
      ++failed;
      health.RecordFailure(now, worker, job, 1, effects);
    } else {
      health.RecordSuccess(worker, job);
      if (good) ++good_used;
    }
    health.ForgetJob(job);
  }
  const std::string name = std::string(flap.name) + ": " + variant.name;
  report.AddRow("readmission", name, "failed starts", failed / hours, "/h");
  report.AddRow("readmission", name, "good time unused",
                100 * (1 - good_used / good_time), "%");
  report.AddRow("readmission", name, "probes", probes / hours, "/h");
}

struct Arguments {
  std::uint64_t seed = 20261204;
  std::string json;
  std::string only;
};

Arguments Parse(int argc, char** argv) {
  constexpr std::array options = {
      option{"seed", required_argument, nullptr, 's'},
      option{"json", required_argument, nullptr, 'j'},
      option{"only", required_argument, nullptr, 'o'},
      option{nullptr, 0, nullptr, 0}};
  Arguments arguments;
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "", options.data(), nullptr)) !=
         -1) {
    if (chosen == 's') arguments.seed = std::stoull(optarg);
    if (chosen == 'j') arguments.json = optarg;
    if (chosen == 'o') arguments.only = optarg;
  }
  return arguments;
}

void RunAll(const Arguments& arguments) {
  Report report(arguments.json, arguments.seed);
  const std::uint64_t seed = arguments.seed;
  const auto wanted = [&arguments](const char* measure) {
    return arguments.only.empty() || arguments.only == measure;
  };
  if (wanted("decision")) {
    for (const int workers : {50, 1000, 18000}) {
      MeasureDecision(report, seed, workers, 0);
      MeasureDecision(report, seed, workers, 2000);
    }
  }
  if (wanted("throughput")) {
    for (const int workers : {50, 1000, 18000}) {
      MeasureThroughput(report, seed, workers, 100);
    }
  }
  for (const PackingMix& mix : kPackingMixes) {
    for (const FitVariant& variant : kFitVariants) {
      if (wanted("packing")) MeasurePacking(report, seed, mix, variant);
    }
  }
  for (const FitVariant& variant : kFitVariants) {
    if (wanted("packing") && !variant.large_first) {
      MeasureChurn(report, seed, variant);
    }
  }
  for (const GangVariant& variant : kGangVariants) {
    if (wanted("gang")) GangMeasurement(seed, variant).Run(report);
  }
  for (const FlapVariant& flap : kFlapVariants) {
    for (const ReadmissionVariant& variant : kReadmissionVariants) {
      if (wanted("readmission")) {
        MeasureReadmission(report, seed, flap, variant);
      }
    }
  }
}

}  // namespace
}  // namespace chivewing

int main(int argc, char** argv) {
  chivewing::RunAll(chivewing::Parse(argc, argv));
  return 0;
}
