#include "entry/placement_session.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

constexpr std::chrono::minutes kOldJobSweepInterval{1};
constexpr std::string_view kProbePrefix = "probe:";
constexpr std::chrono::milliseconds kProbeRunTime{1};

WorkerState StateOf(const PlatformHost& host, const Catalogue& catalogue) {
  // A worker that is listed as gone is removed only once WorkerDirectory
  // confirms it.
  if (host.state != HostState::kLive) return WorkerState::kLeaving;
  const bool out_of_use = catalogue.IsOutOfUse(SubjectKind::kWorker, host.id);
  return out_of_use ? WorkerState::kOutOfUse : WorkerState::kLive;
}

TaskState StateOf(TaskRowState state) {
  if (state == TaskRowState::kStarting) return TaskState::kLaunched;
  if (state == TaskRowState::kLeaving) return TaskState::kStopping;
  return TaskState::kRunning;
}

TaskEnd ToTaskEnd(WorkerTaskState state) {
  switch (state) {
    case WorkerTaskState::kDone:
      return TaskEnd::kDone;
    case WorkerTaskState::kFailed:
      return TaskEnd::kFailed;
    case WorkerTaskState::kCheckpointed:
      return TaskEnd::kCheckpointed;
    default:
      return TaskEnd::kStopped;
  }
}

nlohmann::json ToJson(const Resources& amount) {
  return {{"processors_milli", amount.processors_milli},
          {"memory_mb", amount.memory_mb},
          {"accelerators", amount.accelerators}};
}

}  // namespace

PlacementSession::PlacementSession(const ClockReading& clock,
                                   PlacementSessionSettings settings,
                                   PlacerCallbacks callbacks,
                                   std::uint64_t epoch, const PlacerView& view)
    : settings_(settings),
      callbacks_(std::move(callbacks)),
      epoch_(epoch),
      view_(view),
      placer_(settings_.placer, epoch),
      pending_writes_(view.zone(), view.statuses(), callbacks_.wall_time),
      next_explain_at_(clock.now),
      next_sweep_at_(clock.now) {
  Load(clock);
}

PlacementSession::~PlacementSession() = default;

// --- Loading ---

void PlacementSession::Load(const ClockReading& clock) {
  OnWorkerListChanged(clock.now);
  LoadEntries(clock);
  for (const auto& [job, row] : view_.jobs()) SyncJob(clock, job);
  LoadTasks(clock.now);
  LogInfo(LogPart::kPlacer,
          "epoch " + std::to_string(epoch_) + " loaded " +
              std::to_string(view_.workers().workers().size()) + " workers, " +
              std::to_string(tasks_.size()) + " tasks");
}

void PlacementSession::LoadEntries(const ClockReading& clock) {
  std::vector<EntryName> names;
  view_.catalogue().ForEach([&names](const CatalogueRecord& record) {
    names.push_back(record.name);
  });
  for (const EntryName& name : names) SyncEntry(clock, name);
}

void PlacementSession::LoadTasks(TimePoint now) {
  Effects effects;
  for (const auto& [id, row] : view_.tasks()) {
    if (row.state == TaskRowState::kDone) {
      placer_.RestoreDoneTask(now, row.job, effects);
      continue;
    }
    const CatalogueEntry* entry = view_.catalogue().Find(row.entry);
    TaskRecord& record = tasks_[id];
    record.row = row;
    record.lease_may_expire = entry != nullptr && LeasesMayExpire(*entry);
    if (WorkerSession* session = FindWorkerSession(row.worker)) {
      session->Adopt(now, id, record.lease_may_expire);
    }
    CommittedTask task;
    task.id = id;
    task.job = row.job;
    task.entry = row.entry;
    task.owner = row.owner;
    task.worker = row.worker;
    task.resources = {row.processors_milli, row.memory_mb, row.accelerators};
    task.state = StateOf(row.state);
    task.since = now;
    placer_.RestoreTask(now, task, effects);
    if (row.state == TaskRowState::kLeaving) {
      record.stop_at = now + settings_.drain_delay;
    }
  }
  Apply(now, effects);
}

void PlacementSession::OnRow(const ClockReading& clock, const TableRow& row) {
  const std::string name = row.key.substr(row.key.rfind('/') + 1);
  if (row.key.starts_with(kJobRowPrefix)) {
    SyncJob(clock, JobId(name));
  } else if (row.key.starts_with("catalogue/") ||
             row.key == PlacerView::SingletonKey(EntryName(name))) {
    SyncEntry(clock, EntryName(name));
  }
}

