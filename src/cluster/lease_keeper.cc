#include "cluster/lease_keeper.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace chivewing {
namespace {

constexpr std::size_t kRingCapacity = 4096;
// The lease is looked at at least this often.
constexpr std::chrono::milliseconds kMaxTickInterval{100};
// An owner whose loop has not turned for so long hangs; a loop that is only
// overloaded turns more often.
constexpr std::chrono::seconds kLongestOwnerPause{5};

}  // namespace

LeaseKeeper::LeaseKeeper(TimePoint now, LeaseSettings settings, Commit commit,
                         OnChange on_change)
    : commit_(std::move(commit)),
      on_change_(std::move(on_change)),
      lease_(now, std::move(settings)),
      owner_turned_at_(now),
      thread_(kRingCapacity) {}

void LeaseKeeper::Start(TimeSource clock) {
  thread_.Start(std::move(clock),
                [this](TimePoint now, std::vector<Event>& events) {
                  return HandleEvents(now, events);
                });
}

void LeaseKeeper::Stop() { thread_.Stop(); }

TimePoint LeaseKeeper::HandleEvents(TimePoint now, std::vector<Event>& events) {
  LeaseManager::Effects effects;
  for (const Event& event : events) event(now, effects);
  if (HasOwnerStopped(now)) {
    lease_.Relinquish(effects);
  } else if (table_ready_) {
    lease_.Tick(now, effects);
  }
  Execute(effects);
  Publish(now);
  const TimePoint latest = now + kMaxTickInterval;
  if (HasOwnerStopped(now)) return latest;
  return table_ready_ ? std::min(latest, lease_.NextTick(now)) : latest;
}

bool LeaseKeeper::HasOwnerStopped(TimePoint now) const {
  return now > owner_turned_at_.load() + kLongestOwnerPause;
}

void LeaseKeeper::Execute(const LeaseManager::Effects& effects) {
  for (const LeaseEffect& effect : effects) {
    if (const auto* commit = std::get_if<CommitLease>(&effect)) {
      Send(commit->transaction);
    }
  }
}

void LeaseKeeper::Send(const TableTransaction& transaction) {
  commit_(transaction, [this, transaction](const CommitResponse& response) {
    thread_.Post([this, transaction, response](TimePoint now,
                                               LeaseManager::Effects& effects) {
      OnResponse(now, transaction, response, effects);
    });
  });
}

void LeaseKeeper::OnResponse(TimePoint now, const TableTransaction& transaction,
                             const CommitResponse& response,
                             LeaseManager::Effects& effects) {
  lease_.OnCommit(now, transaction.write_id, response, effects);
  std::vector<TableRow> rows = response.rows;
  if (response.status == CommitStatus::kCommitted) {
    for (const TableWrite& write : transaction.writes) {
      rows.push_back(
          {write.key, write.value, response.revision, transaction.write_id});
    }
  }
  const std::lock_guard lock(mutex_);
  rows_.insert(rows_.end(), rows.begin(), rows.end());
}

// The owner is woken when the lease is acquired, lost or released. A renewal
// alone is found at its next look.
void LeaseKeeper::Publish(TimePoint now) {
  State state;
  state.held = lease_.IsHeld(now);
  state.epoch = lease_.epoch();
  state.valid_until = lease_.valid_until();
  state.stopped = lease_.IsStopped();
  state.predecessor_ended_by = lease_.predecessor_ended_by();
  if (const auto fence = lease_.FenceCondition(now)) state.fence = *fence;
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = state.held != state_.held || state.epoch != state_.epoch ||
              state.stopped != state_.stopped;
    state_ = std::move(state);
  }
  if (changed) on_change_();
}

void LeaseKeeper::OnRow(const TableRow& row) {
  thread_.Post([this, row](TimePoint now, LeaseManager::Effects& effects) {
    lease_.OnRow(now, row, effects);
  });
}

void LeaseKeeper::set_rank(std::size_t rank) {
  thread_.Post([this, rank](TimePoint, LeaseManager::Effects&) {
    lease_.set_rank(rank);
  });
}

void LeaseKeeper::set_table_available_since(std::optional<TimePoint> since) {
  thread_.Post([this, since](TimePoint, LeaseManager::Effects&) {
    table_ready_ = table_ready_ || since.has_value();
    lease_.set_table_available_since(since);
  });
}

void LeaseKeeper::set_table_clock(const TableClock& clock) {
  thread_.Post([this, clock](TimePoint, LeaseManager::Effects&) {
    lease_.set_table_clock(clock);
  });
}

void LeaseKeeper::Relinquish() {
  thread_.Post([this](TimePoint, LeaseManager::Effects& effects) {
    lease_.Relinquish(effects);
  });
}

void LeaseKeeper::HandOver(TimePoint until) {
  thread_.Post([this, until](TimePoint now, LeaseManager::Effects& effects) {
    lease_.HandOver(now, until, effects);
  });
}

void LeaseKeeper::Release() {
  thread_.Post([this](TimePoint now, LeaseManager::Effects& effects) {
    lease_.Stop(now, effects);
  });
}

bool LeaseKeeper::IsHeld(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return state_.held && now < state_.valid_until;
}

LeaseKeeper::State LeaseKeeper::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

std::vector<TableRow> LeaseKeeper::TakeRows() {
  const std::lock_guard lock(mutex_);
  return std::exchange(rows_, {});
}

}  // namespace chivewing
