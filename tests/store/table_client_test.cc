#include "store/table_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <future>

#include "http/http_client.h"
#include "http/listen_socket.h"
#include "standins/platform_standin.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Sends requests to the platform stand-in and waits for each response.
class TableClientTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(platform_.Start());
    UseAddresses({platform_.address()});
  }

  void UseAddresses(std::vector<std::string> addresses) {
    table_ = std::make_unique<TableClient>(
        http_, TableClientOptions{.addresses = std::move(addresses),
                                  .host = "h1",
                                  .timeout = milliseconds(200)});
  }

  CommitResponse Commit(const TableTransaction& transaction) {
    std::promise<CommitResponse> promise;
    table_->Commit(transaction, [&](CommitResponse answer) {
      promise.set_value(std::move(answer));
    });
    return promise.get_future().get();
  }

  ReadResponse Read(const std::vector<std::string>& keys) {
    std::promise<ReadResponse> promise;
    table_->Read(keys, [&](ReadResponse answer) {
      promise.set_value(std::move(answer));
    });
    return promise.get_future().get();
  }

  ChangesResponse Changes(std::uint64_t since,
                          const std::vector<std::string>& prefixes,
                          std::size_t limit) {
    std::promise<ChangesResponse> promise;
    table_->Changes(since, prefixes, limit, [&](ChangesResponse answer) {
      promise.set_value(std::move(answer));
    });
    return promise.get_future().get();
  }

  HostListResponse Hosts() {
    std::promise<HostListResponse> promise;
    table_->Hosts(
        [&](HostListResponse answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
  }

  static TableTransaction Put(const std::string& write_id,
                              const std::string& key, std::uint64_t version) {
    return {.write_id = write_id,
            .conditions = {{key, version}},
            .writes = {{key, "by \"" + write_id + "\" \xC3\xA9"}}};
  }

  PlatformStandin platform_;
  HttpClient http_;
  std::unique_ptr<TableClient> table_;
};

TEST_F(TableClientTest, CommitsReadsAndReportsConflicts) {
  const CommitResponse first = Commit(Put("w1", "a", 0));
  ASSERT_EQ(first.status, CommitStatus::kCommitted);
  const CommitResponse second = Commit(Put("w2", "a", 0));
  ASSERT_EQ(second.status, CommitStatus::kConflict);
  ASSERT_EQ(second.rows.size(), 1U);
  EXPECT_EQ(second.rows[0].write_id, "w1");
  const ReadResponse read = Read({"a", "absent"});
  ASSERT_TRUE(read.ok);
  EXPECT_EQ(read.rows[0].value, "by \"w1\" \xC3\xA9");
  EXPECT_EQ(read.rows[0].version, first.revision);
  EXPECT_EQ(read.rows[1].value, std::nullopt);
  EXPECT_EQ(read.rows[1].version, 0U);
  EXPECT_EQ(table_->counts().writes, 2U);
  EXPECT_EQ(table_->counts().reads, 1U);
}

TEST_F(TableClientTest, DeletedRowKeepsVersionRequiredByConditions) {
  const std::uint64_t made = Commit(Put("w1", "a", 0)).revision;
  const TableTransaction removal{.write_id = "w2",
                                 .conditions = {{"a", made}},
                                 .writes = {{"a", std::nullopt}}};
  const std::uint64_t removed = Commit(removal).revision;
  EXPECT_EQ(Commit(Put("w1", "a", 0)).status, CommitStatus::kConflict);
  EXPECT_EQ(Commit(Put("w3", "a", removed)).status, CommitStatus::kCommitted);
}

TEST_F(TableClientTest, PagesThroughChangesOfRequestedPrefixes) {
  for (int i = 0; i < 5; ++i) {
    const std::string number = std::to_string(i);
    Commit(Put("w" + number, "a/ &" + number, 0));
    Commit(Put("x" + number, "b/" + number, 0));
  }
  std::vector<std::string> keys;
  ChangesResponse page{.revision = 0, .more = true};
  while (page.more) {
    page = Changes(page.revision, {"a/ &", "c/"}, 2);
    ASSERT_TRUE(page.ok);
    for (const TableRow& row : page.rows) keys.push_back(row.key);
  }
  EXPECT_EQ(keys, (std::vector<std::string>{"a/ &0", "a/ &1", "a/ &2", "a/ &3",
                                            "a/ &4"}));
  EXPECT_EQ(page.revision, 10U);
}

TEST_F(TableClientTest, HostListLags) {
  platform_.SetHost({.id = "w1", .zone = "z", .address = "127.0.0.1:9"});
  const HostListResponse now = Hosts();
  ASSERT_EQ(now.hosts.size(), 1U);
  platform_.SetFaults(R"({"list_lag_ms":3600000})");
  const HostListResponse lagging = Hosts();
  EXPECT_TRUE(lagging.ok);
  EXPECT_TRUE(lagging.hosts.empty());
  EXPECT_EQ(lagging.lag, std::chrono::hours(1));
}

struct FaultCase {
  const char* name;
  const char* faults;
  CommitStatus status;
  bool takes_effect;
};

class TableFaultTest : public TableClientTest,
                       public testing::WithParamInterface<FaultCase> {};

TEST_P(TableFaultTest, MapsToCommitStatus) {
  ASSERT_TRUE(platform_.SetFaults(GetParam().faults));
  EXPECT_EQ(Commit(Put("w1", "a", 0)).status, GetParam().status);
  EXPECT_EQ(platform_.Row("a").has_value(), GetParam().takes_effect);
  EXPECT_EQ(table_->counts().failures, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, TableFaultTest,
    testing::Values(FaultCase{"Down", R"({"down":true})",
                              CommitStatus::kNotApplied, false},
                    FaultCase{"Cut", R"({"cut_hosts":["h1"]})",
                              CommitStatus::kNotApplied, false},
                    FaultCase{"Dropped", R"({"cut_hosts":["h1"],"drop":true})",
                              CommitStatus::kUnknown, false},
                    FaultCase{"RequestLost", R"({"lose_request_percent":100})",
                              CommitStatus::kUnknown, false},
                    FaultCase{"AnswerLost", R"({"lose_answer_percent":100})",
                              CommitStatus::kUnknown, true},
                    FaultCase{"TooSlow", R"({"slow_ms":5000})",
                              CommitStatus::kUnknown, true}),
    [](const auto& each) { return each.param.name; });

TEST_F(TableClientTest, TriesNextAddressOnlyIfConnectionFails) {
  const ListenSocket unused = OpenListenSocket("127.0.0.1:0").value();
  close(unused.fd);
  const std::string dead = "127.0.0.1:" + std::to_string(unused.port);
  UseAddresses({dead, platform_.address()});
  EXPECT_EQ(Commit(Put("w1", "a", 0)).status, CommitStatus::kCommitted);
  UseAddresses({dead});
  EXPECT_EQ(Commit(Put("w2", "b", 0)).status, CommitStatus::kNotApplied);
  platform_.SetFaults(R"({"lose_answer_percent":100})");
  PlatformStandin other;
  ASSERT_TRUE(other.Start());
  UseAddresses({platform_.address(), other.address()});
  EXPECT_EQ(Commit(Put("w3", "c", 0)).status, CommitStatus::kUnknown);
  EXPECT_EQ(other.counts().commits, 0U);
}

}  // namespace
}  // namespace chivewing