bool PlacementSession::IsPlacedHere(const CatalogueEntry& entry) const {
  if (entry.work_class == WorkClass::kSingleton) {
    const auto assigned = view_.singleton_zones().find(entry.name);
    return assigned != view_.singleton_zones().end() &&
           assigned->second.zone == view_.zone();
  }
  if (entry.work_class != WorkClass::kService) return false;
  // Instances of the entry `served_by` serve its requests.
  if (!entry.served_by.empty()) return false;
  const std::vector<ZoneId>& zones = entry.policy.zones;
  return zones.empty() ||
         std::find(zones.begin(), zones.end(), view_.zone()) != zones.end();
}

void PlacementSession::SyncEntry(const ClockReading& clock,
                                 const EntryName& name) {
  const CatalogueEntry* entry = view_.catalogue().Find(name);
  const bool here = entry != nullptr && IsPlacedHere(*entry);
  if (!here || entry->work_class != WorkClass::kService) {
    CancelJob(clock.now, ServiceJobId(name));
  }
  if (!here || entry->work_class != WorkClass::kSingleton) {
    CancelJob(clock.now, SingletonJobId(name));
  }
  if (entry == nullptr || entry->work_class == WorkClass::kOutOfUse) {
    OnWorkerListChanged(clock.now);
    return;
  }
  if (entry->work_class == WorkClass::kOwner) SyncQuota(*entry);
  if (!here) return;
  Effects effects;
  placer_.SubmitJob(clock.now, MakeCatalogueJob(*entry, clock), effects);
  Apply(clock.now, effects);
}

void PlacementSession::SyncQuota(const CatalogueEntry& entry) {
  placer_.SetQuota(entry.owner, ResourcesOf(entry.limits));
}

void PlacementSession::CancelJob(TimePoint now, const JobId& job) {
  Effects effects;
  const std::array<JobId, 1> jobs = {job};
  placer_.CancelJobs(now, jobs, effects);
  Apply(now, effects);
}

void PlacementSession::SyncJob(const ClockReading& clock, const JobId& job) {
  const auto row = view_.jobs().find(job);
  if (row == view_.jobs().end() || row->second.zone != view_.zone()) return;
  if (pending_writes_.HasEnded(job)) return;
  if (row->second.cancel_requested) {
    // The placer does not know the job, so there are no tasks to stop.
    Effects effects;
    const std::array<JobId, 1> jobs = {job};
    placer_.CancelJobs(clock.now, jobs, effects);
    if (effects.empty()) {
      pending_writes_.PutStatus(job, JobState::kCancelled,
                                "cancelled before it started");
    }
    Apply(clock.now, effects);
    return;
  }
  const CatalogueEntry* entry = view_.catalogue().Find(row->second.entry);
  if (entry == nullptr) return;
  Effects effects;
  placer_.SubmitJob(clock.now, MakeSubmittedJob(*entry, row->second, clock),
                    effects);
  Apply(clock.now, effects);
}

// --- Workers ---

WorkerSession* PlacementSession::FindWorkerSession(const WorkerId& worker) {
  const auto found = worker_sessions_.find(worker);
  return found == worker_sessions_.end() ? nullptr : &found->second;
}

void PlacementSession::OnWorkerListChanged(TimePoint now) {
  for (const auto& [id, host] : view_.workers().workers()) {
    UpsertWorker(now, host);
  }
}

