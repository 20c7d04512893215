#include "cluster/dispatcher_runner.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "base/log.h"
#include "cluster/job_age.h"
#include "cluster/worker_row.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Progress rows of one transaction. The platform accepts 100 entries, the
// lease's row among them.
constexpr std::size_t kMaxRowsPerTransaction = 60;
// By how much the time of acceptance of a job may be read as too late: the
// table's clock is known by responses, which may be delayed.
constexpr milliseconds kAcceptedAtMargin{500};
// How often the keeper of the lease is told the table's clock.
constexpr milliseconds kClockUpdateInterval{200};
// Worker registrations: long-poll time of one read, and the minimum interval
// between two.
constexpr milliseconds kWorkersWatchWait{1000};
constexpr milliseconds kMinWorkersReadInterval{200};
constexpr milliseconds kWorkersRetryDelay{200};
// How long a lease that is handed over is left to the other hosts.
constexpr milliseconds kHandOverTime{3000};

// Adds changes to the list that they follow.
void AddTo(WorkerListUpdate& list, const WorkerListUpdate& changes) {
  std::set<WorkerId> replaced(changes.removed.begin(), changes.removed.end());
  for (const WorkerRegistration& each : changes.changed) {
    replaced.insert(each.worker);
  }
  std::erase_if(list.changed, [&replaced](const WorkerRegistration& each) {
    return replaced.contains(each.worker);
  });
  list.changed.insert(list.changed.end(), changes.changed.begin(),
                      changes.changed.end());
}

LeaseSettings MakeLeaseSettings(const ClusterSettings& settings,
                                std::uint64_t incarnation) {
  LeaseSettings out;
  out.host = settings.host;
  out.zone = ZoneId(kDispatcherZone);
  out.incarnation = incarnation;
  out.lease = settings.host_lease;
  out.max_lease_duration = 5 * settings.host_lease;
  out.clock_drift_margin = milliseconds(100);
  out.renew_interval = settings.host_lease / 4;
  out.acquire_stagger = milliseconds(30);
  // After an outage the holder retries often enough to renew before another
  // host may take over.
  out.max_retry_delay = milliseconds(150);
  out.separate_renewals = true;
  return out;
}

}  // namespace

DispatcherRunner::DispatcherRunner(TimePoint now,
                                   const ClusterSettings& settings,
                                   std::uint64_t incarnation,
                                   const PlatformInterface& platform,
                                   TableWatcher& table_watcher,
                                   Callbacks callbacks)
    : settings_(settings),
      platform_(platform),
      table_watcher_(table_watcher),
      callbacks_(std::move(callbacks)),
      lease_(now, MakeLeaseSettings(settings, incarnation),
             platform.commit_lease,
             [this] {
               // Wakes the owner's thread; a full ring is not idle anyway.
               callbacks_.wake(LoopWork::kLease);
             }),
      progress_writer_(
          platform.table, table_watcher,
          "batch-" + settings.host.value() + "-" + std::to_string(incarnation) +
              "-",
          {.post =
               [this](auto run) {
                 callbacks_.post(LoopWork::kLease, std::move(run));
               },
           .on_rows_committed =
               [this](TimePoint now, const std::vector<TableRow>& rows) {
                 callbacks_.on_rows_committed(now, rows);
               },
           .on_result =
               [this](TimePoint now, std::uint64_t generation,
                      const ProgressWriteBatch& batch, BatchOutcome outcome) {
                 OnBatchResult(now, generation, batch, outcome);
               }}) {}

void DispatcherRunner::set_advice_hosts(std::set<HostId> advice_hosts) {
  advice_hosts_ = std::move(advice_hosts);
  if (dispatcher_) dispatcher_->set_advice_hosts(advice_hosts_);
}

