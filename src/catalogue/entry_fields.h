#pragma once

#include <span>
#include <string>
#include <vector>

#include "catalogue/catalogue_entry.h"
#include "schema/field.h"
#include "schema/field_binding.h"

namespace chivewing {

// The keys of a catalogue entry, in the order of the docs.
std::span<const FieldSpec> EntrySpecs();
std::span<const FieldBinding<CatalogueEntry>> EntryBindings();

// The classes to which a key applies; the index is that of EntrySpecs().
std::span<const std::vector<WorkClass>> ClassesByField();

// Whether the key applies to the class.
bool FieldAppliesTo(std::size_t field, WorkClass work_class);

// The tables of docs/CATALOGUE.md.
std::string EntryTable();
std::string EntryClassTable();

}  // namespace chivewing
