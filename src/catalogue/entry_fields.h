#pragma once

#include <span>
#include <string>
#include <vector>

#include "catalogue/catalogue_entry.h"
#include "schema/field.h"
#include "schema/field_binding.h"

namespace chivewing {

// The keys of a catalogue entry in the order of docs/CATALOGUE.md, and the
// member of CatalogueEntry for each of them, by the same index.
std::span<const FieldSpec> EntrySpecs();
std::span<const FieldBinding<CatalogueEntry>> EntryBindings();

// The classes to which each key applies, by the index of EntrySpecs().
std::span<const std::vector<WorkClass>> ClassesByField();

// Whether the key with that index in EntrySpecs() applies to the class.
bool FieldAppliesTo(std::size_t field, WorkClass work_class);

// The Markdown tables of docs/CATALOGUE.md: all keys, and the classes to which
// each key applies.
std::string EntryTable();
std::string EntryClassTable();

}  // namespace chivewing
