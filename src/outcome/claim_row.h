#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "outcome/claim_effects.h"

namespace chivewing {

// Value of a row `claim/OWNER/KEY`.
struct ClaimRow {
  RequestId request;
  HostId host;  // entry host that holds the claim
  std::uint64_t incarnation = 0;
  std::optional<Outcome> outcome;  // empty while the claim is open
};

// Key of the row. Owner and idempotency key are escaped, so that neither
// contains a '/'.
std::string ClaimRowKey(const OwnerId& owner, const std::string& key);

// Encodes the row as JSON. The outcome's body may contain any bytes.
std::string EncodeClaimRow(const ClaimRow& row);
// Empty when the value is not a claim row.
std::optional<ClaimRow> DecodeClaimRow(const std::string& value);

}  // namespace chivewing
