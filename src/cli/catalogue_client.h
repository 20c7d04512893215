#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "catalogue/catalogue_messages.h"
#include "cli/blocking_http_call.h"
#include "cli/entry_host_client.h"

namespace chivewing {

// What became of an edit.
struct CatalogueUpdateResult {
  std::uint64_t version = 0;  // in force after the edit, unless it failed
  std::optional<CatalogueConflict> conflict;
  std::optional<Error> error;  // neither accepted nor a conflict
};

// Reads and changes the catalogue through an entry host's operators' port.
class CatalogueClient {
 public:
  explicit CatalogueClient(EntryHostClient client);

  Result<CatalogueListing> List() const;
  // The newest record of one name; removed entries have none. Fails with
  // kNotFound when the name was never used.
  Result<CatalogueListing> Show(const EntryName& name) const;
  Result<CatalogueListing> History(const EntryName& name) const;

  // Puts an entry, or removes it when the edit has none. An edit that lost
  // against an equal one counts as accepted, so that it may be sent again.
  CatalogueUpdateResult Edit(const CatalogueEdit& edit) const;

 private:
  Result<CatalogueListing> Get(const std::string& path) const;

  EntryHostClient client_;
};

}  // namespace chivewing
