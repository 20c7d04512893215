#include "entry/row_cache_updater.h"

#include <utility>

namespace chivewing {
namespace {

constexpr std::size_t kRowsAPage = 1000;

}  // namespace

RowCacheUpdater::RowCacheUpdater(std::vector<std::string> prefixes,
                                 Duration poll_interval)
    : prefixes_(std::move(prefixes)), poll_interval_(poll_interval) {}

void RowCacheUpdater::Refresh(std::uint64_t token) {
  refreshes_asked_.push_back(token);
}

void RowCacheUpdater::Tick(TimePoint now, Effects& out) {
  const bool refresh = !refreshes_asked_.empty() && answered_;
  const bool due = now >= next_poll_ || refresh;
  if (poll_open_ || !due) return;
  poll_open_ = true;
  refreshes_polled_.insert(refreshes_polled_.end(), refreshes_asked_.begin(),
                           refreshes_asked_.end());
  refreshes_asked_.clear();
  out.emplace_back(FetchChanges{cache_.revision(), prefixes_});
}

void RowCacheUpdater::OnChanges(TimePoint now, const ChangesResponse& answer,
                                Effects& out) {
  poll_open_ = false;
  next_poll_ = now + poll_interval_;
  answered_ = answer.ok;
  if (!answer.ok) {
    refreshes_asked_.insert(refreshes_asked_.end(), refreshes_polled_.begin(),
                            refreshes_polled_.end());
    refreshes_polled_.clear();
    return;
  }
  for (const TableRow& row : answer.rows) Tell(row, out);
  cache_.set_revision(answer.revision);
  cache_.set_last_response_time(now);
  if (answer.more) {
    next_poll_ = now;
    return;
  }
  if (!std::exchange(complete_, true)) out.emplace_back(InitialSyncCompleted{});
  for (const std::uint64_t token : refreshes_polled_) {
    out.emplace_back(RefreshCompleted{token});
  }
  refreshes_polled_.clear();
}

void RowCacheUpdater::OnRows(const std::vector<TableRow>& rows, Effects& out) {
  for (const TableRow& row : rows) Tell(row, out);
}

void RowCacheUpdater::Tell(const TableRow& row, Effects& out) {
  if (cache_.Apply(row)) out.emplace_back(RowChanged{row});
}

void RowCacheUpdater::OnPeerUp(const HostId& peer, Effects& out) {
  if (complete_) return;
  out.emplace_back(SendToPeer{peer, RowsRequest{0, prefixes_}});
}

void RowCacheUpdater::OnRowsRequest(const HostId& from, const RowsRequest& ask,
                                    Effects& out) const {
  std::uint64_t since = ask.since;
  while (true) {
    RowChanges page = cache_.ChangedSince(since, ask.prefixes, kRowsAPage);
    if (!page.rows.empty()) {
      out.emplace_back(SendToPeer{from, RowsPush{std::move(page.rows)}});
    }
    if (!page.more) return;
    since = page.cursor;
  }
}

}  // namespace chivewing
