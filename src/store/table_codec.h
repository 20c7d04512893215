#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/table.h"

namespace chivewing {

// JSON bodies of the calls to the platform, as in docs/PROTOCOLS.md. Decoding
// returns nothing when the body is malformed.

std::string EncodeCommit(const TableTransaction& transaction);
std::string EncodeRead(const std::vector<std::string>& keys);

// The revision of an answer that says committed.
std::optional<std::uint64_t> DecodeCommitted(const std::string& body);
// The rows of an answer that says conflict.
std::optional<std::vector<TableRow>> DecodeConflict(const std::string& body);
std::optional<ReadResponse> DecodeRead(const std::string& body);
std::optional<ChangesResponse> DecodeChanges(const std::string& body);
std::optional<HostListResponse> DecodeHosts(const std::string& body);

// Words of the host list.
std::string_view Name(HostKind kind);
std::string_view Name(HostState state);
std::optional<HostKind> ParseHostKind(std::string_view word);
std::optional<HostState> ParseHostState(std::string_view word);

}  // namespace chivewing
