#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/result.h"
#include "catalogue/catalogue_entry.h"
#include "schema/json_node.h"
#include "schema/validation_error.h"

namespace chivewing {

// One change of an entry as stored in the table: the entry after the change, or
// none if the change removed it.
struct CatalogueRecord {
  EntryName name;
  std::uint64_t version = 0;  // version of the table row; 0: not known
  std::int64_t serial = 0;    // number of the change of this name, from 1
  std::string changed_by;
  std::chrono::milliseconds changed_at{0};  // wall clock time since 1970 UTC
  std::optional<CatalogueEntry> entry;
};

// Keys of the table rows of the current record and of one change in the
// history.
std::string CatalogueKey(const EntryName& name);
std::string HistoryKey(const EntryName& name, std::int64_t serial);

// The name in a key "catalogue/NAME", or nothing for other keys.
std::optional<EntryName> ParseCatalogueKey(std::string_view key);

// Decodes the value of a row catalogue/NAME or history/NAME/SERIAL. Fails with
// kBadEntry.
Result<CatalogueRecord> DecodeCatalogueRecord(const EntryName& name,
                                              std::string_view value,
                                              std::uint64_t version);

// Decodes a record in the form of EncodeRecordForOperator. Adds its errors to
// the collector and then returns what could be read.
CatalogueRecord DecodeRecordForOperator(const JsonNode& object,
                                        ValidationErrorCollector& errors);

// Encodes a record as the value of a table row. Name and version are not part
// of it.
std::string EncodeCatalogueRecord(const CatalogueRecord& record);

// Encodes a record for responses to operators: name, version, serial,
// changed_by, changed_at_ms and entry.
std::string EncodeRecordForOperator(const CatalogueRecord& record);

}  // namespace chivewing
