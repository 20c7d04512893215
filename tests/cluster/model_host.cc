#include "cluster/model_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/dispatcher_runner.h"
#include "cluster/host_row.h"
#include "cluster/job_feed_sender.h"
#include "dispatch/job_record.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// As in ClusterHost, DispatcherRunner and LeaseKeeper.
constexpr milliseconds kMaxTickInterval{100};
constexpr milliseconds kDispatchingPollInterval{100};
constexpr milliseconds kSuccessorPollInterval{300};
constexpr milliseconds kStandbyPollInterval{1000};
constexpr milliseconds kFeedInterval{250};
constexpr std::chrono::seconds kLongestOwnerPause{5};
// A thread that is due again at once lets the others run.
constexpr std::chrono::microseconds kShortestWait{100};
constexpr milliseconds kHostLease{600};
// Of the product eight hosts are next in line; the model has fewer hosts.
constexpr std::size_t kSuccessors = 2;
constexpr std::size_t kMaxJobsPerBatch = 4;
constexpr std::size_t kModelWorkers = 6;

LeaseSettings MakeLeaseSettings(const HostId& host, std::uint64_t incarnation) {
  LeaseSettings out;
  out.host = host;
  out.zone = ZoneId(kDispatcherZone);
  out.incarnation = incarnation;
  out.lease = kHostLease;
  out.max_lease_duration = 5 * kHostLease;
  out.clock_drift_margin = milliseconds(100);
  out.renew_interval = kHostLease / 4;
  out.acquire_stagger = milliseconds(30);
  out.max_retry_delay = milliseconds(150);
  out.separate_renewals = true;
  return out;
}

HostRow MakeHostRow(const HostId& host, std::uint64_t incarnation) {
  HostRow row;
  row.host = host;
  row.zone = ZoneId("zone");
  row.address = "127.0.0.1:1";
  row.incarnation = incarnation;
  row.takes_job_feed = true;
  return row;
}

}  // namespace

ModelHost::ModelHost(HostId id, std::uint64_t incarnation,
                     Environment environment)
    : id_(std::move(id)),
      incarnation_(incarnation),
      env_(std::move(environment)),
      watcher_(
          env_.table, HostRowKey(id_), [this](auto run) { Post(run); },
          [this](TimePoint now, const TableRow& row) { OnRow(now, row); }),
      host_row_writer_(env_.table, watcher_, MakeHostRow(id_, incarnation),
                       [this](auto run) { Post(run); }),
      progress_writer_(
          env_.table, watcher_,
          "batch-" + id_.value() + "-" + std::to_string(incarnation) + "-",
          {.post = [this](auto run) { Post(run); },
           .on_rows_committed =
               [this](TimePoint now, const std::vector<TableRow>& rows) {
                 for (const TableRow& row : rows) watcher_.Apply(now, row);
               },
           .on_result = [](TimePoint, std::uint64_t, const ProgressWriteBatch&,
                           BatchOutcome) {}}),
      lease_(env_.now(), MakeLeaseSettings(id_, incarnation)) {}

void ModelHost::Start() {
  owner_turned_at_ = env_.now();
  ScheduleTurn(env_.now());
  ScheduleLeaseTick(env_.now());
}

void ModelHost::set_rank(std::size_t rank) {
  rank_ = rank;
  PostToLease([rank](TimePoint, LeaseManager::Effects&, LeaseManager& lease) {
    lease.set_rank(rank);
  });
}

void ModelHost::Post(std::function<void(TimePoint)> run) {
  posted_.push_back(std::move(run));
  ScheduleTurn(env_.now() + env_.wake_time());
}

void ModelHost::ScheduleTurn(TimePoint at) {
  if (in_turn_ || at >= next_turn_) return;
  next_turn_ = at;
  env_.run_after(std::max(at - env_.now(), Duration(0)), [this, at] {
    if (!in_turn_ && next_turn_ == at) BeginTurn();
  });
}

// The turn's time is taken once, as the loop does; what follows may be later.
void ModelHost::BeginTurn() {
  in_turn_ = true;
  const TimePoint now = env_.now();
  const auto events = std::exchange(posted_, {});
  for (const auto& run : events) run(now);
  host_row_writer_.Tick(now);
  RequestFeed(now);
  if (feed_receiver_.TakeSilence(now)) watcher_.OnFeedSilent(now);
  TimePoint next = std::min(now + kMaxTickInterval, feed_receiver_.silent_at());
  watcher_.set_min_poll_interval(PollInterval());
  watcher_.set_needs_all_rows(NeedsAllRows());
  next = std::min(next, watcher_.Tick(now));
  SendFeed(now);
  env_.run_after(env_.turn_time(), [this, now, next] { EndTurn(now, next); });
}

void ModelHost::EndTurn(TimePoint began, TimePoint next) {
  TickLease(began);
  WriteProgress(began);
  next = std::min(next, progress_writer_.Tick(began));
  in_turn_ = false;
  next_turn_ = TimePoint::max();
  ScheduleTurn(posted_.empty() ? std::max(next, env_.now()) : env_.now());
}

