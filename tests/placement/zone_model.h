#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/placer_harness.h"

namespace chivewing {

// One random event; the meaning of `first` and `second` depends on the kind.
struct RandomEvent {
  unsigned kind = 0;
  unsigned first = 0;
  unsigned second = 0;
};

// Drives a Placer with random events against a model that independently tracks
// which task runs on which worker, and checks the invariants after each event.
// Throws std::logic_error at the first violation.
class ZoneModel {
 public:
  explicit ZoneModel(PlacerOptions options = {});

  void Apply(const RandomEvent& event);
  // Ends all faults, cancels services and singletons, and runs the rest to
  // completion. Returns the jobs that did not finish although they fit on the
  // workers and within their quota.
  std::vector<std::string> RunToCompletion();

  int launch_count() const { return launch_count_; }

 private:
  struct ModelWorker {
    Resources capacity;
    WorkerState state = WorkerState::kLive;
  };
  // A task whose row may be committed and that may run.
  struct ModelTask {
    JobId job;
    OwnerId owner;
    WorkerId worker;
    Resources resources;
    bool launched = false;
    bool running = false;
    bool stopping = false;
  };

  void SubmitRandomJob(unsigned first, unsigned second);
  void CancelRandomJobs(unsigned first, unsigned second);
  void Decide();
  void ResolveCommit(bool succeeds);
  void FinishStart(unsigned pick, unsigned outcome);
  void EndRunning(unsigned pick, unsigned how);
  void Cancel(const std::vector<JobId>& jobs);
  void ConfirmStop(unsigned pick);
  void MakeTaskUnreachable(unsigned pick, bool expires);
  void ChangeWorker(unsigned pick, unsigned what);
  void UpsertWorker(int number, WorkerState state);
  void RemoveWorker(const WorkerId& worker);
  void ReplacePlacer();

  void ApplyEffects(const Effects& effects);
  void ApplyStart(const CommitTaskRow& start);
  void ApplyLaunch(const LaunchTask& launch);
  void CheckAll() const;
  void CheckGangs(const std::unordered_map<JobId, int>& launched) const;

  std::vector<TaskId> TasksInState(bool launched, bool running,
                                   bool stopping) const;
  std::vector<TaskId> LaunchedTasks() const;

  PlacerOptions options_;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<Placer> placer_;
  TimePoint now_ = TimePoint(hours(1));
  std::unordered_map<WorkerId, ModelWorker> workers_;
  std::unordered_map<TaskId, ModelTask> tasks_;
  std::unordered_map<JobId, JobSpec> jobs_;
  std::unordered_map<JobId, int> completed_tasks_;
  std::unordered_set<JobId> cancelled_jobs_;
  std::unordered_set<JobId> ended_jobs_;
  std::vector<BatchId> pending_batches_;
  std::unordered_set<TaskId> dropped_;
  std::unordered_map<OwnerId, Resources> quotas_;
  int next_job_ = 0;
  int launch_count_ = 0;
};

}  // namespace chivewing
