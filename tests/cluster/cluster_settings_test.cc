#include "cluster/cluster_settings.h"

#include <gtest/gtest.h>

#include <string>

namespace chivewing {
namespace {

constexpr const char* kValidSettings = R"({
  "host": "front-a-1", "zone": "a",  // as the platform fills them in
  "caller_address": "10.1.0.13:8161", "ready_address": "10.1.0.13:8167",
  "peer_address": "10.1.0.13:7720", "store_address": "10.200.1.7:8169",
  "longest_lease_ms": 8000})";

TEST(ClusterSettingsTest, ReadsTheFilledTemplate) {
  const ValidationResult<ClusterSettings> settings =
      ReadClusterSettings(kValidSettings, "f");
  ASSERT_TRUE(settings) << Describe(settings.error().front());
  EXPECT_EQ(settings.value().host, HostId("front-a-1"));
  EXPECT_EQ(settings.value().max_worker_lease, std::chrono::milliseconds(8000));
}

TEST(ClusterSettingsTest, DefaultWorkerLeaseIsCappedAtLongestLease) {
  std::string text = kValidSettings;
  text.replace(text.find("8000"), 4, "3000");
  const ValidationResult<ClusterSettings> settings =
      ReadClusterSettings(text, "f");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings.value().worker_lease, std::chrono::milliseconds(3000));
}

TEST(ClusterSettingsTest, ProcessorTimeIsShareTimesCores) {
  std::string text = kValidSettings;
  text.replace(text.find("8000}"), 5,
               R"(8000, "processor_share": 0.12, "processor_cores": 2})");
  const ValidationResult<ClusterSettings> settings =
      ReadClusterSettings(text, "f");
  ASSERT_TRUE(settings) << Describe(settings.error().front());
  EXPECT_EQ(ProcessorMilli(settings.value()), 240);
}

TEST(ClusterSettingsTest, ReturnsAllErrorsAtOnce) {
  const ValidationResult<ClusterSettings> settings = ReadClusterSettings(
      R"({"host": "", "zone": 7, "caller_address": "nowhere", "extra": 1,
          "worker_lease_ms": 9000, "longest_lease_ms": 8000})",
      "f");
  ASSERT_FALSE(settings);
  std::string all;
  for (const ValidationError& fault : settings.error())
    all += Describe(fault) + "\n";
  for (const char* key :
       {"host", "zone", "caller_address", "extra", "ready_address",
        "peer_address", "store_address", "worker_lease_ms"}) {
    EXPECT_NE(all.find(key), std::string::npos) << key << "\n" << all;
  }
}

}  // namespace
}  // namespace chivewing