void DispatcherRunner::OnRow(TimePoint now, const TableRow& row) {
  const ZoneId zone(kDispatcherZone);
  if (row.key == LeaseManager::RenewalRowKey(zone)) lease_.OnRow(row);
  if (row.key == LeaseManager::RowKey(zone)) {
    lease_.OnRow(row);
    const std::optional<LeaseRow> lease =
        row.value ? DecodeLeaseRow(*row.value) : std::nullopt;
    if (!lease || lease->host == settings_.host) return;
    if (dispatcher_ && lease->epoch > dispatcher_->fence())
      DropDispatcher(now, "another host holds the lease");
    if (take_over_ && lease->epoch > take_over_->epoch) AbandonTakeOver();
    return;
  }
  if (!dispatcher_) return;
  late_rows_.OnRow(now, row);
  if (row.key.starts_with(kJobRows)) {
    if (IsDispatcherLease(now, lease_.state())) {
      AddJobRow(now, row);
    } else {
      deferred_job_rows_.push_back(row);
    }
  }
  if (row.key.starts_with(kCancelRows) && row.value) {
    dispatcher_->CancelJob(JobOfRowKey(row.key, kCancelRows));
  }
}

void DispatcherRunner::AddJobRow(TimePoint now, const TableRow& row) {
  if (!row.value) return;
  Result<JobRecord> record =
      DecodeJobRecord(JobOfRowKey(row.key, kJobRows), *row.value);
  if (!record) return;  // logged by JobStatusIndex
  record.value().row_version = row.version;
  if (registration_filter_.AddJobService(record.value().queue.service))
    RegisterNamedWorkers(now);
  AddJob(now, std::move(record.value()));
}

void DispatcherRunner::AddJob(TimePoint now, JobRecord record) {
  const JobId id = record.id;
  const std::uint64_t row_version = record.row_version;
  time_of_day_.OnJob(record);
  std::optional<JobProgress> progress;
  if (const TableRow* saved = table_watcher_.cache().Find(ProgressRowKey(id))) {
    const Result<JobProgress> decoded = DecodeJobProgress(*saved->value);
    if (decoded) {
      progress = decoded.value();
    } else {
      LogError(LogPart::kPlacer,
               "progress row cannot be decoded; taking its job for one without "
               "progress key=" +
                   saved->key + " why=" + decoded.error().detail);
    }
  }
  const TimePoint accepted_at =
      AcceptedAt(now, callbacks_.wall_clock(), table_watcher_.clock(), record);
  const bool is_certain =
      row_version > certain_from_.version ||
      AcceptedByTableClock(now, table_watcher_.clock(), record) >=
          certain_from_.accepted_at;
  dispatcher_->AddJob(now, accepted_at, std::move(record), progress,
                      !is_certain);
  if (is_certain && row_version <= certain_from_.version &&
      dispatcher_->state().active_jobs.contains(id))
    ++jobs_certain_by_clock_;
  if (table_watcher_.cache().Find(CancelRowKey(id)) != nullptr) {
    dispatcher_->CancelJob(id);
  }
}

void DispatcherRunner::TickLease(TimePoint now) {
  lease_.OnOwnerTurn(now);
  for (const TableRow& row : lease_.TakeRows()) table_watcher_.Apply(now, row);
  if (now >= next_clock_update_) {
    next_clock_update_ = now + kClockUpdateInterval;
    lease_.set_table_clock(table_watcher_.clock());
  }
  const std::optional<TimePoint> since =
      table_watcher_.ready() ? table_watcher_.TableAvailableSince(now)
                             : std::nullopt;
  if (since != reported_available_since_) {
    lease_.set_table_available_since(since);
    reported_available_since_ = since;
  }
  const LeaseKeeper::State lease = lease_.state();
  if (!lease.held || lease.epoch == acquired_epoch_) return;
  acquired_epoch_ = lease.epoch;
  OnLeaseAcquired(now, lease);
}