bool ModelHost::NeedsAllRows() const {
  return dispatching_ || rank_ < kSuccessors;
}

milliseconds ModelHost::PollInterval() const {
  if (dispatching_) return kDispatchingPollInterval;
  return rank_ < kSuccessors ? kSuccessorPollInterval : kStandbyPollInterval;
}

void ModelHost::OnRow(TimePoint /*now*/, const TableRow& row) {
  const ZoneId zone(kDispatcherZone);
  const bool is_lease = row.key == LeaseManager::RowKey(zone);
  if (!is_lease && row.key != LeaseManager::RenewalRowKey(zone)) return;
  PostToLease([row](TimePoint now, LeaseManager::Effects& effects,
                    LeaseManager& lease) { lease.OnRow(now, row, effects); });
  if (is_lease) OnLeaseRow(row);
}

void ModelHost::OnLeaseRow(const TableRow& row) {
  const auto lease = row.value ? DecodeLeaseRow(*row.value) : std::nullopt;
  if (!lease) return;
  dispatching_host_ = lease->host;
  feed_receiver_.set_sender(dispatching_host_ == id_ ? HostId()
                                                     : dispatching_host_);
  if (lease->host == id_) return;
  if (dispatching_ && lease->epoch > fence_) {
    dispatching_ = false;
    ++generation_;
  }
  if (take_over_epoch_ && lease->epoch > *take_over_epoch_)
    take_over_epoch_.reset();
}

void ModelHost::TickLease(TimePoint now) {
  owner_turned_at_ = now;
  for (const TableRow& row : std::exchange(lease_rows_, {}))
    watcher_.Apply(now, row);
  const TableClock clock = watcher_.clock();
  PostToLease([clock](TimePoint, LeaseManager::Effects&, LeaseManager& lease) {
    lease.set_table_clock(clock);
  });
  const std::optional<TimePoint> since =
      watcher_.ready() ? watcher_.TableAvailableSince(now) : std::nullopt;
  if (since != reported_available_since_) {
    reported_available_since_ = since;
    PostToLease(
        [this, since](TimePoint, LeaseManager::Effects&, LeaseManager& lease) {
          table_ready_ = table_ready_ || since.has_value();
          lease.set_table_available_since(since);
        });
  }
  if (!lease_state_.held || lease_state_.epoch == acquired_epoch_) return;
  acquired_epoch_ = lease_state_.epoch;
  if (dispatching_ && lease_state_.epoch == fence_ + 1) {
    fence_ = lease_state_.epoch;
    return;
  }
  BeginTakeOver(now);
}

bool ModelHost::IsLeaseHeld(TimePoint now) const {
  return lease_state_.held && now < lease_state_.valid_until;
}

void ModelHost::BeginTakeOver(TimePoint now) {
  dispatching_ = false;
  ++generation_;
  const std::uint64_t epoch = lease_state_.epoch;
  const std::uint64_t version = lease_state_.fence.version;
  take_over_epoch_ = epoch;
  watcher_.CatchUp(now, version, [this, epoch, version](TimePoint then) {
    if (take_over_epoch_ != epoch) return;
    EndTakeOver(then, epoch, version);
  });
}

void ModelHost::EndTakeOver(TimePoint now, std::uint64_t epoch,
                            std::uint64_t version) {
  env_.on_caught_up(epoch, version, watcher_.cache());
  take_over_epoch_.reset();
  if (!IsLeaseHeld(now) || lease_state_.epoch != epoch) return;
  dispatching_ = true;
  fence_ = epoch;
}

void ModelHost::WriteProgress(TimePoint now) {
  if (!dispatching_ || progress_writer_.busy() || !IsLeaseHeld(now)) return;
  progress_writer_.Write(now, generation_, fence_, lease_state_.fence,
                         MakeBatch());
}

ProgressWriteBatch ModelHost::MakeBatch() {
  std::vector<JobId> jobs;
  watcher_.cache().ForEach(kJobRows, [&jobs](const TableRow& row) {
    jobs.push_back(JobOfRowKey(row.key, kJobRows));
  });
  ProgressWriteBatch batch;
  std::map<JobId, JobProgress> progress;
  for (std::size_t count = env_.choose(kMaxJobsPerBatch + 1);
       count > 0 && !jobs.empty(); --count) {
    progress[jobs.at(env_.choose(jobs.size()))] = JobProgress{};
  }
  batch.jobs.assign(progress.begin(), progress.end());
  WorkerRegistration worker;
  worker.worker = WorkerId("w" + std::to_string(env_.choose(kModelWorkers)));
  if (env_.choose(2) == 0) {
    batch.enrolled.push_back(worker);
  } else {
    batch.removed_workers.insert(worker.worker);
  }
  return batch;
}

