#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/table.h"

namespace chivewing {

// JSON encoding of requests to the platform and decoding of its responses, as
// specified in docs/PROTOCOLS.md. Decoders return nullopt on a malformed body.
// No I/O.

std::string EncodeCommit(const TableTransaction& transaction);
std::string EncodeRead(const std::vector<std::string>& keys);

// The revision in a response that reports a commit.
std::optional<std::uint64_t> DecodeCommitted(const std::string& body);
// The current rows in a response that reports a conflict.
std::optional<std::vector<TableRow>> DecodeConflict(const std::string& body);
std::optional<ReadResponse> DecodeRead(const std::string& body);
std::optional<ChangesResponse> DecodeChanges(const std::string& body);
std::optional<HostListResponse> DecodeHosts(const std::string& body);

// Names used in the host list.
std::string_view Name(HostKind kind);
std::string_view Name(HostState state);
std::optional<HostKind> ParseHostKind(std::string_view word);
std::optional<HostState> ParseHostState(std::string_view word);

}  // namespace chivewing
