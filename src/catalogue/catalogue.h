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

// What became of a row given to the catalogue.
enum class ApplyRowResult {
  kApplied,       // the row was newer and is in force
  kStale,         // a row of the same or a higher version is in force
  kUnrelatedKey,  // the key is not one of the catalogue
};

// This process's copy of the catalogue. Only rows of a higher version take
// effect, and removals are kept as records without an entry, so that a late old
// row cannot bring back what was changed or removed. Not thread-safe.
class Catalogue {
 public:
  // Takes a table row; `value` is absent when the row was removed. Fails on a
  // row that cannot be read and then leaves what is in force as it is.
  Result<ApplyRowResult> Apply(std::string_view key,
                               const std::optional<std::string>& value,
                               std::uint64_t version);

  // The entry in force, or nullptr.
  const CatalogueEntry* Find(const EntryName& name) const;

  // The newest record, also of a removed entry, or nullptr.
  const CatalogueRecord* FindRecord(const EntryName& name) const;

  // Calls `visit` for each entry in force, ordered by name.
  void ForEach(const std::function<void(const CatalogueRecord&)>& visit) const;

  // The quota of an owner, or nullptr when none is set.
  const CatalogueEntry* FindQuota(const OwnerId& owner) const;

  // Whether an entry of class out_of_use names the subject.
  bool IsOutOfUse(SubjectKind kind, const std::string& id) const;

  // Highest row version that took effect; 0 when empty.
  std::uint64_t version() const { return version_; }
  // Number of entries in force.
  std::size_t size() const { return size_; }

 private:
  void StoreRecord(CatalogueRecord record);
  void AdjustSubjectCount(const CatalogueRecord& record, int change);

  std::map<EntryName, CatalogueRecord> records_;
  std::unordered_map<std::string, int> out_of_use_;  // entries per subject
  std::uint64_t version_ = 0;
  std::size_t size_ = 0;
};

}  // namespace chivewing
