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

// A page of rows, oldest version first, removed ones included.
struct RowChanges {
  std::uint64_t cursor = 0;  // `since` of the next page
  // All changes up to this revision of the table are in the pages so far.
  std::uint64_t complete_through_revision = 0;
  bool more = false;
  std::vector<TableRow> rows{};
};

// Copies of rows of the table. Rows may be applied in any order and again; each
// key only ever moves to a higher version, and a removed row is kept as a
// versioned tombstone so that an older copy cannot bring it back.
class RowCache {
 public:
  using Visitor = std::function<void(const TableRow&)>;

  // Takes the row if its version is higher than the one held for its key;
  // returns whether it did.
  bool Apply(const TableRow& row);

  // The row, or null when it is absent or removed.
  const TableRow* Find(std::string_view key) const;
  // The row, that of a removal included, or null when nothing is known.
  const TableRow* FindIncludingTombstone(std::string_view key) const;
  // The version held for a key, that of its tombstone when it is removed, and 0
  // when nothing is known: what a condition on the row has to name.
  std::uint64_t version(std::string_view key) const;
  // Calls `visit` for each row whose key starts with `prefix`, in the order of
  // keys, removed ones left out. `visit` must not change the cache.
  void ForEach(std::string_view prefix, const Visitor& visit) const;

  // Rows under `prefixes` (all when empty) with a version over `since`, about
  // `limit` of them: rows of one version are never split over two pages.
  RowChanges ChangedSince(std::uint64_t since,
                          const std::vector<std::string>& prefixes,
                          std::size_t limit) const;

  // All changes of the table up to this revision have been applied.
  std::uint64_t revision() const { return revision_; }
  // Ignored when lower than the present one.
  void set_revision(std::uint64_t revision);

  // When the table itself last answered.
  void set_last_response_time(TimePoint now) { last_contact_ = now; }
  bool has_table_response() const { return last_contact_ != TimePoint{}; }
  // Time since the last contact, or since the clock's start when there was
  // none.
  Duration age(TimePoint now) const { return now - last_contact_; }

  std::size_t row_count() const { return rows_.size(); }  // with tombstones
  // Estimate of the memory in use, in bytes.
  std::size_t memory_bytes() const;

 private:
  std::map<std::string, TableRow, std::less<>> rows_;
  std::set<std::pair<std::uint64_t, std::string>> by_version_;
  std::uint64_t revision_ = 0;
  std::size_t text_bytes_ = 0;
  TimePoint last_contact_{};
};

}  // namespace chivewing