// An expired lease does not stop the dispatcher by itself: once another host
// has taken over, the workers reject this host's fence.
void DispatcherRunner::OnLeaseAcquired(TimePoint now,
                                       const LeaseKeeper::State& lease) {
  const bool uninterrupted =
      dispatcher_ && lease.epoch == dispatcher_->fence() + 1;
  if (!uninterrupted) {
    BeginTakeOver(now, lease);
    return;
  }
  dispatcher_->set_fence(lease.epoch);
  AddDeferredJobs(now);
}

void DispatcherRunner::BeginTakeOver(TimePoint now,
                                     const LeaseKeeper::State& lease) {
  DropDispatcher(now, "the lease was acquired anew");
  const std::uint64_t epoch = lease.epoch;
  take_over_ = TakeOver{};
  take_over_->epoch = epoch;
  take_over_->begun_at = now;
  take_over_->predecessor_ended_by = lease.predecessor_ended_by;
  take_over_->certain_from = {lease.fence.version,
                              lease.predecessor_ended_by + kAcceptedAtMargin};
  table_watcher_.CatchUp(now, lease.fence.version,
                         [this, epoch](TimePoint then) {
                           if (!take_over_ || take_over_->epoch != epoch)
                             return;
                           take_over_->rows_read = true;
                           ContinueTakeOver(then);
                         });
  workers_revision_ = 0;
  ReadWorkers(now);
}

void DispatcherRunner::ReadWorkers(TimePoint /*now*/) {
  workers_read_in_flight_ = true;
  const std::uint64_t generation = generation_;
  const milliseconds wait =
      workers_revision_ == 0 ? milliseconds(0) : kWorkersWatchWait;
  platform_.watch_workers(workers_revision_, wait,
                          [this, generation](const WorkerListUpdate& update) {
                            callbacks_.post(
                                LoopWork::kTable,
                                [this, generation, update](TimePoint now) {
                                  if (generation == generation_)
                                    OnWorkers(now, update);
                                });
                          });
}

void DispatcherRunner::OnWorkers(TimePoint now,
                                 const WorkerListUpdate& update) {
  workers_read_in_flight_ = false;
  if (update.history_lost) {
    workers_revision_ = 0;
    next_workers_read_ = now;
    return;
  }
  if (!update.ok) {
    next_workers_read_ = now + kWorkersRetryDelay;
    return;
  }
  const bool is_full_list = workers_revision_ == 0;
  workers_revision_ = std::max<std::uint64_t>(update.revision, 1);
  next_workers_read_ = now + kMinWorkersReadInterval;
  if (take_over_) {
    if (is_full_list) {
      take_over_->workers = update;
    } else {
      AddTo(take_over_->workers, update);
    }
    take_over_->workers_read = true;
    ContinueTakeOver(now);
    return;
  }
  if (!dispatcher_) return;
  const WorkerListUpdate workers = FilterRegistrations(update, is_full_list);
  ApplyWorkerUpdate(now, workers);
  if (!is_full_list) return;
  // After a gap in the history, a worker missing from the full list has
  // unregistered.
  std::set<WorkerId> listed;
  for (const WorkerRegistration& each : workers.changed) {
    listed.insert(each.worker);
  }
  std::vector<WorkerId> unlisted;
  for (const auto& [id, worker] : dispatcher_->state().workers) {
    if (!listed.contains(id)) unlisted.push_back(id);
  }
  for (const WorkerId& id : unlisted) dispatcher_->UnregisterWorker(id);
}

WorkerListUpdate DispatcherRunner::FilterRegistrations(
    const WorkerListUpdate& update, bool is_full_list) {
  const auto service_of_tracked = [this](const WorkerId& id) {
    const auto& workers = dispatcher_->state().workers;
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr
                                  : &found->second.registration().service;
  };
  return registration_filter_.Filter(update, is_full_list, service_of_tracked);
}

