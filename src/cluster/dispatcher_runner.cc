#include "cluster/dispatcher_runner.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "base/log.h"
#include "cluster/worker_row.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// One dispatcher for all zones.
const char* const kDispatcherZone = "all";
// Rows of one transaction; the platform takes 100 entries, the lease among
// them.
constexpr std::size_t kMostRows = 60;
constexpr milliseconds kBatchRetry{50};
// Registrations of workers: how long one question waits, and the least time
// between two.
constexpr milliseconds kWorkersWait{1000};
constexpr milliseconds kWorkersPace{200};
constexpr milliseconds kWorkersRetry{200};

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
  // After an outage the holder renews before another host may take over.
  out.max_retry_delay = milliseconds(150);
  return out;
}

}  // namespace

DispatcherRunner::DispatcherRunner(TimePoint now,
                                   const ClusterSettings& settings,
                                   std::uint64_t incarnation,
                                   const PlatformInterface& ports,
                                   TableWatcher& rows, Callbacks hooks)
    : settings_(settings),
      ports_(ports),
      rows_(rows),
      hooks_(std::move(hooks)),
      lease_(now, MakeLeaseSettings(settings, incarnation)),
      write_prefix_("batch-" + settings.host.value() + "-" +
                    std::to_string(incarnation) + "-") {}

void DispatcherRunner::set_advice_hosts(std::set<HostId> askers) {
  askers_ = std::move(askers);
  if (dispatcher_) dispatcher_->set_advice_hosts(askers_);
}

void DispatcherRunner::OnRow(TimePoint now, const TableRow& row) {
  if (row.key == LeaseManager::RowKey(ZoneId(kDispatcherZone))) {
    std::vector<LeaseEffect> effects;
    lease_.OnRow(now, row, effects);
    CarryOutLease(now, effects);
    const std::optional<LeaseRow> lease =
        row.value ? DecodeLeaseRow(*row.value) : std::nullopt;
    const bool other = lease && dispatcher_ &&
                       lease->epoch > dispatcher_->fence() &&
                       lease->host != settings_.host;
    if (other) DropDispatcher(now, "another host has the lease");
    return;
  }
  if (!dispatcher_) return;
  if (row.key.starts_with(kJobRows)) {
    if (lease_.IsHeld(now)) {
      AddJobRow(now, row, false);
    } else {
      waiting_jobs_.push_back(row);
    }
  }
  if (row.key.starts_with(kCancelRows) && row.value) {
    dispatcher_->CancelJob(JobOfRowKey(row.key, kCancelRows));
  }
}

void DispatcherRunner::AddJobRow(TimePoint now, const TableRow& row,
                                 bool uncertain) {
  if (!row.value) return;
  const JobId id = JobOfRowKey(row.key, kJobRows);
  Result<JobRecord> record = DecodeJobRecord(id, *row.value);
  if (!record) return;  // logged by the index of jobs
  std::optional<JobProgress> progress;
  if (const TableRow* saved = rows_.cache().Find(ProgressRowKey(id))) {
    const Result<JobProgress> decoded = DecodeJobProgress(*saved->value);
    if (decoded) progress = decoded.value();
  }
  dispatcher_->AddJob(now, hooks_.wall_clock(), std::move(record.value()),
                      progress, uncertain);
  if (rows_.cache().Find(CancelRowKey(id)) != nullptr) {
    dispatcher_->CancelJob(id);
  }
}

void DispatcherRunner::TickLease(TimePoint now) {
  if (!rows_.ready()) return;
  lease_.set_table_available_since(rows_.TableAvailableSince(now));
  std::vector<LeaseEffect> effects;
  lease_.Tick(now, effects);
  CarryOutLease(now, effects);
}

void DispatcherRunner::CarryOutLease(TimePoint now,
                                     std::vector<LeaseEffect>& effects) {
  for (const LeaseEffect& effect : effects) {
    if (const auto* commit = std::get_if<CommitLease>(&effect)) {
      Commit(commit->transaction);
    } else if (const auto* taken = std::get_if<LeaseAcquired>(&effect)) {
      const bool unbroken =
          dispatcher_ && taken->epoch == dispatcher_->fence() + 1;
      if (unbroken) {
        dispatcher_->set_fence(taken->epoch);
        TakeWaitingJobs(now);
      } else {
        BeginTakeOver(now, taken->epoch);
      }
    }
    // A lease that has lapsed while nobody else took it changes nothing yet:
    // the workers refuse this host as soon as another one has taken over.
  }
}

