#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "peer/messages.h"

namespace chivewing {

// Largest number of elements in one list of a message.
inline constexpr std::size_t kMaxListElements = 16384;

// The msgpack array [type, payload] of a message, without the frame's length.
std::string Encode(const PeerMessage& message);

// Reads one whole message. Anything malformed, truncated, of the wrong type,
// over a limit, or followed by further bytes is kBadFrame.
Result<PeerMessage> Decode(std::string_view bytes);

}  // namespace chivewing
