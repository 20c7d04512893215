#include "cluster/table_watcher.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

// How long one question waits for a change at the table.
constexpr std::chrono::milliseconds kWait{500};
// Beyond that wait, an answer that takes longer shows that the table is out of
// reach; a slow table answers sooner.
constexpr std::chrono::milliseconds kSilence{600};
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr int kMostDoublings = 1;  // callers are refused meanwhile

}  // namespace

TimePoint TableWatcher::Tick(TimePoint now) {
  if (open_) return TimePoint::max();
  if (now < next_) return next_;
  if (ready_) {
    ReadChanges();
  } else {
    ReadAll();
  }
  sent_ = now;
  return TimePoint::max();
}

bool TableWatcher::IsTableUnreachable(TimePoint now) const {
  if (answered_ == TimePoint{}) return false;
  const bool silent = open_ && now > sent_ + kWait + kSilence;
  return silent || (faults_in_row_ > 0 && now > answered_ + kWait + kSilence);
}

std::optional<TimePoint> TableWatcher::TableAvailableSince(
    TimePoint now) const {
  if (IsTableUnreachable(now)) return std::nullopt;
  return answers_since_;
}

void TableWatcher::Apply(TimePoint now, const TableRow& row) {
  if (cache_.Apply(row)) on_row_(now, row);
}

void TableWatcher::CatchUp(TimePoint now, std::function<void(TimePoint)> done) {
  waiting_.emplace_back(now, std::move(done));
  // Whatever is asked now need not wait for a change that may never come.
  if (ready_) {
    open_ = false;
    ++call_;
  }
  next_ = now;
}

void TableWatcher::ReadAll() {
  open_ = true;
  const std::uint64_t call = ++call_;
  calls_.read_all([this, call](const ChangesResponse& answer) {
    post_([this, call, answer](TimePoint now) {
      if (call == call_) OnRows(now, answer, true);
    });
  });
}

void TableWatcher::ReadChanges() {
  open_ = true;
  const std::uint64_t call = ++call_;
  // After a fault the first answer tells that the table is back.
  const bool hurry = !waiting_.empty() || faults_in_row_ > 0;
  calls_.changes(cache_.revision(),
                 hurry ? std::chrono::milliseconds(0) : kWait,
                 [this, call](const ChangesResponse& answer) {
                   post_([this, call, answer](TimePoint then) {
                     if (call == call_) OnRows(then, answer, !answer.more);
                   });
                 });
}

void TableWatcher::OnRows(TimePoint now, const ChangesResponse& answer,
                          bool complete) {
  open_ = false;
  if (answer.history_lost) {
    LogWarning(LogPart::kPlatform, "history of the table is lost since=" +
                                       std::to_string(cache_.revision()) +
                                       ", reading all rows");
    ready_ = false;
    next_ = now;
    return;
  }
  if (!answer.ok) {
    OnFault(now);
    return;
  }
  if (faults_in_row_ > 0) {
    LogInfo(LogPart::kPlatform, "table is followed again after faults=" +
                                    std::to_string(faults_in_row_));
  }
  if (faults_in_row_ > 0 || answered_ == TimePoint{}) answers_since_ = now;
  faults_in_row_ = 0;
  answered_ = now;
  ready_ = true;
  for (const TableRow& row : answer.rows) Apply(now, row);
  cache_.set_revision(answer.revision);
  cache_.set_last_response_time(now);
  if (!complete) {
    next_ = now;
    return;
  }
  next_ = std::max(now, sent_ + pace_);
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (auto& [since, done] : waiting) {
    if (sent_ >= since) {
      done(now);
    } else {
      waiting_.emplace_back(since, std::move(done));
    }
  }
  if (!waiting_.empty()) next_ = now;
}

void TableWatcher::OnFault(TimePoint now) {
  if (faults_in_row_++ == 0) {
    LogWarning(LogPart::kPlatform, "table does not answer for changes");
  }
  const int doublings = std::min(faults_in_row_ - 1, kMostDoublings);
  next_ = now + kFirstRetry * (1 << doublings);
}

}  // namespace chivewing