void DispatcherRunner::Commit(const TableTransaction& transaction) {
  ports_.table.commit(transaction,
                      [this, transaction](const CommitResponse& answer) {
                        hooks_.post([this, transaction, answer](TimePoint now) {
                          OnCommit(now, transaction, answer);
                        });
                      });
}

void DispatcherRunner::OnCommit(TimePoint now,
                                const TableTransaction& transaction,
                                const CommitResponse& answer) {
  std::vector<LeaseEffect> effects;
  lease_.OnCommit(now, transaction.write_id, answer, effects);
  CarryOutLease(now, effects);
  for (const TableRow& row : answer.rows) rows_.Apply(now, row);
}

void DispatcherRunner::BeginTakeOver(TimePoint now, std::uint64_t epoch) {
  DropDispatcher(now, "the lease is new");
  take_over_ = TakeOver{};
  take_over_->epoch = epoch;
  rows_.CatchUp(now, [this, epoch](TimePoint then) {
    if (!take_over_ || take_over_->epoch != epoch) return;
    take_over_->rows_read = true;
    take_over_->first_new_version = rows_.cache().revision() + 1;
    ContinueTakeOver(then);
  });
  workers_revision_ = 0;
  ReadWorkers(now);
}

void DispatcherRunner::ReadWorkers(TimePoint /*now*/) {
  workers_open_ = true;
  const std::uint64_t term = term_;
  const milliseconds wait =
      workers_revision_ == 0 ? milliseconds(0) : kWorkersWait;
  ports_.watch_workers(workers_revision_, wait,
                       [this, term](const WorkerListUpdate& news) {
                         hooks_.post([this, term, news](TimePoint now) {
                           if (term == term_) OnWorkers(now, news);
                         });
                       });
}

void DispatcherRunner::OnWorkers(TimePoint now, const WorkerListUpdate& news) {
  workers_open_ = false;
  if (news.history_lost) {
    workers_revision_ = 0;
    workers_next_ = now;
    return;
  }
  if (!news.ok) {
    workers_next_ = now + kWorkersRetry;
    return;
  }
  const bool whole = workers_revision_ == 0;
  workers_revision_ = std::max<std::uint64_t>(news.revision, 1);
  workers_next_ = now + kWorkersPace;
  if (take_over_) {
    take_over_->workers = news;
    take_over_->workers_read = true;
    ContinueTakeOver(now);
    return;
  }
  if (!dispatcher_) return;
  Apply(now, news);
  if (!whole) return;
  // After a gap in the history a worker that is not listed has gone.
  std::set<WorkerId> listed;
  for (const WorkerRegistration& each : news.changed) {
    listed.insert(each.worker);
  }
  std::vector<WorkerId> gone;
  for (const auto& [id, worker] : dispatcher_->state().workers) {
    if (!listed.contains(id)) gone.push_back(id);
  }
  for (const WorkerId& id : gone) dispatcher_->UnregisterWorker(id);
}

void DispatcherRunner::Apply(TimePoint now, const WorkerListUpdate& news) {
  for (const WorkerRegistration& each : news.changed) {
    dispatcher_->RegisterWorker(now, each);
  }
  for (const WorkerId& id : news.removed) dispatcher_->UnregisterWorker(id);
}

void DispatcherRunner::ContinueTakeOver(TimePoint now) {
  if (!take_over_->rows_read || !take_over_->workers_read) return;
  const TakeOver begun = std::move(*take_over_);
  take_over_.reset();
  DispatchOptions options;
  options.host = settings_.host;
  options.lease = settings_.worker_lease;
  options.max_worker_lease = settings_.longest_lease;
  dispatcher_ = std::make_unique<Dispatcher>(options, begun.epoch);
  dispatcher_->set_advice_hosts(askers_);
  rows_.cache().ForEach(kWorkerRowPrefix, [&](const TableRow& row) {
    const WorkerId id(row.key.substr(kWorkerRowPrefix.size()));
    const Result<WorkerRegistration> known = DecodeWorkerRow(id, *row.value);
    if (known) {
      dispatcher_->AdoptWorker(now, known.value());
    } else {
      LogError(LogPart::kWorker, "unreadable row key=" + row.key +
                                     " why=" + known.error().detail);
    }
  });
  Apply(now, begun.workers);
  AddKnownJobs(now, begun.first_new_version);
  dispatcher_->EndTakeOver();
  LogInfo(
      LogPart::kPlacer,
      "dispatching fence=" + std::to_string(begun.epoch) +
          " jobs=" + std::to_string(dispatcher_->state().jobs.size()) +
          " workers=" + std::to_string(dispatcher_->state().workers.size()));
}

