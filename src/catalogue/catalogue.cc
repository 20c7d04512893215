#include "catalogue/catalogue.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

std::string SubjectKey(SubjectKind kind, const std::string& id) {
  return std::to_string(static_cast<int>(kind)) + "/" + id;
}

}  // namespace

Result<ApplyRowResult> Catalogue::Apply(std::string_view key,
                                        const std::optional<std::string>& value,
                                        std::uint64_t version) {
  const std::optional<EntryName> name = ParseCatalogueKey(key);
  if (!name) return ApplyRowResult::kUnrelatedKey;
  const CatalogueRecord* present = FindRecord(*name);
  if (present != nullptr && present->version >= version) {
    return ApplyRowResult::kStale;
  }
  CatalogueRecord record;
  record.name = *name;
  record.version = version;
  if (value) {
    Result<CatalogueRecord> read =
        DecodeCatalogueRecord(*name, *value, version);
    if (!read) return read.error();
    record = std::move(read.value());
  }
  StoreRecord(std::move(record));
  return ApplyRowResult::kApplied;
}

const CatalogueEntry* Catalogue::Find(const EntryName& name) const {
  const CatalogueRecord* record = FindRecord(name);
  if (record == nullptr || !record->entry) return nullptr;
  return &*record->entry;
}

const CatalogueRecord* Catalogue::FindRecord(const EntryName& name) const {
  const auto found = records_.find(name);
  return found == records_.end() ? nullptr : &found->second;
}

void Catalogue::ForEach(
    const std::function<void(const CatalogueRecord&)>& visit) const {
  for (const auto& [name, record] : records_) {
    if (record.entry) visit(record);
  }
}

const CatalogueEntry* Catalogue::FindQuota(const OwnerId& owner) const {
  const CatalogueEntry* entry = Find(EntryName(owner.value()));
  if (entry == nullptr || entry->work_class != WorkClass::kOwner) {
    return nullptr;
  }
  return entry;
}

bool Catalogue::IsOutOfUse(SubjectKind kind, const std::string& id) const {
  return out_of_use_.contains(SubjectKey(kind, id));
}

void Catalogue::StoreRecord(CatalogueRecord record) {
  version_ = std::max(version_, record.version);
  CatalogueRecord& slot = records_[record.name];
  AdjustSubjectCount(slot, -1);
  if (slot.entry) --size_;
  slot = std::move(record);
  AdjustSubjectCount(slot, 1);
  if (slot.entry) ++size_;
}

void Catalogue::AdjustSubjectCount(const CatalogueRecord& record, int change) {
  if (!record.entry) return;
  if (record.entry->work_class != WorkClass::kOutOfUse) return;
  const EntrySubject& subject = record.entry->subject;
  const auto slot =
      out_of_use_.try_emplace(SubjectKey(subject.kind, subject.id), 0).first;
  slot->second += change;
  if (slot->second == 0) out_of_use_.erase(slot);
}

}  // namespace chivewing