void PlacementSession::UpsertWorker(TimePoint now, const PlatformHost& host) {
  WorkerSpec spec;
  spec.id = WorkerId(host.id);
  spec.rack = host.rack;
  spec.address = host.address;
  spec.capacity = {host.processors_milli, host.memory_mb, host.accelerators};
  spec.state = StateOf(host, view_.catalogue());
  const auto session = worker_sessions_.try_emplace(
      spec.id, spec.id, host.address, epoch_, settings_.worker_session);
  session.first->second.set_address(host.address);
  Effects effects;
  placer_.UpsertWorker(now, spec, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerRemoved(TimePoint now, const WorkerId& worker) {
  worker_sessions_.erase(worker);
  Effects effects;
  placer_.RemoveWorker(now, worker, effects);
  std::vector<TaskId> ended;
  for (const auto& [id, record] : tasks_) {
    if (record.row.worker == worker) ended.push_back(id);
  }
  for (const TaskId& id : ended) EraseTask(id);
  Apply(now, effects);
  LogInfo(LogPart::kWorker, "worker " + worker.value() +
                                " was removed; ended " +
                                std::to_string(ended.size()) + " tasks");
}

void PlacementSession::OnWorkerResponse(TimePoint now,
                                        const WorkerResponse& response) {
  WorkerSession* session = FindWorkerSession(response.worker);
  if (session == nullptr) return;
  WorkerSession::Effects effects;
  session->OnReply(now, response, effects);
  Apply(now, response.worker, effects);
}

void PlacementSession::SendWorkerRequests(TimePoint now) {
  for (auto& [id, session] : worker_sessions_) {
    WorkerSession::Effects effects;
    session.Tick(now, effects);
    Apply(now, id, effects);
  }
}

void PlacementSession::Apply(TimePoint now, const WorkerId& worker,
                             WorkerSession::Effects& effects) {
  for (WorkerEffect& effect : effects) {
    std::visit([&](auto& each) { OnWorkerEffect(now, worker, each); }, effect);
  }
}

void PlacementSession::OnWorkerEffect(TimePoint /*now*/,
                                      const WorkerId& /*worker*/,
                                      WorkerRequest& effect) {
  callbacks_.send_worker_request(effect);
}

bool PlacementSession::IsProbe(const TaskId& task) const {
  return probes_.contains(task);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& worker,
                                      TaskRunningConfirmed& effect) {
  Effects effects;
  if (probes_.erase(effect.task) > 0) {
    if (WorkerSession* session = FindWorkerSession(worker))
      session->Stop(effect.task, false);
    placer_.OnProbeCompleted(now, worker, true, effects);
    Apply(now, effects);
    return;
  }
  const auto task = tasks_.find(effect.task);
  if (task == tasks_.end()) return;
  placer_.OnTaskStarted(now, effect.task, effects);
  TaskRow& row = task->second.row;
  const bool changed =
      row.state == TaskRowState::kStarting || row.address != effect.address;
  // Only service instances have an address, which the entry hosts need.
  if (changed && !effect.address.empty()) {
    if (row.state == TaskRowState::kStarting)
      row.state = TaskRowState::kRunning;
    row.address = effect.address;
    pending_writes_.PutTask(row);
  }
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& worker,
                                      TaskStartRejected& effect) {
  Effects effects;
  if (probes_.erase(effect.task) > 0) {
    placer_.OnProbeCompleted(now, worker, false, effects);
    Apply(now, effects);
    return;
  }
  if (!tasks_.contains(effect.task)) return;
  EraseTask(effect.task);
  placer_.TaskStartFailed(
      now, effect.task,
      effect.no_room ? StartFailure::kNoRoom : StartFailure::kFailed, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& /*worker*/,
                                      TaskEndConfirmed& effect) {
  const auto task = tasks_.find(effect.task);
  if (task == tasks_.end()) return;
  const TaskEnd end = ToTaskEnd(effect.state);
  const bool keep =
      end == TaskEnd::kDone && !IsCatalogueJob(task->second.row.job);
  if (keep) {
    // The row is kept until the job has ended, so that a placer that takes over
    // counts the task as done.
    task->second.row.state = TaskRowState::kDone;
    pending_writes_.PutTask(task->second.row);
    tasks_.erase(task);
  } else {
    EraseTask(effect.task);
  }
  Effects effects;
  placer_.TaskEnded(now, effect.task, end, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& /*worker*/,
                                      TaskUnreachable& effect) {
  Effects effects;
  placer_.OnTaskUnreachable(now, effect.task, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& /*worker*/,
                                      TaskLeaseEndConfirmed& effect) {
  if (!tasks_.contains(effect.task)) return;
  EraseTask(effect.task);
  Effects effects;
  placer_.TaskLeaseExpired(now, effect.task, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint now, const WorkerId& /*worker*/,
                                      TaskUsage& effect) {
  if (!tasks_.contains(effect.task)) return;
  Effects effects;
  const Resources used{effect.processors_milli, effect.memory_mb, 0};
  placer_.ReportUsage(now, effect.task, used, effects);
  Apply(now, effects);
}

void PlacementSession::OnWorkerEffect(TimePoint /*now*/, const WorkerId& worker,
                                      EpochSuperseded& effect) {
  LogWarning(LogPart::kWorker,
             "worker " + worker.value() + " reports epoch " +
                 std::to_string(effect.epoch) +
                 " of another placer; this placer has epoch " +
                 std::to_string(epoch_));
}

// --- Effects of the placer ---

void PlacementSession::Apply(TimePoint now, Effects& effects) {
  for (Effect& effect : effects) {
    std::visit([this, now](auto& each) { OnPlacerEffect(now, each); }, effect);
  }
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      CommitTaskRow& effect) {
  TaskRecord& record = tasks_[effect.task];
  TaskRow& row = record.row;
  row.task = effect.task;
  row.job = effect.job;
  row.entry = effect.entry;
  row.owner = effect.owner;
  row.worker = effect.worker;
  row.epoch = epoch_;
  row.processors_milli = effect.resources.processors_milli;
  row.memory_mb = effect.resources.memory_mb;
  row.accelerators = effect.resources.accelerators;
  const CatalogueEntry* entry = view_.catalogue().Find(effect.entry);
  record.lease_may_expire = entry != nullptr && LeasesMayExpire(*entry);
  pending_writes_.PutTask(row);
}

void PlacementSession::OnPlacerEffect(TimePoint now, LaunchTask& effect) {
  const auto task = tasks_.find(effect.task);
  const CatalogueEntry* entry =
      task == tasks_.end() ? nullptr
                           : view_.catalogue().Find(task->second.row.entry);
  WorkerSession* session = FindWorkerSession(effect.worker);
  if (entry == nullptr || session == nullptr) {
    // The entry or the worker was removed in the meantime: the start command is
    // never sent.
    EraseTask(effect.task);
    Effects effects;
    placer_.TaskStartFailed(now, effect.task, StartFailure::kFailed, effects);
    Apply(now, effects);
    return;
  }
  const auto job = view_.jobs().find(effect.job);
  const std::chrono::milliseconds run_time = job == view_.jobs().end()
                                                 ? entry->policy.expected_run
                                                 : job->second.run_time;
  session->Start(MakeStartCommand(effect.task, *entry, run_time),
                 task->second.lease_may_expire);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      DeleteTaskRow& effect) {
  EraseTask(effect.task);
}

void PlacementSession::OnPlacerEffect(TimePoint now, StopTask& effect) {
  const auto task = tasks_.find(effect.task);
  if (task == tasks_.end()) return;
  TaskRecord& record = task->second;
  record.checkpoint = effect.mode == StopMode::kCheckpoint;
  record.stop_at = now;
  if (record.row.address.empty()) return;
  // A serving instance: entry hosts are told first, so that its requests can
  // finish.
  record.stop_at = now + settings_.drain_delay;
  record.row.state = TaskRowState::kLeaving;
  pending_writes_.PutTask(record.row);
}

void PlacementSession::StopDrainedTasks(TimePoint now) {
  for (auto& [id, record] : tasks_) {
    if (!record.stop_at || now < *record.stop_at) continue;
    record.stop_at.reset();
    if (WorkerSession* session = FindWorkerSession(record.row.worker)) {
      session->Stop(id, record.checkpoint);
    }
  }
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/, ThrottleTask& effect) {
  if (WorkerSession* session = FindWorkerSession(effect.worker))
    session->Throttle(effect.task);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/, JobFinished& effect) {
  for (const auto& [id, row] : view_.tasks()) {
    if (row.job == effect.job) EraseTask(id);
  }
  pending_writes_.EraseTasksOf(effect.job);
  if (IsCatalogueJob(effect.job)) return;
  pending_writes_.PutStatus(
      effect.job, effect.cancelled ? JobState::kCancelled : JobState::kDone,
      effect.cancelled ? "cancelled" : "all tasks ended well");
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/, JobRefused& effect) {
  LogWarning(LogPart::kPlacer,
             "job " + effect.job.value() + " refused: " + effect.detail);
  if (IsCatalogueJob(effect.job)) return;
  pending_writes_.PutStatus(effect.job, JobState::kRefused, effect.detail);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      JobUnplaceable& effect) {
  if (IsCatalogueJob(effect.job)) return;
  pending_writes_.PutStatus(effect.job, JobState::kWaiting, effect.detail);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      JobBackoffStarted& effect) {
  LogWarning(LogPart::kPlacer,
             "job " + effect.job.value() + " is in backoff: " + effect.detail);
  if (IsCatalogueJob(effect.job)) return;
  pending_writes_.PutStatus(effect.job, JobState::kWaiting, effect.detail);
}

void PlacementSession::OnPlacerEffect(TimePoint now, ProbeWorker& effect) {
  WorkerSession* session = FindWorkerSession(effect.worker);
  if (session == nullptr || session->is_unresponsive()) {
    Effects effects;
    placer_.OnProbeCompleted(now, effect.worker, false, effects);
    Apply(now, effects);
    return;
  }
  // A probe reserves no resources, so it has no task row.
  StartTaskCommand command;
  command.task = TaskId(std::string(kProbePrefix) + std::to_string(epoch_) +
                        "." + std::to_string(next_probe_++));
  command.run_time = kProbeRunTime;
  probes_[command.task] = effect.worker;
  session->Start(command, true);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      WorkerQuarantined& effect) {
  LogWarning(LogPart::kWorker, "worker " + effect.worker.value() +
                                   " is quarantined: " + effect.detail);
}

void PlacementSession::OnPlacerEffect(TimePoint /*now*/,
                                      WorkerReadmitted& effect) {
  LogInfo(LogPart::kWorker, "worker " + effect.worker.value() +
                                " left quarantine and accepts tasks again");
}

// --- Batches ---

void PlacementSession::EraseTask(const TaskId& task) {
  tasks_.erase(task);
  pending_writes_.EraseTask(task);
}

std::vector<TableWrite> PlacementSession::TakeWrites(TimePoint now) {
  if (batch_pending_) return {};
  Effects effects;
  starts_in_batch_ =
      placer_.Decide(now, settings_.max_starts_per_batch, effects);
  Apply(now, effects);
  std::vector<TableWrite> out = pending_writes_.Take();
  batch_pending_ = !out.empty();
  return out;
}

void PlacementSession::OnBatchCommitted(TimePoint now) {
  batch_pending_ = false;
  if (!starts_in_batch_) return;
  Effects effects;
  placer_.CommitSucceeded(now, *std::exchange(starts_in_batch_, std::nullopt),
                          effects);
  Apply(now, effects);
}

// --- Time ---

void PlacementSession::Tick(const ClockReading& clock) {
  StopDrainedTasks(clock.now);
  if (clock.now >= next_explain_at_) {
    next_explain_at_ = clock.now + settings_.explain_interval;
    ExplainJobs(clock.now);
  }
  if (clock.now >= next_sweep_at_) {
    next_sweep_at_ = clock.now + kOldJobSweepInterval;
    EraseOldJobs(clock);
  }
}

void PlacementSession::ExplainJobs(TimePoint now) {
  std::size_t explained = 0;
  for (const auto& [job, row] : view_.jobs()) {
    if (row.zone != view_.zone() || row.cancel_requested) continue;
    if (pending_writes_.HasEnded(job)) continue;
    if (++explained > settings_.max_jobs_explained) return;
    const WaitReason reason = placer_.GetWaitReason(now, job);
    const bool waits = reason.code != ResultCode::kOk;
    pending_writes_.PutStatus(
        job, waits ? JobState::kWaiting : JobState::kRunning,
        waits ? reason.sentence : "all its tasks are placed");
  }
}

void PlacementSession::EraseOldJobs(const ClockReading& clock) {
  for (const auto& [job, status] : view_.statuses()) {
    const auto row = view_.jobs().find(job);
    if (row == view_.jobs().end() || row->second.zone != view_.zone()) continue;
    const std::chrono::milliseconds ended(status.ended_ms);
    if (!HasEnded(status.state)) continue;
    if (clock.wall_time - ended < settings_.ended_job_retention) continue;
    pending_writes_.EraseJob(job);
  }
}

std::string PlacementSession::DumpState(TimePoint now) const {
  const PlacerSummary summary = placer_.Summary();
  nlohmann::json out = {{"epoch", epoch_},
                        {"workers", summary.workers},
                        {"live_workers", summary.live_workers},
                        {"quarantined_workers", summary.quarantined_workers},
                        {"jobs", summary.jobs},
                        {"waiting_jobs", summary.waiting_jobs},
                        {"tasks", summary.tasks},
                        {"capacity", ToJson(summary.capacity)},
                        {"reserved", ToJson(summary.reserved)},
                        {"unwritten_rows", pending_writes_.size()}};
  for (const WorkerSummary& worker : placer_.Workers()) {
    const auto session = worker_sessions_.find(worker.spec.id);
    out["worker"][worker.spec.id.value()] = {
        {"rack", worker.spec.rack},
        {"reserved", ToJson(worker.reserved)},
        {"capacity", ToJson(worker.spec.capacity)},
        {"tasks", worker.tasks},
        {"quarantined", worker.quarantined},
        {"silent", session != worker_sessions_.end() &&
                       session->second.is_unresponsive()}};
  }
  for (const auto& [id, record] : tasks_) {
    out["task"][id.value()] = {{"job", record.row.job.value()},
                               {"worker", record.row.worker.value()},
                               {"address", record.row.address}};
  }
  for (const auto& [job, row] : view_.jobs()) {
    if (pending_writes_.HasEnded(job) || row.zone != view_.zone()) continue;
    const WaitReason reason = placer_.GetWaitReason(now, job);
    if (reason.code == ResultCode::kOk) continue;
    out["waiting"][job.value()] = reason.sentence;
  }
  return out.dump();
}

}  // namespace chivewing
