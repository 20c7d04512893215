#pragma once

#include "outcome/claim_effects.h"
#include "peer/messages.h"
#include "routing/load_report.h"

namespace chivewing {

// Conversion of load reports and claim status responses to and from the peer
// protocol's messages.
PeerLoadReport ToMessage(const LoadReport& report);
LoadReport FromMessage(const PeerLoadReport& message);
ClaimQueryResponse ToMessage(const ClaimStatusResponse& response);
ClaimStatusResponse FromMessage(const ClaimQueryResponse& message);

}  // namespace chivewing
