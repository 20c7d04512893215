#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "catalogue/catalogue_messages.h"

namespace chivewing {

// Texts about the catalogue for people.

// A table of the entries in force, and the age of the copy.
std::string ListingText(const CatalogueListing& listing);

// The changes of one name, newest last, each with what it changed.
std::string HistoryText(const CatalogueListing& history);

// Both versions of an edit that lost, and who made the other one.
std::string ConflictText(const CatalogueConflict& conflict);

// One line a difference, indented; empty when there is none.
std::string DifferencesText(const std::optional<CatalogueEntry>& before,
                            const std::optional<CatalogueEntry>& after);

// A time of day since 1970 as "2026-12-04T05:30:00Z".
std::string UtcText(std::chrono::milliseconds since_1970);

}  // namespace chivewing
