#pragma once

#include <optional>
#include <string>
#include <vector>

#include "catalogue/catalogue_entry.h"

namespace chivewing {

// A key whose value differs between two versions of an entry.
struct FieldDifference {
  std::string key;
  std::string before;  // JSON text; empty if the key did not apply
  std::string after;   // JSON text; empty if the key does not apply
};

// The keys that differ, in the order of EntrySpecs(). An absent entry has no
// keys.
std::vector<FieldDifference> DiffEntries(
    const std::optional<CatalogueEntry>& before,
    const std::optional<CatalogueEntry>& after);

// Formats a difference as one line: "limits.slots: 8 -> 16". An empty text is
// shown as "(none)".
std::string Describe(const FieldDifference& difference);

}  // namespace chivewing
