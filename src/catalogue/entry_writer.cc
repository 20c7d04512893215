#include "catalogue/entry_writer.h"

#include <cstddef>
#include <vector>

#include "catalogue/entry_fields.h"

namespace chivewing {

std::string WriteEntry(const CatalogueEntry& entry, JsonLayout layout) {
  std::vector<NamedValue> fields;
  for (std::size_t i = 0; i < EntrySpecs().size(); ++i) {
    if (!FieldAppliesTo(i, entry.work_class)) continue;
    fields.push_back(
        NamedValue{EntrySpecs()[i].name, EntryBindings()[i].get(entry)});
  }
  return WriteFields(fields, layout);
}

}  // namespace chivewing
