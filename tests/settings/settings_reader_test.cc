#include "settings/settings_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr const char* kGood = R"({
  // Comments are allowed.
  "host": "entry-1",
  "zone": "nairobi-a",
  "caller_address": "127.0.0.1:8001",
  "operator_address": "127.0.0.1:8002",
  "peer_address": "127.0.0.1:8003",
  "shared_key": "sixteen letters!",
  "platform": {"addresses": ["127.0.0.1:9000"], "timeout_ms": 250},
  "peers": [
    {"host": "entry-1", "zone": "nairobi-a", "address": "127.0.0.1:8003",
     "caller_address": "127.0.0.1:8001"},
    {"host": "entry-2", "zone": "nairobi-b", "address": "127.0.0.1:8103",
     "caller_address": "127.0.0.1:8101"}
  ],
  "lease_ms": 300, "lease_margin_ms": 50, "task_lease_ms": 1000,
  "log_level": "warning"
})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(SettingsReader, ReadsEveryPart) {
  const ValidationResult<Settings> read = ReadSettings(kGood, "a.json");
  ASSERT_TRUE(read)
      << JoinErrors(ResultCode::kBadSettings, read.error()).detail;
  const Settings& settings = read.value();
  EXPECT_EQ(settings.host, HostId("entry-1"));
  EXPECT_EQ(settings.platform.timeout, milliseconds(250));
  EXPECT_EQ(settings.platform.poll, milliseconds(1000));
  EXPECT_EQ(settings.lease, milliseconds(300));
  EXPECT_EQ(settings.log_level, LogLevel::kWarning);
  ASSERT_EQ(settings.peers.size(), 1U) << "this host itself is left out";
  EXPECT_EQ(settings.peers[0].host, HostId("entry-2"));
}

struct FaultCase {
  const char* label;
  const char* from;
  const char* to;
  int line;
  const char* key;
  const char* what;
};

class SettingsFault : public testing::TestWithParam<FaultCase> {};

TEST_P(SettingsFault, IsReportedOnce) {
  const FaultCase& c = GetParam();
  const ValidationResult<Settings> read =
      ReadSettings(Replace(kGood, c.from, c.to), "a.json");
  ASSERT_FALSE(read);
  ASSERT_EQ(read.error().size(), 1U)
      << JoinErrors(ResultCode::kBadSettings, read.error()).detail;
  const ValidationError& fault = read.error()[0];
  EXPECT_EQ(fault.file, "a.json");
  EXPECT_EQ(fault.line, c.line);
  EXPECT_EQ(fault.key, c.key);
  EXPECT_NE(fault.what.find(c.what), std::string::npos) << fault.what;
}

INSTANTIATE_TEST_SUITE_P(
    All, SettingsFault,
    testing::Values(
        FaultCase{"Syntax", "\"entry-1\",\n", "\"entry-1\"\n", 4, "",
                  "syntax error"},
        FaultCase{"Unknown", "\"log_level\"", "\"log_levle\"", 17, "log_levle",
                  "unknown key"},
        FaultCase{"UnknownNested", "\"timeout_ms\"", "\"timeout\"", 9,
                  "platform.timeout", "unknown key"},
        FaultCase{"Duplicate", "\"lease_ms\": 300,",
                  "\"lease_ms\": 300, \"lease_ms\": 400,", 16, "lease_ms",
                  "given twice"},
        FaultCase{"Missing", "\"host\": \"entry-1\",", "", 1, "host",
                  "is missing"},
        FaultCase{"WrongType", "250", "\"250\"", 9, "platform.timeout_ms",
                  "must be of type integer, not a string"},
        FaultCase{"Fraction", "250", "2.5", 9, "platform.timeout_ms",
                  "must be of type integer"},
        FaultCase{"Range", "250", "0", 9, "platform.timeout_ms",
                  "must be 1 to 86400000 ms"},
        FaultCase{"Huge", "250", "18446744073709551615", 9,
                  "platform.timeout_ms", "must be 1 to"},
        FaultCase{"HostName", "127.0.0.1:8001", "localhost:8001", 5,
                  "caller_address", "must be an IP number and port"},
        FaultCase{"Port", "127.0.0.1:8001", "127.0.0.1:80010", 5,
                  "caller_address", "must be an IP number and port"},
        FaultCase{"SamePort", "127.0.0.1:8002", "127.0.0.1:8001", 6,
                  "operator_address", "is the same as caller_address"},
        FaultCase{"ShortKey", "sixteen letters!", "fifteen letters", 8,
                  "shared_key", "at least 16 characters"},
        FaultCase{"Choice", "\"warning\"", "\"loud\"", 17, "log_level",
                  "must be one of `debug`"},
        FaultCase{"PeerKey", "\"zone\": \"nairobi-b\"",
                  "\"zone\": \"nairobi-b\", \"site\": 1", 13, "peers[1].site",
                  "unknown key"},
        FaultCase{"PeerTwice", "entry-2", "entry-1", 13, "peers[1].host",
                  "listed twice"},
        FaultCase{"OwnListing", "\"zone\": \"nairobi-a\", \"address\"",
                  "\"zone\": \"nairobi-c\", \"address\"", 11, "peers[0].zone",
                  "differs from this host's own key zone"},
        FaultCase{"PeersKind", "\"peers\": [", "\"peers\": [3,", 10, "peers",
                  "must be of type list of objects, not an integer"},
        FaultCase{"Group",
                  "{\"addresses\": [\"127.0.0.1:9000\"], "
                  "\"timeout_ms\": 250}",
                  "[]", 9, "platform", "must be an object"},
        FaultCase{"Margin", "\"lease_margin_ms\": 50",
                  "\"lease_margin_ms\": 150", 16, "lease_margin_ms",
                  "less than half of lease_ms"},
        FaultCase{"TaskLease", "\"task_lease_ms\": 1000",
                  "\"task_lease_ms\": 350", 16, "task_lease_ms",
                  "must be over lease_ms"}),
    [](const auto& info) { return std::string(info.param.label); });

// Garbage is reported, whatever it is.
RC_GTEST_PROP(SettingsReader, BrokenTextsHaveFaultsWithTheirFile, ()) {
  std::string text = kGood;
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto count = *rc::gen::inRange<std::size_t>(0, 40);
    text.replace(at, count, *rc::gen::arbitrary<std::string>());
  }
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  if (read) return;
  RC_ASSERT(!read.error().empty());
  for (const ValidationError& fault : read.error())
    RC_ASSERT(fault.file == "a.json");
}

TEST(SettingsReader, ReportsAllFaultsAtOnce) {
  std::string text = Replace(kGood, "250", "\"250\"");
  text = Replace(text, "\"lease_margin_ms\": 50", "\"lease_margin_ms\": 290");
  text = Replace(text, "log_level", "log_levle");
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().size(), 3U);
}

TEST(SettingsReader, NeverShowsTheKeyInFaults) {
  const std::string text = Replace(kGood, "sixteen letters!", "secret");
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  ASSERT_FALSE(read);
  for (const ValidationError& fault : read.error()) {
    EXPECT_EQ(Describe(fault).find("secret"), std::string::npos);
  }
}

TEST(SettingsReader, NamesAFileThatCannotBeRead) {
  const ValidationResult<Settings> read = ReadSettingsFile("no/such/file.json");
  ASSERT_FALSE(read);
  EXPECT_EQ(Describe(read.error()[0]),
            "no/such/file.json: cannot be read: No such file or directory");
}

}  // namespace
}  // namespace chivewing