void DispatcherRunner::OnDesiredState(TimePoint now,
                                      const DesiredState& state) {
  if (state.version == desired_state_version_) return;
  desired_state_version_ = state.version;
  std::set<std::string> services;
  for (const Service& each : state.services) services.insert(each.name);
  for (const Queue& each : state.queues) services.insert(each.service);
  registration_filter_.set_services(std::move(services));
  if (dispatcher_) RegisterNamedWorkers(now);
}

void DispatcherRunner::RegisterNamedWorkers(TimePoint now) {
  for (const WorkerRegistration& each : registration_filter_.TakeNamed()) {
    dispatcher_->RegisterWorker(now, each);
  }
}

void DispatcherRunner::ApplyWorkerUpdate(TimePoint now,
                                         const WorkerListUpdate& update) {
  for (const WorkerRegistration& each : update.changed) {
    dispatcher_->RegisterWorker(now, each);
  }
  for (const WorkerId& id : update.removed) dispatcher_->UnregisterWorker(id);
}

void DispatcherRunner::ContinueTakeOver(TimePoint now) {
  if (!take_over_->rows_read || !take_over_->workers_read) return;
  const LeaseKeeper::State lease = lease_.state();
  if (!lease_.IsHeld(now) || lease.epoch != take_over_->epoch) {
    AbandonTakeOver();
    return;
  }
  const TakeOver take_over = std::move(*take_over_);
  take_over_.reset();
  DispatchOptions options;
  options.host = settings_.host;
  options.lease = settings_.worker_lease;
  options.max_worker_lease = settings_.max_worker_lease;
  dispatcher_ = std::make_unique<Dispatcher>(options, take_over.epoch);
  dispatcher_->set_advice_hosts(advice_hosts_);
  jobs_certain_by_clock_ = 0;
  certain_from_ = take_over.certain_from;
  registration_filter_.Reset();
  KnownJobs known = ReadKnownJobs();
  AdoptKnownWorkers(now, take_over, known.all_read);
  ApplyWorkerUpdate(now, FilterRegistrations(take_over.workers, true));
  for (JobRecord& job : known.jobs) AddJob(now, std::move(job));
  dispatcher_->EndTakeOver();
  late_rows_.Begin(take_over.certain_from.version,
                   table_watcher_.cache().revision());
  LogTakeOver(now, take_over);
}

// Tells, for a task that is started again, what the host knew and from when.
// At the level of "stopped dispatching": a take-over is rare.
void DispatcherRunner::LogTakeOver(TimePoint now,
                                   const TakeOver& take_over) const {
  const DispatchState& state = dispatcher_->state();
  const auto uncertain = std::count_if(
      state.jobs.begin(), state.jobs.end(), [](const auto& entry) {
        return entry.second.uncertain && entry.second.IsActive();
      });
  const auto milliseconds_since = [now](TimePoint then) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(now - then).count());
  };
  const TimePoint all_read_at = table_watcher_.all_rows_read_at();
  LogWarning(
      LogPart::kPlacer,
      "started dispatching fence=" + std::to_string(take_over.epoch) +
          " jobs=" + std::to_string(state.jobs.size()) +
          " jobs_uncertain=" + std::to_string(uncertain) +
          " jobs_certain_by_clock=" + std::to_string(jobs_certain_by_clock_) +
          " workers=" + std::to_string(state.workers.size()) +
          " workers_unsynced=" + std::to_string(state.unsynced_workers.size()) +
          " rows_known_to=" +
          std::to_string(table_watcher_.cache().revision()) +
          " certain_from_version=" +
          std::to_string(take_over.certain_from.version) +
          " holder_before_ended_ms_ago=" +
          milliseconds_since(take_over.predecessor_ended_by) + " took_ms=" +
          milliseconds_since(take_over.begun_at) + " all_rows_read_anew=" +
          (all_read_at >= take_over.begun_at ? "1" : "0") +
          " all_rows_read_ms_ago=" + milliseconds_since(all_read_at));
}

