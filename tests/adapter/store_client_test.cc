// The store client against a stand-in of the platform's store.

#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <future>
#include <set>
#include <string>

#include "platform/store_codec.h"
#include "standins/store_standin.h"

namespace chivewing::wire {
namespace {

using std::chrono::milliseconds;

class StoreClientTest : public testing::Test {
 protected:
  CommitResponse Commit(const TableTransaction& transaction) {
    std::promise<CommitResponse> answer;
    client_.Commit(transaction,
                   [&](const CommitResponse& a) { answer.set_value(a); });
    return answer.get_future().get();
  }
  ChangesResponse ReadAll() {
    std::promise<ChangesResponse> answer;
    client_.ReadAll([&](const ChangesResponse& a) { answer.set_value(a); });
    return answer.get_future().get();
  }
  ChangesResponse Changes(std::uint64_t since) {
    std::promise<ChangesResponse> answer;
    client_.Changes(since, milliseconds(0),
                    [&](const ChangesResponse& a) { answer.set_value(a); });
    return answer.get_future().get();
  }
  static TableTransaction Write(const std::string& id, const std::string& key,
                                std::uint64_t version) {
    return {id, {{key, version}}, {{key, "value of " + id}}, ""};
  }

  StoreStandin store_{2};
  HttpClient http_;
  StoreClient client_{http_, store_.address()};
};

TEST_F(StoreClientTest, CommitsOnceAndReturnsTheConflictingWrite) {
  EXPECT_EQ(Commit(Write("w1", "job/a", 0)).status, CommitStatus::kCommitted);
  const CommitResponse again = Commit(Write("w1", "job/a", 0));
  EXPECT_EQ(again.status, CommitStatus::kConflict);
  ASSERT_EQ(again.rows.size(), 1U);
  EXPECT_EQ(again.rows[0].write_id, "w1");
  EXPECT_EQ(again.rows[0].value, "value of w1");
}

TEST_F(StoreClientTest, TruncatedResponseLeavesTheOutcomeUnknown) {
  store_.lose_answers = true;
  EXPECT_EQ(Commit(Write("w1", "job/a", 0)).status, CommitStatus::kUnknown);
  store_.lose_answers = false;
  EXPECT_EQ(Commit(Write("w1", "job/a", 0)).rows.at(0).write_id, "w1");
}

TEST_F(StoreClientTest, RejectedWritesAreNotApplied) {
  for (const int status : {429, 503}) {
    store_.refuse_with = status;
    EXPECT_EQ(Commit(Write("w1", "job/a", 0)).status,
              CommitStatus::kNotApplied);
    EXPECT_FALSE(ReadAll().ok);
  }
}

// One row that the store never takes was sent again and again with all others
// (review case 7, LOST): it must be told from a write that may pass later.
TEST_F(StoreClientTest, WritesThatTheStoreNeverTakesAreRejected) {
  for (const int status : {400, 403, 413}) {
    store_.refuse_with = status;
    EXPECT_EQ(Commit(Write("w1", "job/a", 0)).status, CommitStatus::kRejected);
  }
  for (const int status : {500, 502, 504}) {
    store_.refuse_with = status;
    EXPECT_EQ(Commit(Write("w1", "job/a", 0)).status,
              CommitStatus::kNotApplied);
  }
}

TEST_F(StoreClientTest, ReadsAllRowsOfAllPartsPageByPage) {
  std::set<std::string> keys;
  for (int i = 0; i < 200; ++i) {
    const std::string key = "job/" + std::to_string(i);
    keys.insert(key);
    Commit(Write("w" + std::to_string(i), key, 0));
  }
  Commit(Write("lease", "placer/all", 0));
  keys.insert("placer/all");
  const ChangesResponse all = ReadAll();
  ASSERT_TRUE(all.ok);
  std::set<std::string> seen;
  for (const TableRow& row : all.rows) seen.insert(row.key);
  EXPECT_EQ(seen, keys);
}

// A partition created while all rows are read must not be missed.
TEST_F(StoreClientTest, ReadsTheRowsOfAPrefixPageByPage) {
  std::set<std::string> expected;
  for (int i = 0; i < 5; ++i) {
    const std::string key = "host/h" + std::to_string(i);
    expected.insert(key);
    Commit(Write("w" + std::to_string(i), key, 0));
  }
  for (const char* key : {"hosts", "hos", "placer/all", "job/a"}) {
    Commit(Write(key, key, 0));
  }
  std::promise<ReadResponse> answer;
  client_.ReadPrefix("host/",
                     [&](const ReadResponse& a) { answer.set_value(a); });
  const ReadResponse read = answer.get_future().get();
  EXPECT_TRUE(read.ok);
  EXPECT_TRUE(read.clock);
  std::set<std::string> keys;
  for (const TableRow& row : read.rows) keys.insert(row.key);
  EXPECT_EQ(keys, expected);
}

TEST_F(StoreClientTest, ARowWrittenWhileReadingIsFoundAmongTheChanges) {
  Commit(Write("w1", "job/a", 0));
  store_.after_listing = [this] {
    store_.Put(std::string(kTableName), "control", "placer/all", "w2\nlease");
  };
  const ChangesResponse all = ReadAll();
  store_.after_listing = {};
  ASSERT_TRUE(all.ok);
  const ChangesResponse changes = Changes(all.revision);
  ASSERT_EQ(changes.rows.size(), 1U);
  EXPECT_EQ(changes.rows[0].key, "placer/all");
}

// A response to a read of changes ends after 500 rows without saying so. A host
// that read once a second fell ever further behind, and showed old states.
TEST_F(StoreClientTest, AFullResponseOfChangesIsNotTheLast) {
  Commit(Write("first", "placer/all", 0));
  const std::uint64_t since = ReadAll().revision;
  for (int i = 0; i < 501; ++i) {
    const std::string key = "job/" + std::to_string(i);
    store_.Put(std::string(kTableName), PartitionOf(key), key, "w\nvalue");
  }
  const ChangesResponse full = Changes(since);
  EXPECT_EQ(full.rows.size(), 500U);
  EXPECT_TRUE(full.more);
  const ChangesResponse rest = Changes(full.revision);
  EXPECT_EQ(rest.rows.size(), 1U);
  EXPECT_FALSE(rest.more);
}

TEST_F(StoreClientTest, ReportsLostHistory) {
  store_.history_lost = true;
  const ChangesResponse changes = Changes(1);
  EXPECT_TRUE(changes.history_lost);
  EXPECT_FALSE(changes.ok);
}

TEST_F(StoreClientTest, ReportsRegisteredAndRemovedWorkers) {
  const auto watch = [this](std::uint64_t after) {
    std::promise<WorkerListUpdate> answer;
    client_.WatchWorkers(
        after, milliseconds(0),
        [&](const WorkerListUpdate& n) { answer.set_value(n); });
    return answer.get_future().get();
  };
  const std::string good =
      R"({"service":"s","addr":"10.1.0.1:80","zone":"z","version":"v1","slots":8,
          "state":"ready","coldLeftMs":0,"seq":1,"labels":["a","r1"],
          "capacity":{"cpu":1,"memMb":1}})";
  store_.Put("servers", "", "i-1", good);
  store_.Put("servers", "", "i-2", "\xff");
  const WorkerListUpdate first = watch(0);
  ASSERT_EQ(first.changed.size(), 1U);
  EXPECT_EQ(first.changed[0].worker, WorkerId("i-1"));
  store_.Remove("servers", "", "i-1");
  const WorkerListUpdate second = watch(first.revision);
  ASSERT_EQ(second.removed.size(), 1U);
  EXPECT_EQ(second.removed[0], WorkerId("i-1"));
  // An entry that another writer has overwritten names no worker any more.
  store_.Put("servers", "", "i-3", good);
  const WorkerListUpdate third = watch(second.revision);
  ASSERT_EQ(third.changed.size(), 1U);
  store_.Put("servers", "", "i-3", R"({"service":"s","addr":"a"})");
  const WorkerListUpdate fourth = watch(third.revision);
  EXPECT_TRUE(fourth.changed.empty());
  ASSERT_EQ(fourth.removed.size(), 1U);
  EXPECT_EQ(fourth.removed[0], WorkerId("i-3"));
}

}  // namespace
}  // namespace chivewing::wire
