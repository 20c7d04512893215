#include <gtest/gtest.h>

#include <cstddef>
#include <cstdlib>
#include <sstream>
#include <string>

#include "base/result_code.h"
#include "catalogue/entry_fields.h"
#include "cli/cli.h"
#include "cluster/cluster_settings.h"
#include "schema/text_file.h"
#include "settings/settings_fields.h"

namespace chivewing {
namespace {

std::string Page(const std::string& name) {
  const char* source = std::getenv("CHIVEWING_SOURCE");
  const std::string root = source == nullptr ? "." : source;
  const ValidationResult<std::string> text =
      ReadTextFile(root + "/docs/" + name);
  if (text) return text.value();
  ADD_FAILURE() << Describe(text.error()[0]);
  return "";
}

std::size_t CountTableRows(const std::string& page) {
  std::istringstream stream(page);
  std::size_t count = 0;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("| ")) ++count;
  }
  return count;
}

void ExpectHolds(const std::string& page, const std::string& part) {
  EXPECT_NE(page.find(part), std::string::npos) << "the page must hold:\n"
                                                << part;
}

TEST(Docs, SettingsListEveryKey) {
  const std::string page = Page("SETTINGS.md");
  ExpectHolds(page, SettingsTable());
  ExpectHolds(page, PeerTable());
  ExpectHolds(page, ClusterSettingsTable());
}

TEST(Docs, CatalogueListsEveryKeyAndItsClasses) {
  const std::string page = Page("CATALOGUE.md");
  ExpectHolds(page, EntryTable());
  ExpectHolds(page, EntryClassTable());
}

TEST(Docs, ResultCodesAreThoseOfTheCode) {
  const std::string page = Page("RESULT_CODES.md");
  constexpr std::size_t head_rows = 2;
  EXPECT_EQ(CountTableRows(page), ResultCodes().size() + head_rows);
  for (const ResultCodeInfo& row : ResultCodes()) {
    ExpectHolds(page, "| " + std::to_string(static_cast<int>(row.code)) +
                          " | `" + std::string(row.name) + "` | " +
                          std::string(row.meaning) + " |\n");
  }
}

TEST(Docs, CommandsShowTheHelpOfEveryVerb) {
  const std::string page = Page("COMMANDS.md");
  for (const Verb& verb : Verbs()) ExpectHolds(page, VerbHelp(verb));
}

}  // namespace
}  // namespace chivewing