// The lease is lost before the dispatcher has started. Acquired anew, it begins
// another take-over.
void DispatcherRunner::AbandonTakeOver() {
  LogWarning(LogPart::kPlacer, "take-over abandoned, its lease is lost fence=" +
                                   std::to_string(take_over_->epoch));
  take_over_.reset();
}

// The jobs of the table. Their services are named from then on.
DispatcherRunner::KnownJobs DispatcherRunner::ReadKnownJobs() {
  KnownJobs known;
  table_watcher_.cache().ForEach(kJobRows, [&](const TableRow& row) {
    Result<JobRecord> record =
        DecodeJobRecord(JobOfRowKey(row.key, kJobRows), *row.value);
    if (!record) {  // logged by JobStatusIndex
      known.all_read = false;
      return;
    }
    record.value().row_version = row.version;
    registration_filter_.AddJobService(record.value().queue.service);
    known.jobs.push_back(std::move(record.value()));
  });
  return known;
}

// Tasks run on workers of the service of their job alone, so a worker whose
// service no job has ever named runs none. An earlier build may have written
// its row for an entry of another writer.
void DispatcherRunner::AdoptKnownWorkers(TimePoint now,
                                         const TakeOver& take_over,
                                         bool all_jobs_read) {
  table_watcher_.cache().ForEach(kWorkerRowPrefix, [&](const TableRow& row) {
    const WorkerId id(row.key.substr(kWorkerRowPrefix.size()));
    const Result<WorkerRegistration> known = DecodeWorkerRow(id, *row.value);
    if (!known) {
      LogError(LogPart::kWorker,
               "worker row cannot be decoded; ignoring it key=" + row.key +
                   " why=" + known.error().detail);
      return;
    }
    if (all_jobs_read && !registration_filter_.IsNamed(known.value().service)) {
      LogWarning(LogPart::kWorker,
                 "removing the row of a worker whose service neither the "
                 "desired state nor a job names worker=" +
                     id.value() + " service=" + known.value().service);
      dispatcher_->RemoveWorkerRow(id);
      return;
    }
    dispatcher_->AdoptWorker(now, take_over.predecessor_ended_by,
                             known.value());
  });
}

void DispatcherRunner::AddDeferredJobs(TimePoint now) {
  const std::vector<TableRow> waiting = std::move(deferred_job_rows_);
  deferred_job_rows_.clear();
  for (const TableRow& row : waiting) AddJobRow(now, row);
}

void DispatcherRunner::DropDispatcher(TimePoint /*now*/,
                                      const std::string& why) {
  ++generation_;
  workers_read_in_flight_ = false;
  deferred_job_rows_.clear();
  if (!dispatcher_) return;
  LogWarning(LogPart::kPlacer, "stopped dispatching fence=" +
                                   std::to_string(dispatcher_->fence()) +
                                   " why=" + why);
  dispatcher_.reset();
  callbacks_.drop_calls();
}

// A renewal may shorten the lease. The lease may also have been acquired anew
// since, after another host held it.
void DispatcherRunner::UpdateExclusivity() {
  const LeaseKeeper::State lease = lease_.state();
  const std::uint64_t fence = dispatcher_->fence();
  const bool is_uninterrupted =
      lease.epoch == fence || lease.epoch == fence + 1;
  dispatcher_->set_sole_until(is_uninterrupted ? lease.valid_until
                                               : TimePoint{});
}

bool DispatcherRunner::IsDispatcherLease(
    TimePoint now, const LeaseKeeper::State& lease) const {
  return lease.held && now < lease.valid_until &&
         lease.epoch == dispatcher_->fence();
}

