#include "catalogue/catalogue_check.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>

namespace chivewing {
namespace {

std::string WhyNotServed(const CatalogueEntry& entry,
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
  return start + " is served by another entry itself";
}

std::set<std::string> BrokenReferences(const EntriesByName& entries) {
  std::set<std::string> broken;
  for (const auto& [name, entry] : entries) {
    const std::string why = WhyNotServed(entry, entries);
    if (!why.empty()) broken.insert(why);
  }
  return broken;
}

}  // namespace

std::vector<std::string> CheckReferences(const EntriesByName& before,
                                         const EntriesByName& after) {
  const std::set<std::string> old_ones = BrokenReferences(before);
  const std::set<std::string> new_ones = BrokenReferences(after);
  std::vector<std::string> added;
  std::set_difference(new_ones.begin(), new_ones.end(), old_ones.begin(),
                      old_ones.end(), std::back_inserter(added));
  return added;
}

}  // namespace chivewing
