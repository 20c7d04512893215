#include "cli/catalogue_file_commands.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "catalogue/entry_diff.h"
#include "cli/catalogue_applier.h"
#include "cli/catalogue_client.h"
#include "cli/catalogue_text.h"
#include "cli/draft_files.h"
#include "cli/report.h"

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;
using Drafts = std::vector<EntryDraft>;

Result<std::string> ChangedBy(const Arguments& arguments,
                              const CliEnvironment& hooks) {
  std::string name = arguments.Value("changed-by");
  if (name.empty()) name = hooks.environment("USER");
  if (!name.empty()) return name;
  return Error{ResultCode::kBadUsage,
               "--changed-by NAME is required when $USER is not set"};
}

// Returns the more severe status, which is the one with the higher number.
ExitStatus MostSevere(ExitStatus a, ExitStatus b) { return std::max(a, b); }

// Reports references between entries that would be invalid after the change.
ExitStatus ReportReferences(const PresentRecords& present,
                            const EntriesByName& after,
                            const CliEnvironment& hooks) {
  ExitStatus status = ExitStatus::kOk;
  for (const std::string& what : CheckReferences(present.Entries(), after)) {
    status = ReportError({ResultCode::kBadEntry, what}, hooks);
  }
  return status;
}

ExitStatus CheckDrafts(const Drafts& drafts, const PresentRecords& present,
                       const CliEnvironment& hooks) {
  EntriesByName after = present.Entries();
  for (const EntryDraft& draft : drafts) after[draft.entry.name] = draft.entry;
  return ReportReferences(present, after, hooks);
}

ExitStatus CheckRemoval(const EntryName& name, const PresentRecords& present,
                        const CliEnvironment& hooks) {
  EntriesByName after = present.Entries();
  after.erase(name);
  return ReportReferences(present, after, hooks);
}

ExitStatus SendDrafts(const Drafts& drafts, const Arguments& arguments,
                      const CliEnvironment& hooks) {
  const Result<EntryHostClient> host = MakeClient(arguments, hooks);
  if (!host) return ReportError(host.error(), hooks);
  const Result<std::string> changed_by = ChangedBy(arguments, hooks);
  if (!changed_by) return ReportError(changed_by.error(), hooks);
  const CatalogueClient client(host.value());
  const Result<CatalogueListing> listing = client.List();
  if (!listing) return ReportError(listing.error(), hooks);
  const PresentRecords present(listing.value());
  ExitStatus status = CheckDrafts(drafts, present, hooks);
  if (status != ExitStatus::kOk) return status;
  CatalogueApplier applier(client, present, arguments, hooks,
                           changed_by.value());
  for (const EntryDraft& draft : drafts) {
    status = MostSevere(status, applier.Apply(draft));
  }
  return status;
}

void WriteDifferences(const EntryDraft& draft, const PresentRecords& present,
                      const Arguments& arguments, const CliEnvironment& hooks) {
  const std::string& name = draft.entry.name.value();
  const std::optional<CatalogueEntry> before =
      present.EntryOf(draft.entry.name);
  if (!arguments.Has("json")) {
    const std::string text = DifferencesText(before, draft.entry);
    const std::string word = before ? "changes" : "is new";
    *hooks.out << name << ": " << (text.empty() ? "is the same" : word) << "\n"
               << text;
    return;
  }
  Json json = {{"name", name}, {"differences", Json::array()}};
  for (const FieldDifference& each : DiffEntries(before, draft.entry)) {
    json["differences"].push_back(
        {{"key", each.key}, {"before", each.before}, {"after", each.after}});
  }
  *hooks.out << json.dump() << "\n";
}

// Returns the version to remove: --version, or the one in force.
Result<std::uint64_t> RemovedVersion(const Arguments& arguments,
                                     const PresentRecords& present,
                                     const EntryName& name) {
  if (arguments.Has("version")) {
    const Result<long> given =
        ParseInteger("version", arguments.Value("version"), 1,
                     std::numeric_limits<long>::max());
    if (!given) return given.error();
    return static_cast<std::uint64_t>(given.value());
  }
  if (present.EntryOf(name)) return present.VersionOf(name);
  return Error{ResultCode::kNotFound, name.value() + ": no such entry"};
}

}  // namespace

ExitStatus ApplyFiles(const Arguments& arguments, const CliEnvironment& hooks) {
  const ValidationResult<Drafts> drafts = ReadDraftFiles(arguments.operands());
  if (!drafts) {
    return ReportValidationErrors(ResultCode::kBadEntry, drafts.error(), hooks);
  }
  if (!arguments.Has("check")) {
    return SendDrafts(drafts.value(), arguments, hooks);
  }
  *hooks.out << "good; " << drafts.value().size() << " entries\n";
  return ExitStatus::kOk;
}

ExitStatus RemoveEntry(const Arguments& arguments,
                       const CliEnvironment& hooks) {
  const Result<EntryHostClient> host = MakeClient(arguments, hooks);
  if (!host) return ReportError(host.error(), hooks);
  const Result<std::string> changed_by = ChangedBy(arguments, hooks);
  if (!changed_by) return ReportError(changed_by.error(), hooks);
  const CatalogueClient client(host.value());
  const Result<CatalogueListing> listing = client.List();
  if (!listing) return ReportError(listing.error(), hooks);
  const PresentRecords present(listing.value());
  const EntryName name(arguments.operands().front());
  const Result<std::uint64_t> version =
      RemovedVersion(arguments, present, name);
  if (!version) return ReportError(version.error(), hooks);
  const ExitStatus checked = CheckRemoval(name, present, hooks);
  if (checked != ExitStatus::kOk) return checked;
  CatalogueApplier applier(client, present, arguments, hooks,
                           changed_by.value());
  return applier.Send({name, version.value(), changed_by.value(), std::nullopt},
                      "removed");
}

ExitStatus DiffFiles(const Arguments& arguments, const CliEnvironment& hooks) {
  const ValidationResult<Drafts> drafts = ReadDraftFiles(arguments.operands());
  if (!drafts) {
    return ReportValidationErrors(ResultCode::kBadEntry, drafts.error(), hooks);
  }
  const Result<EntryHostClient> host = MakeClient(arguments, hooks);
  if (!host) return ReportError(host.error(), hooks);
  const Result<CatalogueListing> listing = CatalogueClient(host.value()).List();
  if (!listing) return ReportError(listing.error(), hooks);
  const PresentRecords present(listing.value());
  for (const EntryDraft& draft : drafts.value()) {
    WriteDifferences(draft, present, arguments, hooks);
  }
  return ExitStatus::kOk;
}

}  // namespace chivewing
