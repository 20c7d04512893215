#include "entry/row_cache_updater.h"

#include <utility>

namespace chivewing {
namespace {

constexpr std::size_t kMaxRowsPerPush = 1000;

}  // namespace

RowCacheUpdater::RowCacheUpdater(std::vector<std::string> prefixes,
                                 Duration poll_interval)
    : prefixes_(std::move(prefixes)), poll_interval_(poll_interval) {}

void RowCacheUpdater::RequestRefresh(std::uint64_t token) {
  requested_refreshes_.push_back(token);
}

void RowCacheUpdater::Tick(TimePoint now, Effects& out) {
  const bool refresh = !requested_refreshes_.empty() && last_poll_succeeded_;
  const bool due = now >= next_poll_at_ || refresh;
  if (poll_in_flight_ || !due) return;
  poll_in_flight_ = true;
  polled_refreshes_.insert(polled_refreshes_.end(),
                           requested_refreshes_.begin(),
                           requested_refreshes_.end());
  requested_refreshes_.clear();
  out.emplace_back(FetchChanges{cache_.revision(), prefixes_});
}

void RowCacheUpdater::OnChanges(TimePoint now, const ChangesResponse& response,
                                Effects& out) {
  poll_in_flight_ = false;
  next_poll_at_ = now + poll_interval_;
  last_poll_succeeded_ = response.ok;
  if (!response.ok) {
    requested_refreshes_.insert(requested_refreshes_.end(),
                                polled_refreshes_.begin(),
                                polled_refreshes_.end());
    polled_refreshes_.clear();
    return;
  }
  for (const TableRow& row : response.rows) ApplyRow(row, out);
  cache_.set_revision(response.revision);
  cache_.set_last_response_time(now);
  if (response.more) {
    next_poll_at_ = now;
    return;
  }
  if (!std::exchange(initial_sync_complete_, true))
    out.emplace_back(InitialSyncCompleted{});
  for (const std::uint64_t token : polled_refreshes_) {
    out.emplace_back(RefreshCompleted{token});
  }
  polled_refreshes_.clear();
}

void RowCacheUpdater::OnRows(const std::vector<TableRow>& rows, Effects& out) {
  for (const TableRow& row : rows) ApplyRow(row, out);
}

void RowCacheUpdater::ApplyRow(const TableRow& row, Effects& out) {
  if (cache_.Apply(row)) out.emplace_back(RowChanged{row});
}

void RowCacheUpdater::OnPeerUp(const HostId& peer, Effects& out) {
  if (initial_sync_complete_) return;
  out.emplace_back(SendToPeer{peer, RowsRequest{0, prefixes_}});
}

void RowCacheUpdater::OnRowsRequest(const HostId& from,
                                    const RowsRequest& request,
                                    Effects& out) const {
  std::uint64_t since = request.since;
  while (true) {
    RowChanges page =
        cache_.ChangedSince(since, request.prefixes, kMaxRowsPerPush);
    if (!page.rows.empty()) {
      out.emplace_back(SendToPeer{from, RowsPush{std::move(page.rows)}});
    }
    if (!page.more) return;
    since = page.cursor;
  }
}

}  // namespace chivewing