void DispatcherRunner::AddKnownJobs(TimePoint now,
                                    std::uint64_t first_new_version) {
  rows_.cache().ForEach(kJobRows, [&](const TableRow& row) {
    AddJobRow(now, row, row.version < first_new_version);
  });
}

void DispatcherRunner::TakeWaitingJobs(TimePoint now) {
  const std::vector<TableRow> waiting = std::move(waiting_jobs_);
  waiting_jobs_.clear();
  for (const TableRow& row : waiting) AddJobRow(now, row, false);
}

void DispatcherRunner::DropDispatcher(TimePoint /*now*/,
                                      const std::string& why) {
  ++term_;
  workers_open_ = false;
  waiting_jobs_.clear();
  if (!dispatcher_) return;
  LogWarning(LogPart::kPlacer, "no longer dispatching fence=" +
                                   std::to_string(dispatcher_->fence()) +
                                   " why=" + why);
  dispatcher_.reset();
}

void DispatcherRunner::SaveProgress(TimePoint now) {
  if (batch_) {
    // Sent again until the answer is definite, so that it takes effect at most
    // once.
    if (!batch_open_ && now >= batch_next_) {
      batch_open_ = true;
      ports_.table.commit(batch_transaction_, [this](const CommitResponse& a) {
        hooks_.post([this, a](TimePoint then) { OnBatchAnswer(then, a); });
      });
    }
    return;
  }
  if (!dispatcher_ || !dispatcher_->HasDirty()) return;
  if (!lease_.CanBeginFencedTransaction(now)) return;
  ProgressWriteBatch batch = dispatcher_->TakeBatch(kMostRows);
  if (batch.empty()) {
    dispatcher_->OnSaved(now, batch);
    return;
  }
  TableTransaction transaction;
  transaction.write_id = write_prefix_ + std::to_string(next_write_++);
  const auto guard = lease_.BeginFencedTransaction(now, transaction.write_id);
  if (!guard) {
    dispatcher_->OnNotSaved(batch);
    return;
  }
  transaction.conditions.push_back(guard->condition);
  transaction.writes.push_back(guard->write);
  for (const auto& [id, progress] : batch.jobs) {
    transaction.writes.push_back(
        {ProgressRowKey(id), EncodeJobProgress(progress)});
  }
  for (const WorkerRegistration& each : batch.enrolled) {
    transaction.writes.push_back(
        {WorkerRowKey(each.worker), EncodeWorkerRow(each)});
  }
  for (const WorkerId& id : batch.removed_workers) {
    transaction.writes.push_back({WorkerRowKey(id), std::nullopt});
  }
  batch_ = std::move(batch);
  batch_transaction_ = std::move(transaction);
  batch_term_ = term_;
  batch_in_doubt_ = false;
  batch_open_ = false;
  batch_next_ = now;
  SaveProgress(now);
}

void DispatcherRunner::OnBatchAnswer(TimePoint now,
                                     const CommitResponse& answer) {
  batch_open_ = false;
  if (!batch_) return;
  if (answer.status == CommitStatus::kUnknown ||
      (answer.status == CommitStatus::kNotApplied && batch_in_doubt_)) {
    batch_in_doubt_ = true;
    batch_next_ = now + kBatchRetry;
    return;
  }
  std::uint64_t version = 0;
  if (answer.status == CommitStatus::kCommitted) version = answer.revision;
  if (answer.status == CommitStatus::kConflict) {
    version = VersionIfCommitted(batch_transaction_, answer);
  }
  const ProgressWriteBatch batch = std::move(*batch_);
  const TableTransaction transaction = std::move(batch_transaction_);
  batch_.reset();
  // An earlier dispatcher's batch says nothing about this one's ends.
  const bool is_own = dispatcher_ && batch_term_ == term_;
  OnCommit(now, transaction, answer);
  if (version == 0) {
    if (is_own && dispatcher_) dispatcher_->OnNotSaved(batch);
    return;
  }
  std::vector<TableRow> rows;
  for (const TableWrite& write : transaction.writes) {
    rows.push_back({write.key, write.value, version, transaction.write_id});
  }
  hooks_.on_rows_committed(now, rows);
  if (is_own && dispatcher_) dispatcher_->OnSaved(now, batch);
}

