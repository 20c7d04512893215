#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"
#include "outcome/claim_effects.h"

namespace chivewing {

// The value of a row `claim/OWNER/KEY`.
struct ClaimRow {
  RequestId request;
  HostId host;  // the entry host that claimed it
  std::uint64_t incarnation = 0;
  std::optional<Outcome> outcome;  // absent while the claim is open
};

// The row's key; the caller's key is escaped so that it holds no '/'.
std::string ClaimRowKey(const OwnerId& owner, const std::string& key);

// The row's JSON. The body may hold any bytes.
std::string EncodeClaimRow(const ClaimRow& row);
// Nothing when the value is not a claim row.
std::optional<ClaimRow> DecodeClaimRow(const std::string& value);

}  // namespace chivewing
