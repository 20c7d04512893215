#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "catalogue/catalogue_entry.h"

namespace chivewing {

using EntriesByName = std::map<EntryName, CatalogueEntry>;

// Messages for the broken references that a change would add: an entry whose
// served_by names an entry that is missing, is not a service, or has served_by
// set itself. References that were broken before are not reported.
std::vector<std::string> CheckReferences(const EntriesByName& before,
                                         const EntriesByName& after);

}  // namespace chivewing
