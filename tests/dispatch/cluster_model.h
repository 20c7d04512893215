#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Which faults a schedule has; shares are of calls, spans between two faults.
struct ModelFaults {
  double lost_answers = 0;       // carried out, the answer is lost
  double late_orders = 0;        // no answer, carried out 2 to 12 s later
  seconds cut_every{0};          // a worker is not reached for some seconds
  seconds crash_every{0};        // a worker dies; comes back under its id
  seconds replace_every{0};      // the dispatcher is replaced
  bool old_one_goes_on = false;  // the replaced one acts on for a while
  bool split = false;       // meanwhile each reaches a part of the workers only
  double failing_runs = 0;  // runs that end as failed
  seconds cancel_every{0};
};

struct ModelOptions {
  std::uint64_t seed = 1;
  std::size_t workers = 12;
  std::size_t jobs = 60;
  seconds faults_until{30};
  seconds length{90};
  ModelFaults faults{};
  bool advice = false;
  DispatchOptions dispatch{};
};

// A worker that follows the rules of the platform's workers: fences, leases on
// its own clock, numbered ends that are told until they are taken note of.
struct ModelWorker {
  struct Going {
    Resources size{};
    TimePoint ends{};
    RunEndReason how = RunEndReason::kDone;
    bool lasting = false;
  };
  WorkerRegistration registration{};
  std::uint64_t fence = 0;
  std::map<TaskRunKey, Going> running{};
  std::vector<EndedRunReport> ended{};
  std::uint64_t last_end = 0;
  std::uint64_t forgotten = 0;
  std::map<TaskKey, std::uint64_t> barred{};  // runs up to these are outdated
  TimePoint born_at{};
  double rate = 1.0;  // of its clock
  WorkerTimestamp deadline{0};
  TimePoint cut_until{};
  TimePoint dead_until{};
};

// A cluster of model workers, a table that holds what dispatchers have written,
// and one or two dispatchers under a fake clock. Broken rules are collected by
// the name that the platform's page gives them.
class ClusterModel {
 public:
  explicit ClusterModel(ModelOptions options);

  // Plays the schedule to its end.
  void Play();

  const std::vector<std::string>& broken() const { return broken_; }
  std::size_t started() const { return started_; }
  // Jobs that should have ended and have not.
  std::vector<std::string> Unfinished() const;

  // For tests that set up a case by hand.
  void AddJob(const JobRecord& record);
  void Cancel(const JobId& job);
  void RunFor(Duration span);
  void ReplaceDispatcher();
  ModelWorker& worker(std::size_t index);
  Dispatcher& dispatcher() { return *acting_.back().dispatcher; }
  TimePoint now() const { return now_; }
  JobRecord MakeJob(const std::string& name, std::vector<StepSpec> steps);
  std::size_t CountRunning(const JobId& job) const;
  const std::map<JobId, JobProgress>& table() const { return table_; }

 private:
  struct Acting {
    std::unique_ptr<Dispatcher> dispatcher;
    std::uint64_t term = 0;
    TimePoint retired_at = TimePoint::max();
    std::optional<ProgressWriteBatch> batch{};
    bool unwritten = false;  // its writes no longer count
  };
  struct Event {
    TimePoint at;
    std::function<void()> run;
  };

  void Step();
  void DriveDispatchers();
  void Drive(Acting& acting);
  void InjectFaults();
  void AddRandomJobs();
  void AdvanceWorkers();
  void End(ModelWorker& worker, const TaskRunKey& run, RunEndReason how);
  void After(Duration delay, std::function<void()> run);
  Acting* FindActing(std::uint64_t term);

  void Carry(std::uint64_t term, const StartRun& order);
  void Carry(std::uint64_t term, const StopRun& order);
  void Carry(std::uint64_t term, const PaceRun& order);
  void Carry(std::uint64_t term, const PollWorker& order);
  void Carry(std::uint64_t term, const AdviceRequest& ask);
  bool IsSplitOff(std::uint64_t term, const WorkerId& worker) const;
  CommandResponse Execute(const StartRun& order);
  CommandResponse Execute(const StopRun& order);
  PollResponse Execute(const PollWorker& order);
  template <typename Order, typename Tell>
  void Deliver(std::uint64_t term, const Order& order, Tell tell);

  WorkerTimestamp ClockOf(const ModelWorker& worker) const;
  bool IsReached(const ModelWorker& worker) const;
  ModelWorker* Find(const WorkerId& id);
  void CheckStart(const ModelWorker& worker, const StartRun& order);
  bool IsNoted(const TaskKey& task) const;
  void Report(const std::string& rule, const std::string& what);
  double Share();
  Duration Between(Duration least, Duration most);
  bool IsFaulty() const;

  ModelOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  const TimePoint start_ = now_;
  std::vector<ModelWorker> workers_;
  std::vector<Acting> acting_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<JobId, JobRecord> jobs_;
  std::map<JobId, TimePoint> cancelled_;
  std::map<JobId, JobProgress> table_;
  std::set<WorkerId> roster_;
  std::uint64_t fence_ = 0;
  std::map<TaskKey, std::size_t> done_;  // ends `done`, wherever
  std::set<TaskKey> noted_;              // of those, settled at their worker
  std::map<TaskKey, std::size_t> failed_noted_;
  std::vector<std::string> broken_;
  std::size_t started_ = 0;
  std::size_t added_ = 0;
  TimePoint split_until_{};
  TimePoint next_cut_{};
  TimePoint next_crash_{};
  TimePoint next_replace_{};
  TimePoint next_cancel_{};
};

}  // namespace chivewing
