#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {

// Arrivals of one queue in LoadModel. Task counts, times and sizes are drawn
// evenly between 0.3 and 1.7 of their mean.
struct LoadQueue {
  Queue queue{};
  double jobs_per_second = 0;
  std::size_t steps = 1;
  double tasks = 1;  // mean of one step
  std::chrono::milliseconds task_time{0};
  Resources size{};
  bool long_running = false;
  double approved = 1.0;  // fraction of the workers that the advice approves
};

struct LoadOptions {
  std::size_t workers = 350;
  std::size_t advice_hosts = 44;
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{6000};
  double load = 1.0;  // factor of all arrivals
  // For `burst_length` from then on, arrivals are multiplied by `burst`.
  std::chrono::milliseconds burst_at{3000};
  std::chrono::milliseconds burst_length{60'000};
  double burst = 1.0;
  // From then on no decision is made for `outage_length`, and the jobs that
  // are accepted meanwhile are dispatched afterwards.
  std::chrono::milliseconds outage_at{3000};
  std::chrono::milliseconds outage_length{0};
  std::vector<LoadQueue> queues{};
};

// The queues of a large site on an ordinary day.
std::vector<LoadQueue> DayQueues();
// The same on a site of 540 workers that are all in use, with short objectives.
std::vector<LoadQueue> FullSiteQueues();

// A fault-free cluster of many workers on a fake clock, to measure what the
// decisions of one dispatcher cost. Workers hold polls and answer them as soon
// as a run ends; the advice service handles the requests of a host in turn.
class LoadModel {
 public:
  explicit LoadModel(LoadOptions options);

  void Run();
  // Runs until `until` after the start, without arrivals if `idle`.
  void RunUntil(Duration until, bool idle);

  const Dispatcher& dispatcher() const { return dispatcher_; }
  std::uint64_t turns() const { return turns_; }
  std::uint64_t ends() const { return ends_; }
  // Of the jobs of a queue that were accepted in [from, to) after the start,
  // the fraction that callers were shown as completed by their objective.
  double FractionInTime(const std::string& queue, Duration from,
                        Duration to) const;

 private:
  struct Job {
    const LoadQueue* queue = nullptr;
    TimePoint accepted_at{};
    TimePoint due{};
    TimePoint completed_at = TimePoint::max();
  };
  struct Worker {
    WorkerRegistration registration{};
    std::map<TaskRunKey, TimePoint> running{};
    std::vector<EndedRunReport> ended{};
    std::uint64_t last_end = 0;
    std::optional<PollWorker> held{};
  };

  void After(Duration delay, std::function<void()> run);
  void AddArrivals();
  void AddJob(const LoadQueue& queue);
  bool IsInOutage() const;
  void WriteBatch();
  void CarryOut(const StartRun& command);
  void CarryOut(const StopRun& command);
  void CarryOut(const PaceRun& command);
  void CarryOut(const PollWorker& command);
  void CarryOut(const AdviceRequest& request);
  void EndRun(Worker& worker, const TaskRunKey& run);
  void AnswerPoll(Worker& worker);
  double Draw() { return std::uniform_real_distribution<>(0.3, 1.7)(random_); }
  std::chrono::milliseconds wall() const;
  WorkerTimestamp clock() const;

  LoadOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  const TimePoint start_ = now_;
  Dispatcher dispatcher_;
  std::map<WorkerId, Worker> workers_;
  std::map<JobId, Job> jobs_;
  std::vector<std::pair<TimePoint, JobRecord>> held_back_;  // by the outage
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<HostId, TimePoint> advice_busy_until_;
  std::vector<double> due_jobs_;  // fractions of a job that have arrived
  std::optional<ProgressWriteBatch> batch_{};
  std::uint64_t added_ = 0;
  std::uint64_t turns_ = 0;
  std::uint64_t ends_ = 0;
};

}  // namespace chivewing
