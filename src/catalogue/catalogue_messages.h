#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "catalogue/catalogue_record.h"
#include "schema/validation_error.h"

namespace chivewing {

// Answer to GET /v1/catalogue: records and the age of the copy they are from.
struct CatalogueListing {
  std::chrono::milliseconds age{0};
  std::vector<CatalogueRecord> records;
};

std::string EncodeListing(const CatalogueListing& listing);
Result<CatalogueListing> DecodeListing(std::string_view text);

// What an operator asks for: the entry as it should be, or none to remove it.
struct CatalogueEdit {
  EntryName name;
  std::uint64_t version = 0;  // the version that was edited; 0: a new entry
  std::string changed_by;
  std::optional<CatalogueEntry> entry;
};

// Body of PUT /v1/catalogue/NAME.
std::string WriteEdit(const CatalogueEdit& edit);
ValidationResult<CatalogueEdit> ReadEdit(const EntryName& name,
                                         std::string_view text);

// Body of the answer to an edit that lost against another one.
struct CatalogueConflict {
  CatalogueRecord present;  // what is in force
  CatalogueEdit yours;      // what was asked for
};

std::string EncodeConflict(const CatalogueConflict& conflict);
Result<CatalogueConflict> DecodeConflict(std::string_view text);

// One entry of an operator's file and, if stated there, the version edited.
struct EntryDraft {
  std::optional<std::uint64_t> version;
  CatalogueEntry entry;
};

// Reads a file of one entry or a list of entries, each with an optional key
// "version". All faults of all entries are reported, and two entries of one
// name are refused.
ValidationResult<std::vector<EntryDraft>> ReadDrafts(std::string_view text,
                                                     const std::string& file);

// The entry as an operator's file, with the version that it was read at.
std::string WriteDraft(const EntryDraft& draft);

}  // namespace chivewing
