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

// Response to GET /v1/catalogue. `age` is the age of the copy of the catalogue
// from which the records were taken.
struct CatalogueListing {
  std::chrono::milliseconds age{0};
  std::vector<CatalogueRecord> records;
};

std::string EncodeListing(const CatalogueListing& listing);
Result<CatalogueListing> DecodeListing(std::string_view text);

// A change requested by an operator: the new entry, or none to remove it.
struct CatalogueEdit {
  EntryName name;
  std::uint64_t version = 0;  // version on which it is based; 0: a new entry
  std::string changed_by;
  std::optional<CatalogueEntry> entry;
};

// Body of PUT /v1/catalogue/NAME.
std::string WriteEdit(const CatalogueEdit& edit);
ValidationResult<CatalogueEdit> ReadEdit(const EntryName& name,
                                         std::string_view text);

// Body of the response to an edit that conflicts with another change.
struct CatalogueConflict {
  CatalogueRecord present;  // the current record
  CatalogueEdit yours;      // the rejected edit
};

std::string EncodeConflict(const CatalogueConflict& conflict);
Result<CatalogueConflict> DecodeConflict(std::string_view text);

// One entry of an operator's file. `version` is the version on which the edit
// is based, if the file has one.
struct EntryDraft {
  std::optional<std::uint64_t> version;
  CatalogueEntry entry;
};

// Reads a file with one entry or a list of entries, each with an optional key
// "version". Returns the errors of all entries at once; two entries of the same
// name are an error.
ValidationResult<std::vector<EntryDraft>> ReadDrafts(std::string_view text,
                                                     const std::string& file);

// Formats the entry as an operator's file, with its version if it has one.
std::string WriteDraft(const EntryDraft& draft);

}  // namespace chivewing
