#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "catalogue/catalogue_messages.h"
#include "cli/blocking_http_call.h"
#include "cli/entry_host_client.h"

namespace chivewing {

// Outcome of an edit: accepted, in conflict or failed.
struct CatalogueUpdateResult {
  std::uint64_t version = 0;  // version in force after an accepted edit
  std::optional<CatalogueConflict> conflict;
  std::optional<Error> error;  // set when neither accepted nor in conflict
};

// Reads and changes the catalogue through the operator port of an entry host.
// Each call blocks until the response.
class CatalogueClient {
 public:
  explicit CatalogueClient(EntryHostClient client);

  Result<CatalogueListing> List() const;
  // Returns the newest record of one name; the record of a removed entry holds
  // no entry. Fails with kNotFound when the name was never used.
  Result<CatalogueListing> Show(const EntryName& name) const;
  Result<CatalogueListing> History(const EntryName& name) const;

  // Stores the entry of the edit, or removes it when the edit holds none. A
  // conflict with an equal entry counts as accepted, so that an edit may be
  // sent again.
  CatalogueUpdateResult Edit(const CatalogueEdit& edit) const;

 private:
  Result<CatalogueListing> Get(const std::string& path) const;

  EntryHostClient client_;
};

}  // namespace chivewing