TimePoint DispatcherRunner::SaveProgress(TimePoint now) {
  const TimePoint next = progress_writer_.Tick(now);
  if (progress_writer_.busy() || !dispatcher_ || !dispatcher_->HasDirty())
    return next;
  const LeaseKeeper::State lease = lease_.state();
  if (!IsDispatcherLease(now, lease)) return next;
  ProgressWriteBatch batch = dispatcher_->TakeBatch(kMaxRowsPerTransaction);
  if (batch.empty()) {
    dispatcher_->OnSaved(now, batch);
  } else {
    progress_writer_.Write(now, generation_, dispatcher_->fence(), lease.fence,
                           std::move(batch));
  }
  return next;
}

void DispatcherRunner::OnBatchResult(TimePoint now, std::uint64_t generation,
                                     const ProgressWriteBatch& batch,
                                     BatchOutcome outcome) {
  // A batch of an earlier dispatcher says nothing about this one's progress.
  if (!dispatcher_ || generation != generation_) return;
  switch (outcome) {
    case BatchOutcome::kWritten:
      dispatcher_->OnSaved(now, batch);
      return;
    case BatchOutcome::kNotWritten:
      dispatcher_->OnNotSaved(batch);
      return;
    case BatchOutcome::kRefused:
      dispatcher_->OnRefused(now, batch);
      return;
  }
}

TimePoint DispatcherRunner::Tick(TimePoint now) {
  TickLease(now);
  if (dispatcher_ && dispatcher_->fenced_off()) {
    DropDispatcher(now, "a worker has seen a higher fence");
    // If this host still holds the lease, it acquires it again with a higher
    // fence.
    lease_.Relinquish();
  }
  if (dispatcher_ && !deferred_job_rows_.empty() &&
      IsDispatcherLease(now, lease_.state())) {
    AddDeferredJobs(now);
  }
  if ((dispatcher_ || take_over_) && !workers_read_in_flight_ &&
      now >= next_workers_read_) {
    ReadWorkers(now);
  }
  // The table's availability must be checked several times a second.
  TimePoint next = now + milliseconds(100);
  decided_ = dispatcher_ && now >= pacer_.next_decision();
  if (dispatcher_ && !decided_) next = std::min(next, pacer_.next_decision());
  if (decided_) {
    DispatchEffects effects;
    UpdateExclusivity();
    const milliseconds time_of_day = time_of_day_.At(
        table_watcher_.clock().At(now), callbacks_.wall_clock());
    next = std::min(next, dispatcher_->Decide(now, time_of_day, effects));
    Execute(effects);
    if (!workers_read_in_flight_) next = std::min(next, next_workers_read_);
  }
  return std::min(next, SaveProgress(now));
}

void DispatcherRunner::OnTickMeasured(TimePoint end, Duration spent) {
  if (!decided_) return;
  const bool was_overloaded = overloaded();
  pacer_.OnDecision(end, spent);
  if (overloaded() == was_overloaded) return;
  LogWarning(LogPart::kPlacer,
             overloaded() ? "dispatching host is overloaded"
                          : "dispatching host is no longer overloaded");
}

std::string DispatcherRunner::LoadSummary(TimePoint now) const {
  if (!dispatcher_) return "";
  const DispatchState& state = dispatcher_->state();
  const auto lease_left = std::chrono::duration_cast<milliseconds>(
      lease_.state().valid_until - now);
  return "fence=" + std::to_string(state.fence) +
         " lease_left_ms=" + std::to_string(lease_left.count()) +
         " jobs=" + std::to_string(state.jobs.size()) +
         " steps_ready=" + std::to_string(state.ready.size()) +
         " runs=" + std::to_string(state.runs.all().size()) +
         " commands_pending=" + std::to_string(state.runs.pending_commands()) +
         " progress_unsaved=" + std::to_string(state.dirty.size()) +
         " deferred_jobs=" + std::to_string(deferred_job_rows_.size()) +
         " workers_unsynced=" + std::to_string(state.unsynced_workers.size()) +
         " starts=" + std::to_string(state.counts.starts) +
         " polls=" + std::to_string(state.counts.polls) +
         " advice=" + std::to_string(state.counts.asks);
}