void ModelHost::AcceptJob(const std::string& job) {
  const std::string key = std::string(kJobRows) + job;
  TableTransaction write;
  write.write_id = "job-" + id_.value() + "-" + job;
  write.conditions = {{key, 0}};
  write.writes = {{key, "accepted"}};
  env_.table.commit(write, [this, write](const CommitResponse& response) {
    if (response.status != CommitStatus::kCommitted) return;
    const TableWrite& job_row = write.writes.front();
    const TableRow row{job_row.key, job_row.value, response.revision,
                       write.write_id};
    Post([this, row](TimePoint now) {
      watcher_.Apply(now, row);
      env_.push_row(row);
    });
  });
}

void ModelHost::OnPushedRow(const TableRow& row) {
  Post([this, row](TimePoint now) { watcher_.Apply(now, row); });
}

void ModelHost::RequestFeed(TimePoint now) {
  if (!watcher_.TakesFeed() || !feed_receiver_.TakeRequest(now)) return;
  env_.request_feed(dispatching_host_, watcher_.cache().revision());
}

void ModelHost::OnFeedRequest(const HostId& from, std::uint64_t since) {
  Post([this, from, since](TimePoint) { feed_requests_[from] = since; });
}

JobFeed ModelHost::MakeFeed(std::uint64_t since) const {
  JobFeed feed;
  feed.number = feed_number_;
  feed.through = watcher_.cache().revision();
  watcher_.cache().ForEachChangedSince(since, [&feed](const TableRow& row) {
    if (IsFeedRow(row.key)) feed.rows.push_back(row);
  });
  return feed;
}

void ModelHost::SendFeed(TimePoint now) {
  if (!dispatching_) {
    feed_requests_.clear();
    feed_receivers_.clear();
    return;
  }
  for (const auto& [host, since] : std::exchange(feed_requests_, {})) {
    JobFeed first = MakeFeed(since);
    first.is_first = true;
    env_.send_feed(host, first);
    feed_receivers_[host] = true;
  }
  const bool due = watcher_.cache().revision() > fed_revision_ ||
                   now >= feed_sent_at_ + kFeedInterval;
  if (!due || feed_receivers_.empty()) return;
  ++feed_number_;
  const JobFeed feed = MakeFeed(fed_revision_);
  for (const auto& [host, receives] : feed_receivers_)
    env_.send_feed(host, feed);
  fed_revision_ = feed.through;
  feed_sent_at_ = now;
}

void ModelHost::OnFeed(const HostId& from, std::uint64_t incarnation,
                       const JobFeed& feed) {
  Post([this, from, incarnation, feed](TimePoint now) {
    for (const TableRow& row : feed.rows) watcher_.Apply(now, row);
    if (feed_receiver_.OnFeed(now, from, incarnation, feed))
      watcher_.OnFed(now, feed.through);
  });
}

void ModelHost::PostToLease(const LeaseEvent& event) {
  env_.run_after(env_.wake_time(), [this, event] { HandleLease(event); });
}

void ModelHost::HandleLease(const LeaseEvent& event) {
  const TimePoint now = env_.now();
  LeaseManager::Effects effects;
  event(now, effects, lease_);
  if (now > owner_turned_at_ + kLongestOwnerPause) {
    lease_.Relinquish(effects);
  } else if (table_ready_) {
    lease_.Tick(now, effects);
  }
  for (const LeaseEffect& effect : effects) {
    const auto* commit = std::get_if<CommitLease>(&effect);
    if (commit == nullptr) continue;
    const TableTransaction transaction = commit->transaction;
    env_.table.commit(transaction,
                      [this, transaction](const CommitResponse& response) {
                        OnLeaseResponse(transaction, response);
                      });
  }
  PublishLease(now);
  const TimePoint latest = now + kMaxTickInterval;
  ScheduleLeaseTick(table_ready_ ? std::min(latest, lease_.NextTick(now))
                                 : latest);
}

void ModelHost::ScheduleLeaseTick(TimePoint at) {
  next_lease_tick_ = at;
  env_.run_after(
      std::max<Duration>(at - env_.now(), kShortestWait), [this, at] {
        if (next_lease_tick_ != at) return;
        HandleLease([](TimePoint, LeaseManager::Effects&, LeaseManager&) {});
      });
}

void ModelHost::OnLeaseResponse(const TableTransaction& transaction,
                                const CommitResponse& response) {
  HandleLease([this, transaction, response](TimePoint now,
                                            LeaseManager::Effects& effects,
                                            LeaseManager& lease) {
    lease.OnCommit(now, transaction.write_id, response, effects);
    for (const TableRow& row : response.rows) lease_rows_.push_back(row);
    if (response.status != CommitStatus::kCommitted) return;
    for (const TableWrite& write : transaction.writes) {
      lease_rows_.push_back(
          {write.key, write.value, response.revision, transaction.write_id});
    }
  });
}

void ModelHost::PublishLease(TimePoint now) {
  LeaseState state;
  state.held = lease_.IsHeld(now);
  state.epoch = lease_.epoch();
  state.valid_until = lease_.valid_until();
  if (const auto fence = lease_.FenceCondition(now)) state.fence = *fence;
  const bool changed =
      state.held != lease_state_.held || state.epoch != lease_state_.epoch;
  lease_state_ = std::move(state);
  if (changed) ScheduleTurn(now + env_.wake_time());
}

}  // namespace chivewing
