#include "catalogue/entry_diff.h"

#include <cstddef>
#include <utility>

#include "catalogue/entry_fields.h"

namespace chivewing {
namespace {

std::string FieldText(const std::optional<CatalogueEntry>& entry,
                      std::size_t field) {
  if (!entry || !FieldAppliesTo(field, entry->work_class)) return "";
  return ValueText(EntryBindings()[field].get(*entry));
}

}  // namespace

std::vector<FieldDifference> DiffEntries(
    const std::optional<CatalogueEntry>& before,
    const std::optional<CatalogueEntry>& after) {
  std::vector<FieldDifference> differences;
  for (std::size_t i = 0; i < EntrySpecs().size(); ++i) {
    FieldDifference difference;
    difference.key = EntrySpecs()[i].name;
    difference.before = FieldText(before, i);
    difference.after = FieldText(after, i);
    if (difference.before == difference.after) continue;
    differences.push_back(std::move(difference));
  }
  return differences;
}

std::string Describe(const FieldDifference& difference) {
  const std::string none = "(none)";
  const std::string& before =
      difference.before.empty() ? none : difference.before;
  const std::string& after = difference.after.empty() ? none : difference.after;
  return difference.key + ": " + before + " -> " + after;
}

}  // namespace chivewing
