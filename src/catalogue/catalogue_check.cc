#include "catalogue/catalogue_check.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>

namespace chivewing {
namespace {

std::string DescribeBrokenReference(const CatalogueEntry& entry,
                                    const EntriesByName& entries) {
  if (entry.served_by.empty()) return "";
  const std::string start =
      entry.name.value() + ": served_by " + entry.served_by.value();
  const auto service = entries.find(entry.served_by);
  if (service == entries.end()) return start + " names no entry";
  if (service->second.work_class != WorkClass::kService) {
    return start + " is no service";
  }
  if (service->second.served_by.empty()) return "";
  return start + " is itself served by another entry";
}

std::set<std::string> BrokenReferences(const EntriesByName& entries) {
  std::set<std::string> broken;
  for (const auto& [name, entry] : entries) {
    const std::string description = DescribeBrokenReference(entry, entries);
    if (!description.empty()) broken.insert(description);
  }
  return broken;
}

}  // namespace

std::vector<std::string> CheckReferences(const EntriesByName& before,
                                         const EntriesByName& after) {
  const std::set<std::string> broken_before = BrokenReferences(before);
  const std::set<std::string> broken_after = BrokenReferences(after);
  std::vector<std::string> added;
  std::set_difference(broken_after.begin(), broken_after.end(),
                      broken_before.begin(), broken_before.end(),
                      std::back_inserter(added));
  return added;
}

}  // namespace chivewing
