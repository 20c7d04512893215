#include "cluster/lease_rank.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chivewing {
namespace {

HostRow MakeHost(const std::string& host, const std::string& zone,
                 std::int64_t processor_milli) {
  HostRow row;
  row.host = HostId(host);
  row.zone = ZoneId(zone);
  row.processor_milli = processor_milli;
  return row;
}

// Names of the hosts by their ranks, each computed from its own view.
std::vector<std::string> Order(const std::vector<HostRow>& hosts) {
  std::vector<std::string> order(hosts.size());
  for (const HostRow& self : hosts) {
    std::map<HostId, HostRow> others;
    for (const HostRow& other : hosts) {
      if (other.host != self.host) others[other.host] = other;
    }
    order.at(LeaseRank(self, others)) = self.host.value();
  }
  return order;
}

TEST(LeaseRankTest, AWeakHostIsNotBeforeAStrongOne) {
  EXPECT_EQ(Order({MakeHost("a1", "a", 120), MakeHost("b1", "b", 500),
                   MakeHost("c1", "c", 120), MakeHost("c2", "c", 500)}),
            (std::vector<std::string>{"b1", "c2", "a1", "c1"}));
}

TEST(LeaseRankTest, TheNextInLineIsInAnotherZone) {
  EXPECT_EQ(Order({MakeHost("a1", "a", 500), MakeHost("a2", "a", 500),
                   MakeHost("b1", "b", 500), MakeHost("b2", "b", 500)}),
            (std::vector<std::string>{"a1", "b1", "a2", "b2"}));
}

TEST(LeaseRankTest, AHostOfUnknownProcessorTimeIsLast) {
  EXPECT_EQ(Order({MakeHost("a1", "a", 0), MakeHost("b1", "b", 120)}),
            (std::vector<std::string>{"b1", "a1"}));
}

TEST(HostRowTest, ARowWithoutProcessorTimeIsStillRead) {
  const Result<HostRow> row = DecodeHostRow(
      "host/h1", R"({"zone":"z","address":"10.0.0.1:1","incarnation":7})");
  ASSERT_TRUE(row);
  EXPECT_EQ(row.value().processor_milli, 0);
}

TEST(HostRowTest, KeepsTheProcessorTime) {
  const Result<HostRow> row =
      DecodeHostRow("host/h1", EncodeHostRow(MakeHost("h1", "z", 250)));
  ASSERT_TRUE(row);
  EXPECT_EQ(row.value().processor_milli, 250);
}

}  // namespace
}  // namespace chivewing
