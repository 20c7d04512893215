#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {

// A dispatcher, one worker that follows its commands and lists its runs and
// ends as workers do, and a table that can be away. Time is set by Pass.
class SingleWorkerHarness {
 public:
  static WorkerRegistration Registration(const std::string& id) {
    WorkerRegistration worker;
    worker.worker = WorkerId(id);
    worker.capacity = {1'000'000, 1'000'000, 0};
    worker.incarnation_start = std::chrono::milliseconds(1);
    return worker;
  }

  // Registers the worker, which no earlier dispatcher has used.
  void RegisterWorker() {
    dispatcher_.RegisterWorker(now_, Registration(kWorker));
  }
  // Takes the worker over from an earlier dispatcher.
  void AdoptWorker() {
    dispatcher_.AdoptWorker(now_, now_, Registration(kWorker));
    RegisterWorker();
  }
  void Register(const WorkerRegistration& registration) {
    dispatcher_.RegisterWorker(now_, registration);
  }

  // A job of one step.
  void AddJob(const StepSpec& step, bool uncertain,
              const std::optional<JobProgress>& progress = std::nullopt) {
    JobRecord record;
    record.id = JobId(kJob);
    record.queue.max_attempts = 3;
    record.spec.steps = {step};
    dispatcher_.AddJob(now_, now_, record, progress, uncertain);
  }
  JobPhase job_state() const {
    return dispatcher_.state().jobs.at(JobId(kJob)).state;
  }
  const DispatchState& state() const { return dispatcher_.state(); }

  static TaskRunKey FirstRun(const std::string& job, std::size_t task) {
    return {{JobId(job), 0, 0, task}, 1};
  }
  void AddEnd(const TaskRunKey& run) {
    EndedRunReport end;
    end.number = ++last_end_;
    end.run = run;
    end.how = RunEndReason::kDone;
    ended_.push_back(end);
  }
  // The worker lists a run that this dispatcher has not started.
  void AddRun(const TaskRunKey& run) { running_.push_back({run, "", 0, 0}); }
  TaskRunKey LastRun() const { return running_.back().run; }
  // All runs of the worker end as done.
  void EndAllRuns() {
    for (const ActiveRunReport& run : running_) AddEnd(run.run);
    running_.clear();
  }
  // One run vanishes without an end.
  void LoseRun() { running_.pop_back(); }
  // The worker starts again under its id, without runs and ends.
  void RestartWorker() {
    running_.clear();
    ended_.clear();
    last_end_ = 0;
    ++incarnation_start_;
  }
  std::chrono::milliseconds incarnation_start() const {
    return incarnation_start_;
  }
  void set_table_away(bool away) { table_away_ = away; }
  // The first copy of each start is not carried out and has no response.
  void set_loses_first_copies(bool lost) { loses_first_copies_ = lost; }
  // The worker lists its newest ends first.
  void set_lists_newest_first(bool wanted) { lists_newest_first_ = wanted; }
  // All polls get this outcome instead of lists.
  void set_poll_outcome(std::optional<CommandOutcome> outcome) {
    poll_outcome_ = outcome;
  }
  // Another host may be dispatching from now on, or may not.
  void EndLease() { dispatcher_.set_sole_until(now_ - Duration(1)); }
  void RegainLease() { dispatcher_.set_sole_until(TimePoint::max()); }
  // The worker's clock reads so much less from now on.
  void SetClockBack(std::chrono::milliseconds by) { clock_back_ += by; }
  // The platform's list no longer holds the worker.
  void Unregister() { dispatcher_.UnregisterWorker(WorkerId(kWorker)); }

  void Pass(Duration time) {
    constexpr std::chrono::milliseconds turn{20};
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += turn) {
      DispatchEffects effects;
      dispatcher_.Decide(now_, std::chrono::milliseconds(0), effects);
      for (const DispatchEffect& effect : effects) CarryOut(effect);
      if (!table_away_)
        dispatcher_.OnSaved(now_, dispatcher_.TakeBatch(kRowsPerBatch));
    }
  }

  std::size_t starts() const { return starts_; }
  std::size_t stops() const { return stops_; }
  std::size_t running() const { return running_.size(); }

 private:
  static constexpr const char* kWorker = "w";
  static constexpr const char* kJob = "j";
  static constexpr std::size_t kRowsPerBatch = 60;

  void CarryOut(const DispatchEffect& effect) {
    if (const auto* start = std::get_if<StartRun>(&effect)) {
      ++starts_;
      if (loses_first_copies_ && lost_copies_.insert(start->run).second) {
        dispatcher_.OnStartResponse(now_, start->run_id, CommandResponse{});
        return;
      }
      running_.push_back({start->run, "", 0, 0});
      dispatcher_.OnStartResponse(now_, start->run_id, Done<CommandResponse>());
    } else if (const auto* stop = std::get_if<StopRun>(&effect)) {
      ++stops_;
      dispatcher_.OnStopAnswer(now_, stop->run_id, stop->worker,
                               Done<CommandResponse>());
    } else if (const auto* poll = std::get_if<PollWorker>(&effect)) {
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id,
                                 Lists(*poll));
    }
  }
  // The oldest ends that the table may lack, as many as one response holds.
  PollResponse Lists(const PollWorker& poll) const {
    PollResponse response = Done<PollResponse>();
    if (poll_outcome_) {
      response.outcome = *poll_outcome_;
      return response;
    }
    response.incarnation_start = incarnation_start_;
    if (poll.worker != WorkerId(kWorker)) return response;
    response.running = running_;
    for (const EndedRunReport& end : ended_) {
      if (end.number <= poll.persisted_end) continue;
      if (response.ended.size() < kMaxListedEnds) response.ended.push_back(end);
    }
    if (lists_newest_first_)
      std::reverse(response.ended.begin(), response.ended.end());
    return response;
  }
  template <typename Response>
  Response Done() const {
    Response response;
    response.outcome = CommandOutcome::kDone;
    response.clock =
        std::chrono::duration_cast<WorkerTimestamp>(now_.time_since_epoch()) -
        clock_back_;
    return response;
  }

  TimePoint now_{std::chrono::seconds(100)};
  Dispatcher dispatcher_{{}, 2};
  bool table_away_ = false;
  bool lists_newest_first_ = false;
  bool loses_first_copies_ = false;
  std::set<TaskRunKey> lost_copies_;
  std::optional<CommandOutcome> poll_outcome_{};
  std::chrono::milliseconds clock_back_{0};
  std::chrono::milliseconds incarnation_start_{1};
  std::vector<ActiveRunReport> running_;
  std::vector<EndedRunReport> ended_;
  std::uint64_t last_end_ = 0;
  std::size_t starts_ = 0;
  std::size_t stops_ = 0;
};

}  // namespace chivewing
