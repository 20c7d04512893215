#include "placement/zone_model.h"

#include <stdexcept>

namespace chivewing {
namespace {

constexpr int kWorkers = 6;
constexpr std::size_t kMaxStarts = 4;

void Require(bool condition, const std::string& message) {
  if (!condition) throw std::logic_error(message);
}

bool RunsIndefinitely(const JobSpec& job) {
  return job.job_class == JobClass::kService ||
         job.job_class == JobClass::kSingleton;
}

Resources CapacityOf(int number) {
  return number % 3 == 0 ? Resources{8000, 16000, 2}
                         : Resources{16000, 32000, 0};
}

}  // namespace

ZoneModel::ZoneModel(PlacerOptions options)
    : options_(options),
      placer_(std::make_unique<Placer>(options, epoch_)),
      quotas_({{OwnerId("o0"), {40000, 60000, 2}},
               {OwnerId("o1"), {30000, 70000, 4}}}) {
  for (const auto& [owner, quota] : quotas_) placer_->SetQuota(owner, quota);
  for (int number = 0; number < kWorkers; ++number) {
    UpsertWorker(number, WorkerState::kLive);
  }
}

void ZoneModel::Apply(const RandomEvent& event) {
  now_ += milliseconds(100 + event.second % 4000);
  switch (event.kind % 16) {
    case 0:
    case 1:
    case 2:
      SubmitRandomJob(event.first, event.second);
      break;
    case 3:
      CancelRandomJobs(event.first, event.second);
      break;
    case 4:
    case 5:
    case 6:
      Decide();
      break;
    case 7:
    case 8:
      ResolveCommit(event.first % 8 != 0);
      break;
    case 9:
    case 10:
      FinishStart(event.first, event.second);
      break;
    case 11:
      EndRunning(event.first, event.second);
      break;
    case 12:
      ConfirmStop(event.first);
      break;
    case 13:
      MakeTaskUnreachable(event.first, event.second % 2 == 0);
      break;
    case 14:
      ChangeWorker(event.first, event.second);
      break;
    default:
      if (event.first % 8 == 0) ReplacePlacer();
      break;
  }
  CheckAll();
}

void ZoneModel::SubmitRandomJob(unsigned first, unsigned second) {
  JobSpec job;
  job.id = JobId("j" + std::to_string(next_job_++));
  job.entry = EntryName("e" + std::to_string(first % 5));
  job.owner = OwnerId("o" + std::to_string(second % 3));
  job.job_class = static_cast<JobClass>(first % 4);
  job.tasks = job.job_class == JobClass::kSingleton
                  ? 1
                  : 1 + static_cast<int>(second % 4);
  job.per_task = {1000 + 1000 * (first % 9), 1000 + 1500 * (second % 9),
                  first % 7 == 0 ? 1 : 0};
  job.priority = static_cast<int>(second % 5);
  job.urgent = first % 11 == 0;
  job.run_time = seconds(second % 30);
  job.spread = first % 2 == 0;
  job.checkpointable = second % 2 == 0;
  job.submitted = now_;
  jobs_[job.id] = job;
  Effects effects;
  placer_->SubmitJob(now_, job, effects);
  ApplyEffects(effects);
}

void ZoneModel::CancelRandomJobs(unsigned first, unsigned second) {
  std::vector<JobId> jobs;
  for (const auto& [id, job] : jobs_) {
    if (jobs.size() > second % 6) break;
    if (std::hash<JobId>()(id) % 5 == first % 5) jobs.push_back(id);
  }
  Cancel(jobs);
}

void ZoneModel::Cancel(const std::vector<JobId>& jobs) {
  Effects effects;
  placer_->CancelJobs(now_, jobs, effects);
  cancelled_jobs_.insert(jobs.begin(), jobs.end());
  ApplyEffects(effects);
}

void ZoneModel::Decide() {
  Effects effects;
  const auto batch = placer_->Decide(now_, kMaxStarts, effects);
  if (batch) pending_batches_.push_back(*batch);
  ApplyEffects(effects);
}

void ZoneModel::ResolveCommit(bool succeeds) {
  if (pending_batches_.empty()) return;
  const BatchId batch = pending_batches_.front();
  pending_batches_.erase(pending_batches_.begin());
  Effects effects;
  if (succeeds) {
    placer_->CommitSucceeded(now_, batch, effects);
  } else {
    placer_->CommitFailed(now_, batch, effects);
    std::erase_if(tasks_,
                  [](const auto& task) { return !task.second.launched; });
    // Batches decided later fail too: the rows of all their tasks are gone from
    // the model.
    for (const BatchId later : pending_batches_) {
      placer_->CommitFailed(now_, later, effects);
    }
    pending_batches_.clear();
  }
  ApplyEffects(effects);
}

void ZoneModel::FinishStart(unsigned pick, unsigned outcome) {
  const auto starting = TasksInState(true, false, false);
  if (starting.empty()) return;
  const TaskId& task = starting[pick % starting.size()];
  Effects effects;
  if (outcome % 6 == 0) {
    const auto failure =
        outcome % 12 == 0 ? StartFailure::kNoRoom : StartFailure::kFailed;
    tasks_.erase(task);
    placer_->TaskStartFailed(now_, task, failure, effects);
  } else {
    tasks_.at(task).running = true;
    placer_->OnTaskStarted(now_, task, effects);
  }
  ApplyEffects(effects);
}

void ZoneModel::EndRunning(unsigned pick, unsigned how) {
  const auto running = TasksInState(true, true, false);
  if (running.empty()) return;
  const TaskId& task = running[pick % running.size()];
  const TaskEnd end = how % 5 == 0 ? TaskEnd::kFailed : TaskEnd::kDone;
  if (end == TaskEnd::kDone) ++completed_tasks_[tasks_.at(task).job];
  tasks_.erase(task);
  Effects effects;
  placer_->TaskEnded(now_, task, end, effects);
  ApplyEffects(effects);
}

void ZoneModel::ConfirmStop(unsigned pick) {
  std::vector<TaskId> stopping;
  for (const auto& [id, task] : tasks_) {
    if (task.stopping) stopping.push_back(id);
  }
  if (stopping.empty()) return;
  const TaskId& task = stopping[pick % stopping.size()];
  tasks_.erase(task);
  Effects effects;
  placer_->TaskEnded(now_, task, TaskEnd::kStopped, effects);
  ApplyEffects(effects);
}

void ZoneModel::MakeTaskUnreachable(unsigned pick, bool expires) {
  const std::vector<TaskId> launched = LaunchedTasks();
  if (launched.empty()) return;
  const TaskId& task = launched[pick % launched.size()];
  Effects effects;
  placer_->OnTaskUnreachable(now_, task, effects);
  if (expires) {
    tasks_.erase(task);
    placer_->TaskLeaseExpired(now_, task, effects);
  }
  ApplyEffects(effects);
}

void ZoneModel::ChangeWorker(unsigned pick, unsigned what) {
  const int number = static_cast<int>(pick % kWorkers);
  switch (what % 4) {
    case 0:
      RemoveWorker(WorkerId("w" + std::to_string(number)));
      break;
    case 1:
      UpsertWorker(number, WorkerState::kLeaving);
      break;
    default:
      UpsertWorker(number, WorkerState::kLive);
      break;
  }
}

void ZoneModel::UpsertWorker(int number, WorkerState state) {
  WorkerSpec spec;
  spec.id = WorkerId("w" + std::to_string(number));
  spec.rack = "r" + std::to_string(number / 2);
  spec.capacity = CapacityOf(number);
  spec.state = state;
  workers_[spec.id] = {spec.capacity, state};
  Effects effects;
  placer_->UpsertWorker(now_, spec, effects);
  ApplyEffects(effects);
}

void ZoneModel::RemoveWorker(const WorkerId& worker) {
  workers_.erase(worker);
  std::erase_if(tasks_, [&worker](const auto& task) {
    return task.second.worker == worker;
  });
  Effects effects;
  placer_->RemoveWorker(now_, worker, effects);
  ApplyEffects(effects);
}

void ZoneModel::ReplacePlacer() {
  // Unconfirmed batches: the new lease holder finds none of their rows, and
  // their tasks were never sent to a worker.
  pending_batches_.clear();
  std::erase_if(tasks_, [](const auto& task) { return !task.second.launched; });
  placer_ = std::make_unique<Placer>(options_, ++epoch_);
  Effects effects;
  for (const auto& [owner, quota] : quotas_) placer_->SetQuota(owner, quota);
  for (const auto& [id, worker] : workers_) {
    const int number = std::stoi(id.value().substr(1));
    UpsertWorker(number, worker.state);
  }
  for (const auto& [id, job] : jobs_) {
    const bool over = ended_jobs_.contains(id);
    if (!over) placer_->SubmitJob(now_, job, effects);
    if (!over && cancelled_jobs_.contains(id)) {
      placer_->CancelJobs(now_, std::span(&id, 1), effects);
    }
    for (int done = 0; done < completed_tasks_[id] && !over; ++done) {
      placer_->RestoreDoneTask(now_, id, effects);
    }
  }
  for (const auto& [id, task] : tasks_) {
    CommittedTask row;
    row.id = id;
    row.job = task.job;
    row.entry = jobs_.at(task.job).entry;
    row.owner = task.owner;
    row.worker = task.worker;
    row.resources = task.resources;
    row.state = task.running ? TaskState::kRunning : TaskState::kLaunched;
    row.since = now_;
    placer_->RestoreTask(now_, row, effects);
  }
  ApplyEffects(effects);
}

void ZoneModel::ApplyEffects(const Effects& effects) {
  std::unordered_map<JobId, int> launched;
  for (const Effect& effect : effects) {
    if (const auto* start = std::get_if<CommitTaskRow>(&effect)) {
      ApplyStart(*start);
    } else if (const auto* launch = std::get_if<LaunchTask>(&effect)) {
      ApplyLaunch(*launch);
      ++launched[launch->job];
    } else if (const auto* drop = std::get_if<DeleteTaskRow>(&effect)) {
      const auto task = tasks_.find(drop->task);
      Require(task == tasks_.end() || !task->second.launched,
              "the row of a launched task is deleted");
      tasks_.erase(drop->task);
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
      const auto task = tasks_.find(stop->task);
      Require(task != tasks_.end() && task->second.launched,
              "a task that was never launched is stopped");
      task->second.stopping = true;
    } else if (const auto* finished = std::get_if<JobFinished>(&effect)) {
      ended_jobs_.insert(finished->job);
      Require(finished->cancelled == cancelled_jobs_.contains(finished->job),
              "a job finished with the wrong cancelled flag");
    } else if (const auto* refused = std::get_if<JobRefused>(&effect)) {
      ended_jobs_.insert(refused->job);
    }
  }
  CheckGangs(launched);
}

void ZoneModel::ApplyStart(const CommitTaskRow& start) {
  Require(!cancelled_jobs_.contains(start.job), "a cancelled job starts");
  Require(!ended_jobs_.contains(start.job), "a job starts after its end");
  const auto worker = workers_.find(start.worker);
  Require(
      worker != workers_.end() && worker->second.state == WorkerState::kLive,
      "a task starts on a worker that accepts no tasks");
  Require(!tasks_.contains(start.task), "a task id is used twice");
  tasks_[start.task] = {start.job, start.owner, start.worker, start.resources,
                        false,     false,       false};
}

void ZoneModel::ApplyLaunch(const LaunchTask& launch) {
  ++launch_count_;
  Require(!cancelled_jobs_.contains(launch.job), "a cancelled job is launched");
  Require(tasks_.contains(launch.task), "an unknown task is launched");
  tasks_.at(launch.task).launched = true;
}

void ZoneModel::CheckGangs(
    const std::unordered_map<JobId, int>& launched) const {
  for (const auto& [id, count] : launched) {
    const JobSpec& job = jobs_.at(id);
    if (job.job_class != JobClass::kGang) continue;
    Require(count == job.tasks, "only a part of a gang is launched");
  }
}

void ZoneModel::CheckAll() const {
  std::unordered_map<WorkerId, Resources> by_worker;
  std::unordered_map<OwnerId, Resources> by_owner;
  std::unordered_map<JobId, int> live;
  for (const auto& [id, task] : tasks_) {
    by_worker[task.worker] += task.resources;
    by_owner[task.owner] += task.resources;
    if (task.launched) ++live[task.job];
  }
  for (const auto& [worker, sum] : by_worker) {
    Require(Fits(sum, workers_.at(worker).capacity),
            "worker " + worker.value() + " is over its capacity");
  }
  for (const auto& [owner, sum] : by_owner) {
    const auto quota = quotas_.find(owner);
    Require(quota == quotas_.end() || Fits(sum, quota->second),
            "owner " + owner.value() + " is over its quota");
  }
  for (const auto& [job, count] : live) {
    const bool singleton = jobs_.at(job).job_class == JobClass::kSingleton;
    Require(!singleton || count <= 1, "a singleton runs twice");
  }
  placer_->CheckInvariants();
}

std::vector<std::string> ZoneModel::RunToCompletion() {
  for (int number = 0; number < kWorkers; ++number) {
    UpsertWorker(number, WorkerState::kLive);
  }
  // Services run indefinitely and may take all resources.
  std::vector<JobId> services;
  for (const auto& [id, job] : jobs_) {
    if (RunsIndefinitely(job)) services.push_back(id);
  }
  Cancel(services);
  constexpr int steps = 2000;
  for (int step = 0; step < steps; ++step) {
    now_ += seconds(1);
    Decide();
    while (!pending_batches_.empty()) ResolveCommit(true);
    for (const TaskId& task : TasksInState(true, false, false)) {
      tasks_.at(task).running = true;
      Effects effects;
      placer_->OnTaskStarted(now_, task, effects);
      ApplyEffects(effects);
    }
    ConfirmStop(0);
    EndRunning(static_cast<unsigned>(step), 1);
    CheckAll();
  }
  std::vector<std::string> unfinished;
  for (const auto& [id, job] : jobs_) {
    if (ended_jobs_.contains(id)) continue;
    const WaitReason why = placer_->GetWaitReason(now_, id);
    const bool excused = why.code == ResultCode::kNeverFits ||
                         why.code == ResultCode::kOverQuota;
    if (!excused) unfinished.push_back(id.value() + ": " + why.sentence);
  }
  return unfinished;
}

std::vector<TaskId> ZoneModel::TasksInState(bool launched, bool running,
                                            bool stopping) const {
  std::vector<TaskId> selected;
  for (const auto& [id, task] : tasks_) {
    const bool alike = task.launched == launched && task.running == running &&
                       task.stopping == stopping;
    if (alike) selected.push_back(id);
  }
  return selected;
}

std::vector<TaskId> ZoneModel::LaunchedTasks() const {
  std::vector<TaskId> launched;
  for (const auto& [id, task] : tasks_) {
    if (task.launched) launched.push_back(id);
  }
  return launched;
}

}  // namespace chivewing
