#include "cli/catalogue_applier.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "catalogue/entry_diff.h"
#include "cli/catalogue_text.h"
#include "cli/report.h"

namespace chivewing {

using Json = nlohmann::ordered_json;

PresentRecords::PresentRecords(const CatalogueListing& listing) {
  for (const CatalogueRecord& record : listing.records) {
    records_[record.name] = record;
  }
}

std::uint64_t PresentRecords::VersionOf(const EntryName& name) const {
  const auto found = records_.find(name);
  return found == records_.end() ? 0 : found->second.version;
}

std::optional<CatalogueEntry> PresentRecords::EntryOf(
    const EntryName& name) const {
  const auto found = records_.find(name);
  if (found == records_.end()) return std::nullopt;
  return found->second.entry;
}

EntriesByName PresentRecords::Entries() const {
  EntriesByName entries;
  for (const auto& [name, record] : records_) {
    if (record.entry) entries[name] = *record.entry;
  }
  return entries;
}

CatalogueApplier::CatalogueApplier(const CatalogueClient& client,
                                   const PresentRecords& present,
                                   const Arguments& arguments,
                                   const CliEnvironment& hooks,
                                   std::string changed_by)
    : client_(client),
      present_(present),
      overwrite_(arguments.Has("overwrite")),
      json_(arguments.Has("json")),
      hooks_(hooks),
      changed_by_(std::move(changed_by)) {}

ExitStatus CatalogueApplier::Apply(const EntryDraft& draft) {
  const EntryName& name = draft.entry.name;
  const std::optional<CatalogueEntry> before = present_.EntryOf(name);
  if (before && DiffEntries(before, draft.entry).empty()) {
    Write(name, "unchanged", present_.VersionOf(name));
    return ExitStatus::kOk;
  }
  const CatalogueEdit edit{name, BaseVersion(draft), changed_by_, draft.entry};
  const ExitStatus status = Send(edit, before ? "changed" : "added");
  if (status == ExitStatus::kOk && before && !json_) {
    *hooks_.out << DifferencesText(before, draft.entry);
  }
  return status;
}

ExitStatus CatalogueApplier::Send(const CatalogueEdit& edit,
                                  const std::string& done) {
  const CatalogueUpdateResult outcome = client_.Edit(edit);
  if (outcome.error) {
    const Error error{outcome.error->code,
                      edit.name.value() + ": " + outcome.error->detail};
    return ReportError(error, hooks_);
  }
  if (outcome.conflict) return ReportConflict(*outcome.conflict);
  Write(edit.name, done, outcome.version);
  return ExitStatus::kOk;
}

// A draft without a version is treated as a new entry (version 0), which
// conflicts with any existing entry unless --overwrite is given.
std::uint64_t CatalogueApplier::BaseVersion(const EntryDraft& draft) const {
  if (draft.version) return *draft.version;
  return overwrite_ ? present_.VersionOf(draft.entry.name) : 0;
}

ExitStatus CatalogueApplier::ReportConflict(const CatalogueConflict& conflict) {
  const CatalogueRecord& present = conflict.present;
  const std::uint64_t edited = conflict.yours.version;
  const std::string yours =
      edited == 0 ? "your file states no version"
                  : "you edited version " + std::to_string(edited);
  const Error error{
      ResultCode::kConflict,
      present.name.value() + ": changed by " + present.changed_by +
          " to version " + std::to_string(present.version) + ", and " + yours +
          "; show the current entry, merge your change and apply again"};
  const ExitStatus status = ReportError(error, hooks_);
  if (json_) {
    *hooks_.out << EncodeConflict(conflict) << "\n";
  } else {
    *hooks_.err << ConflictText(conflict);
  }
  return status;
}

void CatalogueApplier::Write(const EntryName& name, const std::string& what,
                             std::uint64_t version) {
  if (json_) {
    const Json json = {
        {"name", name.value()}, {"outcome", what}, {"version", version}};
    *hooks_.out << json.dump() << "\n";
    return;
  }
  *hooks_.out << name.value() << ": " << what << ", version " << version
              << "\n";
}

}  // namespace chivewing
