#include "store/row_cache.h"

#include <algorithm>

namespace chivewing {
namespace {

// Estimate for the tree nodes, pointers and string headers of one row in both
// indexes.
constexpr std::size_t kOverheadBytesPerRow = 320;

// The key is stored three times: as map key, in the row and in the version
// index.
std::size_t TextBytes(const TableRow& row) {
  const std::size_t value = row.value ? row.value->size() : 0;
  return 3 * row.key.size() + value + row.write_id.size();
}

bool HasAnyPrefix(std::string_view key,
                  const std::vector<std::string>& prefixes) {
  if (prefixes.empty()) return true;
  return std::any_of(
      prefixes.begin(), prefixes.end(),
      [key](const std::string& prefix) { return key.starts_with(prefix); });
}

}  // namespace

bool RowCache::Apply(const TableRow& row) {
  const auto found = rows_.find(row.key);
  if (found == rows_.end()) {
    if (row.version == 0) return false;
    rows_.emplace(row.key, row);
  } else {
    if (row.version <= found->second.version) return false;
    by_version_.erase({found->second.version, row.key});
    text_bytes_ -= TextBytes(found->second);
    found->second = row;
  }
  by_version_.emplace(row.version, row.key);
  text_bytes_ += TextBytes(row);
  return true;
}

const TableRow* RowCache::Find(std::string_view key) const {
  const TableRow* const row = FindIncludingTombstone(key);
  return row != nullptr && row->value ? row : nullptr;
}

const TableRow* RowCache::FindIncludingTombstone(std::string_view key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

std::uint64_t RowCache::version(std::string_view key) const {
  const TableRow* const row = FindIncludingTombstone(key);
  return row == nullptr ? 0 : row->version;
}

void RowCache::ForEach(std::string_view prefix, const Visitor& visit) const {
  for (auto each = rows_.lower_bound(prefix); each != rows_.end(); ++each) {
    if (!each->first.starts_with(prefix)) return;
    if (each->second.value) visit(each->second);
  }
}

RowChanges RowCache::ChangedSince(std::uint64_t since,
                                  const std::vector<std::string>& prefixes,
                                  std::size_t limit) const {
  RowChanges changes;
  changes.cursor = since;
  for (auto each = by_version_.lower_bound({since + 1, std::string()});
       each != by_version_.end(); ++each) {
    if (changes.rows.size() >= limit && each->first != changes.cursor) {
      changes.more = true;
      break;
    }
    changes.cursor = each->first;
    if (!HasAnyPrefix(each->second, prefixes)) continue;
    changes.rows.push_back(rows_.find(each->second)->second);
  }
  if (!changes.more) changes.cursor = std::max(changes.cursor, revision_);
  changes.complete_through_revision = std::min(changes.cursor, revision_);
  return changes;
}

void RowCache::ForEachChangedSince(std::uint64_t since,
                                   const Visitor& visit) const {
  for (auto each = by_version_.lower_bound({since + 1, std::string()});
       each != by_version_.end(); ++each) {
    visit(rows_.find(each->second)->second);
  }
}

std::size_t RowCache::CountChangedSince(std::uint64_t since,
                                        std::size_t limit) const {
  std::size_t count = 0;
  for (auto each = by_version_.lower_bound({since + 1, std::string()});
       each != by_version_.end() && count < limit; ++each) {
    ++count;
  }
  return count;
}

void RowCache::set_revision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

std::size_t RowCache::memory_bytes() const {
  return text_bytes_ + rows_.size() * kOverheadBytesPerRow;
}

}  // namespace chivewing
