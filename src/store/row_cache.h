#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// A page of changed rows in ascending version order, including tombstones.
struct RowChanges {
  // Value of `since` that requests the next page.
  std::uint64_t cursor = 0;
  // This page and those before it hold all changes up to this table revision.
  std::uint64_t complete_through_revision = 0;
  bool more = false;  // further rows follow after this page
  std::vector<TableRow> rows{};
};

// In-memory copy of rows of the platform's table. Rows may be applied in any
// order and repeatedly: a key only moves to a higher version, and a deleted row
// stays as a versioned tombstone so that an older copy cannot restore it. No
// I/O; not thread-safe.
class RowCache {
 public:
  using Visitor = std::function<void(const TableRow&)>;

  // Stores the row if its version is higher than the cached one; returns
  // whether it was stored.
  bool Apply(const TableRow& row);

  // Null if the row is unknown or deleted.
  const TableRow* Find(std::string_view key) const;
  // The row or its tombstone; null if the key is unknown.
  const TableRow* FindIncludingTombstone(std::string_view key) const;
  // The cached version of the row or its tombstone, 0 if the key is unknown. A
  // condition on the row must give this version.
  std::uint64_t version(std::string_view key) const;
  // Calls `visit` for each row whose key starts with `prefix`, in key order,
  // without tombstones. `visit` must not change the cache.
  void ForEach(std::string_view prefix, const Visitor& visit) const;

  // Rows under `prefixes` (all rows if empty) with a version above `since`. May
  // exceed `limit`: rows of one version are never split over two pages.
  RowChanges ChangedSince(std::uint64_t since,
                          const std::vector<std::string>& prefixes,
                          std::size_t limit) const;

  // Calls `visit` for each row, tombstones included, with a version above
  // `since`, in ascending version order. `visit` must not change the cache.
  void ForEachChangedSince(std::uint64_t since, const Visitor& visit) const;
  // The number of those rows, counted up to `limit`.
  std::size_t CountChangedSince(std::uint64_t since, std::size_t limit) const;

  // All changes of the table up to this revision are applied.
  std::uint64_t revision() const { return revision_; }
  // Ignored if lower than the current revision.
  void set_revision(std::uint64_t revision);

  // Records when the table itself last responded.
  void set_last_response_time(TimePoint now) { last_response_time_ = now; }
  bool has_table_response() const { return last_response_time_ != TimePoint{}; }
  // Time since the last response, or since the clock's epoch if there was none.
  Duration age(TimePoint now) const { return now - last_response_time_; }

  std::size_t row_count() const { return rows_.size(); }  // with tombstones
  // Estimated memory use in bytes.
  std::size_t memory_bytes() const;

 private:
  std::map<std::string, TableRow, std::less<>> rows_;
  std::set<std::pair<std::uint64_t, std::string>> by_version_;
  std::uint64_t revision_ = 0;
  std::size_t text_bytes_ = 0;
  TimePoint last_response_time_{};
};

}  // namespace chivewing
