#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "catalogue/catalogue_record.h"

namespace chivewing {

// The result of applying a table row to the catalogue.
enum class ApplyRowResult {
  kApplied,       // the row was newer and has replaced the known one
  kStale,         // a row of the same or a higher version is already known
  kUnrelatedKey,  // the key does not belong to the catalogue
};

// The copy of the catalogue in this process, built from rows of the platform's
// table. A row is applied only if its version is higher than the known one, and
// a removal is kept as a record without an entry, so that a late row cannot
// undo a newer change or removal. Does no I/O; not thread-safe.
class Catalogue {
 public:
  // Applies a table row; `value` is absent if the row was deleted. Fails on a
  // row that cannot be decoded and then keeps the known record.
  Result<ApplyRowResult> Apply(std::string_view key,
                               const std::optional<std::string>& value,
                               std::uint64_t version);

  // The current entry, or nullptr if there is none.
  const CatalogueEntry* Find(const EntryName& name) const;

  // The newest record, also that of a removed entry, or nullptr.
  const CatalogueRecord* FindRecord(const EntryName& name) const;

  // Calls `visit` for the record of each current entry, ordered by name.
  void ForEach(const std::function<void(const CatalogueRecord&)>& visit) const;

  // The entry of class owner that holds the quota, or nullptr if none is set.
  const CatalogueEntry* FindQuota(const OwnerId& owner) const;

  // Whether a current entry of class out_of_use names the subject.
  bool IsOutOfUse(SubjectKind kind, const std::string& id) const;

  // Highest row version applied; 0 if there was none.
  std::uint64_t version() const { return version_; }
  // Number of current entries.
  std::size_t size() const { return size_; }

 private:
  void StoreRecord(CatalogueRecord record);
  void AdjustSubjectCount(const CatalogueRecord& record, int change);

  std::map<EntryName, CatalogueRecord> records_;
  // Number of out_of_use entries by subject; subjects without any are erased.
  std::unordered_map<std::string, int> out_of_use_;
  std::uint64_t version_ = 0;
  std::size_t size_ = 0;
};

}  // namespace chivewing
