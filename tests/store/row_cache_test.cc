#include "store/row_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace chivewing {
namespace {

using std::chrono::seconds;

TableRow Row(std::string key, std::uint64_t version,
             std::optional<std::string> value = "v") {
  return {.key = std::move(key),
          .value = std::move(value),
          .version = version,
          .write_id = "w" + std::to_string(version)};
}

// All rows of the cache, including tombstones.
std::vector<TableRow> AllRows(const RowCache& cache) {
  return cache.ChangedSince(0, {}, 1 << 20).rows;
}

TEST(RowCacheTest, TombstoneBeatsLowerVersions) {
  RowCache cache;
  EXPECT_TRUE(cache.Apply(Row("a", 3)));
  EXPECT_TRUE(cache.Apply(Row("a", 5, std::nullopt)));
  EXPECT_FALSE(cache.Apply(Row("a", 4)));
  EXPECT_EQ(cache.Find("a"), nullptr);
  EXPECT_EQ(cache.version("a"), 5U);
  EXPECT_TRUE(cache.Apply(Row("a", 6)));
  EXPECT_NE(cache.Find("a"), nullptr);
}

TEST(RowCacheTest, IgnoresRowThatWasNeverWritten) {
  RowCache cache;
  EXPECT_FALSE(cache.Apply(Row("a", 0, std::nullopt)));
  EXPECT_EQ(cache.row_count(), 0U);
}

TEST(RowCacheTest, VisitsPrefixInKeyOrder) {
  RowCache cache;
  for (const char* key : {"b/2", "a/1", "b/1", "c/1", "b"}) {
    cache.Apply(Row(key, 1));
  }
  cache.Apply(Row("b/3", 2, std::nullopt));
  std::vector<std::string> seen;
  cache.ForEach("b/", [&](const TableRow& row) { seen.push_back(row.key); });
  EXPECT_EQ(seen, (std::vector<std::string>{"b/1", "b/2"}));
}

TEST(RowCacheTest, ReportsAgeOfLastTableResponse) {
  RowCache cache;
  EXPECT_FALSE(cache.has_table_response());
  cache.set_last_response_time(TimePoint(seconds(10)));
  EXPECT_TRUE(cache.has_table_response());
  EXPECT_EQ(cache.age(TimePoint(seconds(14))), seconds(4));
  cache.set_revision(7);
  cache.set_revision(5);
  EXPECT_EQ(cache.revision(), 7U);
}

TEST(RowCacheTest, RowsAboveRevisionAreListedButNotReportedComplete) {
  RowCache cache;
  cache.Apply(Row("a", 3));
  cache.Apply(Row("b", 9));
  cache.set_revision(5);
  const RowChanges changes = cache.ChangedSince(0, {}, 10);
  EXPECT_EQ(changes.rows.size(), 2U);
  EXPECT_EQ(changes.cursor, 9U);
  EXPECT_EQ(changes.complete_through_revision, 5U);
  EXPECT_FALSE(changes.more);
}

std::vector<TableRow> AnyHistory() {
  const auto count = *rc::gen::inRange<std::size_t>(0, 40);
  std::vector<TableRow> rows;
  for (std::size_t i = 0; i < count; ++i) {
    const int key = *rc::gen::inRange(0, 6);
    const bool removed =
        *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
    TableRow row = Row("k" + std::to_string(key), i / 2 + 1);
    if (removed) row.value.reset();
    const bool repeated =
        std::any_of(rows.begin(), rows.end(), [&](const TableRow& each) {
          return each.key == row.key && each.version == row.version;
        });
    if (!repeated) rows.push_back(std::move(row));
  }
  return rows;
}

RC_GTEST_PROP(RowCacheProperty, OrderAndRepetitionDoNotChangeTheResult, ()) {
  const std::vector<TableRow> history = AnyHistory();
  RowCache in_order;
  for (const TableRow& row : history) in_order.Apply(row);
  RowCache shuffled;
  std::vector<TableRow> rows = history;
  rows.insert(rows.end(), history.begin(), history.end());
  while (!rows.empty()) {
    const auto at = *rc::gen::inRange<std::size_t>(0, rows.size());
    const std::uint64_t before = shuffled.version(rows[at].key);
    shuffled.Apply(rows[at]);
    RC_ASSERT(shuffled.version(rows[at].key) >= before);
    RC_ASSERT(shuffled.version(rows[at].key) >= rows[at].version);
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(at));
  }
  RC_ASSERT(AllRows(in_order) == AllRows(shuffled));
  RC_ASSERT(in_order.memory_bytes() == shuffled.memory_bytes());
}

RC_GTEST_PROP(RowCacheProperty, PagesReturnEachChangedRowOnce, ()) {
  RowCache cache;
  for (const TableRow& row : AnyHistory()) cache.Apply(row);
  const auto since = *rc::gen::inRange<std::uint64_t>(0, 20);
  const auto limit = *rc::gen::inRange<std::size_t>(1, 5);
  const std::vector<std::string> prefixes = {"k1", "k2", "k3"};
  std::vector<TableRow> paged;
  RowChanges page{.cursor = since, .more = true};
  while (page.more) {
    page = cache.ChangedSince(page.cursor, prefixes, limit);
    paged.insert(paged.end(), page.rows.begin(), page.rows.end());
  }
  RC_ASSERT(paged == cache.ChangedSince(since, prefixes, 1000).rows);
  for (const TableRow& row : paged) RC_ASSERT(row.version > since);
}

}  // namespace
}  // namespace chivewing
