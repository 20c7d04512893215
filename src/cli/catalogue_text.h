#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "catalogue/catalogue_messages.h"

namespace chivewing {

// Formats catalogue data as text for operators.

// Returns a table of the entries in force, and the age of the entry host's
// copy.
std::string ListingText(const CatalogueListing& listing);

// Returns the changes of one name, newest last, each with its differences.
std::string HistoryText(const CatalogueListing& history);

// Returns both versions of a conflicting edit, and who made the one in force.
std::string ConflictText(const CatalogueConflict& conflict);

// Returns one indented line per difference; empty when there is none.
std::string DifferencesText(const std::optional<CatalogueEntry>& before,
                            const std::optional<CatalogueEntry>& after);

// Formats a wall-clock time since 1970 (UTC) as "2026-12-04T05:30:00Z".
std::string UtcText(std::chrono::milliseconds since_1970);

}  // namespace chivewing
