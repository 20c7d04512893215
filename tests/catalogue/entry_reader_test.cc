#include "catalogue/entry_reader.h"

#include <gtest/gtest.h>

#include <string>

namespace chivewing {
namespace {

struct EntryCase {
  const char* label;
  const char* text;
  const char* key;   // of the only error; empty if the entry is valid
  const char* what;  // part of the message
};

class EntryReader : public testing::TestWithParam<EntryCase> {};

TEST_P(EntryReader, AcceptsOrReportsTheError) {
  const EntryCase& c = GetParam();
  const ValidationResult<CatalogueEntry> read = ReadEntry(c.text, "e.json");
  const std::string key = c.key;
  if (key.empty()) {
    ASSERT_TRUE(read) << JoinErrors(ResultCode::kBadEntry, read.error()).detail;
    return;
  }
  ASSERT_FALSE(read);
  ASSERT_EQ(read.error().size(), 1U)
      << JoinErrors(ResultCode::kBadEntry, read.error()).detail;
  EXPECT_EQ(read.error()[0].key, key);
  EXPECT_NE(read.error()[0].what.find(c.what), std::string::npos)
      << read.error()[0].what;
}

INSTANTIATE_TEST_SUITE_P(
    All, EntryReader,
    testing::Values(
        EntryCase{"Service",
                  R"({"name":"a","owner":"o","class":"service",
                      "limits":{"processors":0.5,"slots":8}})",
                  "", ""},
        EntryCase{"Gang",
                  R"({"name":"a","owner":"o","class":"gang",
                      "limits":{"gang_size":4}})",
                  "", ""},
        EntryCase{"Batch",
                  R"({"name":"a","owner":"o","class":"batch","policy":
                      {"finish_by":"04:30","expected_run_s":60}})",
                  "", ""},
        EntryCase{"Owner",
                  R"({"name":"o","owner":"o","class":"owner",
                      "limits":{"processors":100}})",
                  "", ""},
        EntryCase{"OutOfUse",
                  R"({"name":"a","owner":"o","class":"out_of_use",
                      "subject":{"kind":"worker","id":"w-1"}})",
                  "", ""},
        EntryCase{"ClassMissing", R"({"name":"a","owner":"o"})", "class",
                  "is missing"},
        EntryCase{"ClassUnknown", R"({"name":"a","owner":"o","class":"web"})",
                  "class", "must be one of"},
        EntryCase{"Applies",
                  R"({"name":"a","owner":"o","class":"batch",
                      "limits":{"slots":8}})",
                  "limits.slots", "does not apply to class batch"},
        EntryCase{"Unknown",
                  R"({"name":"a","owner":"o","class":"batch","prio":1})",
                  "prio", "unknown key"},
        EntryCase{"Duplicate",
                  R"({"name":"a","owner":"o","class":"batch","owner":"p"})",
                  "owner", "given twice"},
        EntryCase{"Priority",
                  R"({"name":"a","owner":"o","class":"batch",
                      "policy":{"priority":1001}})",
                  "policy.priority", "must be 0 to 1000"},
        EntryCase{"TooSmall",
                  R"({"name":"a","owner":"o","class":"batch",
                      "limits":{"processors":0.0001}})",
                  "limits.processors", "must be 0.001 to"},
        EntryCase{"NoSlots",
                  R"({"name":"a","owner":"o","class":"service",
                      "limits":{"slots":0}})",
                  "limits.slots", "at least 1 for a service"},
        EntryCase{"Connections",
                  R"({"name":"a","owner":"o","class":"service",
                      "limits":{"slots":8,"connections":4}})",
                  "limits.connections", "at least limits.slots"},
        EntryCase{"Timeout",
                  R"({"name":"a","owner":"o","class":"service",
                      "policy":{"deadline_ms":100,"request_timeout_ms":200}})",
                  "policy.request_timeout_ms", "at most policy.deadline_ms"},
        EntryCase{"GangOfOne",
                  R"({"name":"a","owner":"o","class":"gang",
                      "limits":{"gang_size":1}})",
                  "limits.gang_size", "at least 2"},
        EntryCase{"GangOverTasks",
                  R"({"name":"a","owner":"o","class":"gang",
                      "limits":{"gang_size":5,"tasks":4}})",
                  "limits.gang_size", "at most limits.tasks"},
        EntryCase{"Hour",
                  R"({"name":"a","owner":"o","class":"batch","policy":
                      {"finish_by":"24:00","expected_run_s":60}})",
                  "policy.finish_by", "must be a time of day"},
        EntryCase{"NoRunTime",
                  R"({"name":"a","owner":"o","class":"batch",
                      "policy":{"finish_by":"04:30"}})",
                  "policy.finish_by", "needs policy.expected_run_s"},
        EntryCase{"QuotaName", R"({"name":"a","owner":"o","class":"owner"})",
                  "name", "must be the owner's name"},
        EntryCase{"NoSubject",
                  R"({"name":"a","owner":"o","class":"out_of_use"})",
                  "subject.id", "must be given"},
        EntryCase{"ZoneTwice",
                  R"({"name":"a","owner":"o","class":"batch",
"policy":{"zones":["x","x"]}})",
                  "policy.zones", "lists x twice"}),
    [](const auto& info) { return std::string(info.param.label); });

}  // namespace
}  // namespace chivewing
