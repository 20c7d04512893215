#include <gtest/gtest.h>

#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "catalogue/catalogue_messages.h"
#include "schema/text_file.h"
#include "settings/settings_reader.h"

namespace chivewing {
namespace {

std::string PathOf(const std::string& file) {
  const char* source = std::getenv("CHIVEWING_SOURCE");
  return std::string(source == nullptr ? "." : source) + "/examples/" + file;
}

std::vector<EntryDraft> Load(const std::string& file) {
  const ValidationResult<std::string> text = ReadTextFile(PathOf(file));
  if (!text) {
    ADD_FAILURE() << Describe(text.error()[0]);
    return {};
  }
  const ValidationResult<std::vector<EntryDraft>> drafts =
      ReadDrafts(text.value(), file);
  if (drafts) return drafts.value();
  ADD_FAILURE() << JoinErrors(ResultCode::kBadEntry, drafts.error()).detail;
  return {};
}

class CatalogueExample : public testing::TestWithParam<const char*> {};

TEST_P(CatalogueExample, IsGoodAndNamesServicesThatExist) {
  const std::vector<EntryDraft> drafts = Load(GetParam());
  std::set<EntryName> services;
  for (const EntryDraft& draft : drafts) {
    if (draft.entry.work_class == WorkClass::kService) {
      services.insert(draft.entry.name);
    }
  }
  for (const EntryDraft& draft : drafts) {
    EXPECT_FALSE(draft.entry.note.empty()) << draft.entry.name.value();
    if (draft.entry.served_by.empty()) continue;
    EXPECT_TRUE(services.contains(draft.entry.served_by));
  }
}

INSTANTIATE_TEST_SUITE_P(All, CatalogueExample,
                         testing::Values("hauliers.json", "puzzles.json",
                                         "worker-out-of-use.json",
                                         "demo/catalogue.json"));

class SettingsExample : public testing::TestWithParam<const char*> {};

TEST_P(SettingsExample, IsGood) {
  const std::string path =
      PathOf("settings/" + std::string(GetParam()) + ".json");
  const ValidationResult<Settings> settings = ReadSettingsFile(path);
  ASSERT_TRUE(settings)
      << JoinErrors(ResultCode::kBadSettings, settings.error()).detail;
  EXPECT_EQ(settings.value().host.value(), GetParam());
  EXPECT_EQ(settings.value().peers.size(), 3U);
}

INSTANTIATE_TEST_SUITE_P(All, SettingsExample,
                         testing::Values("entry-a1", "entry-a2", "entry-b1",
                                         "entry-b2"));

}  // namespace
}  // namespace chivewing