TimePoint DispatcherRunner::Tick(TimePoint now) {
  TickLease(now);
  if (dispatcher_ && dispatcher_->fenced_off()) {
    DropDispatcher(now, "a worker has seen a higher fence");
    // If the lease is still this host's, it is taken with a higher fence.
    std::vector<LeaseEffect> effects;
    lease_.Relinquish(effects);
    CarryOutLease(now, effects);
  }
  if (dispatcher_ && !waiting_jobs_.empty() && lease_.IsHeld(now)) {
    TakeWaitingJobs(now);
  }
  if ((dispatcher_ || take_over_) && !workers_open_ && now >= workers_next_) {
    ReadWorkers(now);
  }
  // The lease needs a look a few times a second.
  TimePoint next = now + milliseconds(100);
  if (dispatcher_) {
    DispatchEffects effects;
    dispatcher_->set_sole_until(lease_.valid_until());
    next =
        std::min(next, dispatcher_->Decide(now, hooks_.wall_clock(), effects));
    CarryOut(effects);
    if (!workers_open_) next = std::min(next, workers_next_);
  }
  SaveProgress(now);
  if (batch_ && !batch_open_) next = std::min(next, batch_next_);
  return next;
}

void DispatcherRunner::Stop(TimePoint now) {
  DropDispatcher(now, "planned stop");
  take_over_.reset();
  std::vector<LeaseEffect> effects;
  lease_.Stop(now, effects);
  CarryOutLease(now, effects);
}

void DispatcherRunner::OnAdvice(TimePoint now, std::uint64_t ask,
                                const AdviceResponse& answer) {
  if (dispatcher_) dispatcher_->OnAdviceResponse(now, ask, answer);
}

template <typename Answer, typename Function>
std::function<void(Answer)> DispatcherRunner::ToDispatcher(std::uint64_t fence,
                                                           Function function) {
  const std::uint64_t term = term_;
  return [this, term, fence, function](Answer answer) {
    answer.fence = fence;
    hooks_.post([this, term, function, answer](TimePoint now) {
      if (term == term_ && dispatcher_) function(now, answer);
    });
  };
}

void DispatcherRunner::CarryOut(const DispatchEffects& effects) {
  for (const DispatchEffect& effect : effects) {
    std::visit([this](const auto& each) { CarryOut(each); }, effect);
  }
}

void DispatcherRunner::CarryOut(const StartRun& order) {
  LogInfo(LogPart::kPlacer,
          "start job=" + order.run.task.job.value() +
              " step=" + std::to_string(order.run.task.step) +
              " task=" + std::to_string(order.run.task.index) +
              " run=" + std::to_string(order.run.number) +
              " worker=" + order.worker.value());
  const std::uint64_t run = order.run_id;
  ports_.start_run(
      order, ToDispatcher<CommandResponse>(
                 order.fence, [this, run](TimePoint now, const auto& answer) {
                   dispatcher_->OnStartResponse(now, run, answer);
                 }));
}

void DispatcherRunner::CarryOut(const StopRun& order) {
  const std::uint64_t run = order.run_id;
  const WorkerId worker = order.worker;
  ports_.stop_run(
      order,
      ToDispatcher<CommandResponse>(
          order.fence, [this, run, worker](TimePoint now, const auto& answer) {
            dispatcher_->OnStopAnswer(now, run, worker, answer);
          }));
}

void DispatcherRunner::CarryOut(const PaceRun& order) {
  ports_.pace_run(order, ToDispatcher<CommandResponse>(
                             order.fence, [](TimePoint, const auto&) {}));
}

void DispatcherRunner::CarryOut(const PollWorker& order) {
  const std::uint64_t poll = order.poll_id;
  const WorkerId worker = order.worker;
  ports_.poll_worker(
      order,
      ToDispatcher<PollResponse>(
          order.fence, [this, poll, worker](TimePoint now, const auto& answer) {
            dispatcher_->OnPollResponse(now, worker, poll, answer);
          }));
}

void DispatcherRunner::CarryOut(const AdviceRequest& ask) {
  hooks_.request_advice(ask);
}

}  // namespace chivewing