void DispatcherRunner::HandOver(TimePoint now) {
  if (!lease_.IsHeld(now)) return;
  DropDispatcher(now, "a stronger host can dispatch");
  lease_.HandOver(now + kHandOverTime);
}

void DispatcherRunner::Stop(TimePoint now) {
  DropDispatcher(now, "graceful stop");
  take_over_.reset();
  lease_.Release();
}

void DispatcherRunner::OnAdvice(TimePoint now, std::uint64_t request_id,
                                const AdviceResponse& response) {
  if (dispatcher_) dispatcher_->OnAdviceResponse(now, request_id, response);
}

template <typename Answer, typename Function>
std::function<void(Answer)> DispatcherRunner::MakeResponseCallback(
    std::uint64_t fence, Function function) {
  const std::uint64_t generation = generation_;
  return [this, generation, fence, function](Answer response) {
    response.fence = fence;
    callbacks_.post(LoopWork::kWorkers,
                    [this, generation, function, response](TimePoint now) {
                      if (generation != generation_ || !dispatcher_) return;
                      UpdateExclusivity();
                      function(now, response);
                    });
  };
}

void DispatcherRunner::Execute(const DispatchEffects& effects) {
  for (const DispatchEffect& effect : effects) {
    std::visit([this](const auto& each) { Execute(each); }, effect);
  }
}

// What a start was decided on, so that one that no caller asked for can be
// traced from the log alone.
void DispatcherRunner::LogStart(const StartRun& command) const {
  LogRequest(LogPart::kPlacer, command.run.task.job.value(), [&] {
    const TableRow* const cancel =
        table_watcher_.cache().Find(CancelRowKey(command.run.task.job));
    return "start job=" + command.run.task.job.value() +
           " step=" + std::to_string(command.run.task.step) +
           " task=" + std::to_string(command.run.task.index) +
           " run=" + std::to_string(command.run.number) +
           " worker=" + command.worker.value() +
           " fence=" + std::to_string(command.fence) +
           " row_version=" + std::to_string(command.job_row_version) +
           " row_age_ms=" + std::to_string(command.job_age.count()) +
           " rows_known_to=" +
           std::to_string(table_watcher_.cache().revision()) +
           " cancel_version=" +
           std::to_string(cancel == nullptr ? 0 : cancel->version);
  });
}

void DispatcherRunner::Execute(const StartRun& command) {
  LogStart(command);
  const std::uint64_t run = command.run_id;
  platform_.start_run(
      command,
      MakeResponseCallback<CommandResponse>(
          command.fence, [this, run](TimePoint now, const auto& response) {
            dispatcher_->OnStartResponse(now, run, response);
          }));
}

void DispatcherRunner::Execute(const StopRun& command) {
  const std::uint64_t run = command.run_id;
  const WorkerId worker = command.worker;
  platform_.stop_run(
      command, MakeResponseCallback<CommandResponse>(
                   command.fence,
                   [this, run, worker](TimePoint now, const auto& response) {
                     dispatcher_->OnStopAnswer(now, run, worker, response);
                   }));
}

void DispatcherRunner::Execute(const PaceRun& command) {
  platform_.pace_run(command,
                     MakeResponseCallback<CommandResponse>(
                         command.fence, [](TimePoint, const auto&) {}));
}

void DispatcherRunner::Execute(const PollWorker& command) {
  const std::uint64_t poll = command.poll_id;
  const WorkerId worker = command.worker;
  platform_.poll_worker(
      command, MakeResponseCallback<PollResponse>(
                   command.fence,
                   [this, poll, worker](TimePoint now, const auto& response) {
                     dispatcher_->OnPollResponse(now, worker, poll, response);
                   }));
}

void DispatcherRunner::Execute(const AdviceRequest& request_id) {
  callbacks_.request_advice(request_id);
}

}  // namespace chivewing
