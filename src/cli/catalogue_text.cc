#include "cli/catalogue_text.h"

#include <array>
#include <cstddef>
#include <ctime>
#include <optional>

#include "catalogue/entry_diff.h"
#include "cli/text_table.h"

namespace chivewing {
namespace {

// "version 7, by wanjiru at 2026-12-04T05:30:00Z".
std::string ChangeText(const CatalogueRecord& record) {
  return "version " + std::to_string(record.version) + ", by " +
         record.changed_by + " at " + UtcText(record.changed_at);
}

}  // namespace

std::string ListingText(const CatalogueListing& listing) {
  TextTable table({"NAME", "CLASS", "OWNER", "VERSION", "CHANGED BY", "AT"});
  for (const CatalogueRecord& record : listing.records) {
    if (!record.entry) continue;
    table.AddRow({record.name.value(),
                  std::string(Name(record.entry->work_class)),
                  record.entry->owner.value(), std::to_string(record.version),
                  record.changed_by, UtcText(record.changed_at)});
  }
  return table.Text() + "The copy is " + std::to_string(listing.age.count()) +
         " ms old.\n";
}

std::string HistoryText(const CatalogueListing& history) {
  std::string text;
  std::optional<CatalogueEntry> before;
  for (const CatalogueRecord& record : history.records) {
    text += "change " + std::to_string(record.serial) + ": " +
            ChangeText(record) + (record.entry ? "" : ", removed") + "\n";
    if (record.entry) text += DifferencesText(before, record.entry);
    before = record.entry;
  }
  return text;
}

std::string ConflictText(const CatalogueConflict& conflict) {
  const CatalogueRecord& present = conflict.present;
  std::string text = "In force: " + ChangeText(present) +
                     (present.entry ? "" : ", removed") + "\n";
  text += "Yours: edited from version " +
          std::to_string(conflict.yours.version) + ", by " +
          conflict.yours.changed_by +
          (conflict.yours.entry ? "" : ", removed") +
          "\nFrom what is in force to yours:\n";
  return text + DifferencesText(present.entry, conflict.yours.entry);
}

std::string DifferencesText(const std::optional<CatalogueEntry>& before,
                            const std::optional<CatalogueEntry>& after) {
  std::string text;
  for (const FieldDifference& difference : DiffEntries(before, after)) {
    text += "  " + Describe(difference) + "\n";
  }
  return text;
}

std::string UtcText(std::chrono::milliseconds since_1970) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(since_1970);
  const auto time = static_cast<std::time_t>(seconds.count());
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 32> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), size};
}

}  // namespace chivewing
