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

constexpr const char* kValidSettings = R"({
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
  const ValidationResult<Settings> read =
      ReadSettings(kValidSettings, "a.json");
  ASSERT_TRUE(read)
      << JoinErrors(ResultCode::kBadSettings, read.error()).detail;
  const Settings& settings = read.value();
  EXPECT_EQ(settings.host, HostId("entry-1"));
  EXPECT_EQ(settings.platform.timeout, milliseconds(250));
  EXPECT_EQ(settings.platform.poll, milliseconds(1000));
  EXPECT_EQ(settings.lease, milliseconds(300));
  EXPECT_EQ(settings.log_level, LogLevel::kWarning);
  ASSERT_EQ(settings.peers.size(), 1U)
      << "the list of peers must not contain this host";
  EXPECT_EQ(settings.peers[0].host, HostId("entry-2"));
}

struct ErrorCase {
  const char* label;
  const char* from;
  const char* to;
  int line;
  const char* key;
  const char* what;
};

class SettingsError : public testing::TestWithParam<ErrorCase> {};

TEST_P(SettingsError, IsReportedOnce) {
  const ErrorCase& c = GetParam();
  const ValidationResult<Settings> read =
      ReadSettings(Replace(kValidSettings, c.from, c.to), "a.json");
  ASSERT_FALSE(read);
  ASSERT_EQ(read.error().size(), 1U)
      << JoinErrors(ResultCode::kBadSettings, read.error()).detail;
  const ValidationError& error = read.error()[0];
  EXPECT_EQ(error.file, "a.json");
  EXPECT_EQ(error.line, c.line);
  EXPECT_EQ(error.key, c.key);
  EXPECT_NE(error.what.find(c.what), std::string::npos) << error.what;
}

INSTANTIATE_TEST_SUITE_P(
    All, SettingsError,
    testing::Values(
        ErrorCase{"Syntax", "\"entry-1\",\n", "\"entry-1\"\n", 4, "",
                  "syntax error"},
        ErrorCase{"Unknown", "\"log_level\"", "\"log_levle\"", 17, "log_levle",
                  "unknown key"},
        ErrorCase{"UnknownNested", "\"timeout_ms\"", "\"timeout\"", 9,
                  "platform.timeout", "unknown key"},
        ErrorCase{"Duplicate", "\"lease_ms\": 300,",
                  "\"lease_ms\": 300, \"lease_ms\": 400,", 16, "lease_ms",
                  "given twice"},
        ErrorCase{"Missing", "\"host\": \"entry-1\",", "", 1, "host",
                  "is missing"},
        ErrorCase{"WrongType", "250", "\"250\"", 9, "platform.timeout_ms",
                  "must be of type integer, not a string"},
        ErrorCase{"Fraction", "250", "2.5", 9, "platform.timeout_ms",
                  "must be of type integer"},
        ErrorCase{"Range", "250", "0", 9, "platform.timeout_ms",
                  "must be 1 to 86400000 ms"},
        ErrorCase{"Huge", "250", "18446744073709551615", 9,
                  "platform.timeout_ms", "must be 1 to"},
        ErrorCase{"HostName", "127.0.0.1:8001", "localhost:8001", 5,
                  "caller_address", "must be an IP number and port"},
        ErrorCase{"Port", "127.0.0.1:8001", "127.0.0.1:80010", 5,
                  "caller_address", "must be an IP number and port"},
        ErrorCase{"SamePort", "127.0.0.1:8002", "127.0.0.1:8001", 6,
                  "operator_address", "is the same as caller_address"},
        ErrorCase{"ShortKey", "sixteen letters!", "fifteen letters", 8,
                  "shared_key", "at least 16 characters"},
        ErrorCase{"Choice", "\"warning\"", "\"loud\"", 17, "log_level",
                  "must be one of `debug`"},
        ErrorCase{"PeerKey", "\"zone\": \"nairobi-b\"",
                  "\"zone\": \"nairobi-b\", \"site\": 1", 13, "peers[1].site",
                  "unknown key"},
        ErrorCase{"PeerTwice", "entry-2", "entry-1", 13, "peers[1].host",
                  "listed twice"},
        ErrorCase{"OwnListing", "\"zone\": \"nairobi-a\", \"address\"",
                  "\"zone\": \"nairobi-c\", \"address\"", 11, "peers[0].zone",
                  "differs from this host's own key zone"},
        ErrorCase{"PeersKind", "\"peers\": [", "\"peers\": [3,", 10, "peers",
                  "must be of type list of objects, not an integer"},
        ErrorCase{"Group",
                  "{\"addresses\": [\"127.0.0.1:9000\"], "
                  "\"timeout_ms\": 250}",
                  "[]", 9, "platform", "must be an object"},
        ErrorCase{"Margin", "\"lease_margin_ms\": 50",
                  "\"lease_margin_ms\": 150", 16, "lease_margin_ms",
                  "less than half of lease_ms"},
        ErrorCase{"TaskLease", "\"task_lease_ms\": 1000",
                  "\"task_lease_ms\": 350", 16, "task_lease_ms",
                  "must be over lease_ms"}),
    [](const auto& info) { return std::string(info.param.label); });

// Settings with random text in them are either valid or rejected with errors
// that name the file.
RC_GTEST_PROP(SettingsReader, ErrorsOfMalformedTextNameTheFile, ()) {
  std::string text = kValidSettings;
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto count = *rc::gen::inRange<std::size_t>(0, 40);
    text.replace(at, count, *rc::gen::arbitrary<std::string>());
  }
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  if (read) return;
  RC_ASSERT(!read.error().empty());
  for (const ValidationError& error : read.error())
    RC_ASSERT(error.file == "a.json");
}

TEST(SettingsReader, ReportsAllErrorsAtOnce) {
  std::string text = Replace(kValidSettings, "250", "\"250\"");
  text = Replace(text, "\"lease_margin_ms\": 50", "\"lease_margin_ms\": 290");
  text = Replace(text, "log_level", "log_levle");
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().size(), 3U);
}

TEST(SettingsReader, NeverShowsTheKeyInErrors) {
  const std::string text =
      Replace(kValidSettings, "sixteen letters!", "secret");
  const ValidationResult<Settings> read = ReadSettings(text, "a.json");
  ASSERT_FALSE(read);
  for (const ValidationError& error : read.error()) {
    EXPECT_EQ(Describe(error).find("secret"), std::string::npos);
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
