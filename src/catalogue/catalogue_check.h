#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "catalogue/catalogue_entry.h"

namespace chivewing {

using EntriesByName = std::map<EntryName, CatalogueEntry>;

// Sentences on what would be wrong between entries after a change and was not
// before: an entry served by one that is missing, is no service, or is served
// by another one itself.
std::vector<std::string> CheckReferences(const EntriesByName& before,
                                         const EntriesByName& after);

}  // namespace chivewing
