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

// One change of an entry as it stands in the table: the entry after the change,
// or none when the change removed it.
struct CatalogueRecord {
  EntryName name;
  std::uint64_t version = 0;  // of the table row; 0: not known
  std::int64_t serial = 0;    // counts the changes of this name from 1
  std::string changed_by;
  std::chrono::milliseconds changed_at{0};  // time of day, since 1970 in UTC
  std::optional<CatalogueEntry> entry;
};

// Keys of table rows.
std::string CatalogueKey(const EntryName& name);
std::string HistoryKey(const EntryName& name, std::int64_t serial);

// The name in a key "catalogue/NAME"; nothing for other keys.
std::optional<EntryName> ParseCatalogueKey(std::string_view key);

// Reads the value of a row catalogue/NAME or history/NAME/SERIAL.
Result<CatalogueRecord> DecodeCatalogueRecord(const EntryName& name,
                                              std::string_view value,
                                              std::uint64_t version);

// Reads a record as operators see it.
CatalogueRecord DecodeRecordForOperator(const JsonNode& object,
                                        ValidationErrorCollector& errors);

// The value of a row.
std::string EncodeCatalogueRecord(const CatalogueRecord& record);

// The record as operators see it: name, version, serial, changed_by,
// changed_at_ms and entry.
std::string EncodeRecordForOperator(const CatalogueRecord& record);

}  // namespace chivewing
