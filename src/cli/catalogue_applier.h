#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "catalogue/catalogue_check.h"
#include "cli/arguments.h"
#include "cli/catalogue_client.h"
#include "cli/exit_status.h"
#include "cli/verb.h"

namespace chivewing {

// Newest catalogue records by name, from a listing of an entry host.
class PresentRecords {
 public:
  explicit PresentRecords(const CatalogueListing& listing);

  // Returns 0 for a name without an entry in force.
  std::uint64_t VersionOf(const EntryName& name) const;
  std::optional<CatalogueEntry> EntryOf(const EntryName& name) const;
  EntriesByName Entries() const;

 private:
  std::map<EntryName, CatalogueRecord> records_;
};

// Sends drafts to the catalogue one by one and writes the outcome of each.
// Keeps references to `client`, `present` and `hooks`, which must outlive it.
class CatalogueApplier {
 public:
  CatalogueApplier(const CatalogueClient& client, const PresentRecords& present,
                   const Arguments& arguments, const CliEnvironment& hooks,
                   std::string changed_by);

  ExitStatus Apply(const EntryDraft& draft);

  // Sends an edit and writes its outcome; `done` is the word written on
  // success.
  ExitStatus Send(const CatalogueEdit& edit, const std::string& done);

 private:
  std::uint64_t BaseVersion(const EntryDraft& draft) const;
  ExitStatus ReportConflict(const CatalogueConflict& conflict);
  void Write(const EntryName& name, const std::string& what,
             std::uint64_t version);

  const CatalogueClient& client_;
  const PresentRecords& present_;
  bool overwrite_;
  bool json_;
  const CliEnvironment& hooks_;
  std::string changed_by_;
};

}  // namespace chivewing
