#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "peer/messages.h"

namespace chivewing {

// Msgpack encoding of the messages between entry hosts. No I/O.

// Maximum number of elements in a list of a message.
inline constexpr std::size_t kMaxListElements = 16384;

// Encodes a message as the msgpack array [type, payload], without frame header.
std::string Encode(const PeerMessage& message);

// Decodes one complete message. Returns kBadFrame if the bytes are malformed,
// truncated, of the wrong type, over a limit or followed by further bytes.
Result<PeerMessage> Decode(std::string_view bytes);

}  // namespace chivewing
