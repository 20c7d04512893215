#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result_code.h"
#include "store/table.h"

// Messages between entry hosts. docs/PROTOCOLS.md lists the fields in the order
// in which they are encoded.
namespace chivewing {

// First frame each way on a connection.
struct Hello {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;  // higher for each new process of the host
  std::string key;                // shared key of the operators
  std::uint64_t protocol = 0;
};

// Asks the other end to show that it still reads this connection.
struct Heartbeat {
  std::uint64_t sequence = 0;
};

struct HeartbeatEcho {
  std::uint64_t sequence = 0;
};

// Load of one catalogue entry at the sending host.
struct PeerEntryLoad {
  EntryName entry;
  std::uint64_t slots = 0;  // usable ones, busy or free
  std::uint64_t free_slots = 0;
  std::uint64_t queued = 0;
};

struct PeerLoadReport {
  // Last hop received from the receiver: later ones are not counted in here.
  std::uint64_t last_forward_id = 0;
  std::vector<PeerEntryLoad> loads;
};

// A caller's request that another entry host shall dispatch.
struct ForwardRequest {
  std::uint64_t forward_id = 0;  // names the forward between these two hosts
  RequestId request;
  EntryName entry;
  std::string idempotency_key;
  std::string body;
  std::chrono::milliseconds remaining{0};  // until the request's deadline
  std::uint64_t hop_count = 0;             // forwards so far, this one included
  bool claimed = false;  // the sender holds the claim of this request
  bool ticket = false;   // the key is a ticket which the receiver issued
};

struct ForwardResponse {
  std::uint64_t forward_id = 0;
  ResultCode code = ResultCode::kInternal;
  std::uint64_t status = 0;  // HTTP status of the instance's answer
  std::string body;
  PeerLoadReport load;  // of the one service
};

// Rows which the sender has just committed or was asked for.
struct RowsPush {
  std::vector<TableRow> rows;
};

// Asks for rows with a version over `since` and one of the key prefixes.
struct RowsRequest {
  std::uint64_t since = 0;
  std::vector<std::string> prefixes;
};

// Asks the host that holds an open claim for the outcome of its request.
struct ClaimQuery {
  std::uint64_t query_id = 0;
  OwnerId owner;
  std::string key;
  std::chrono::milliseconds remaining{0};
};

enum class ClaimState { kOpen, kDone, kNotRun, kUnknown };

// What is known of a claim. kOpen: the asked host knows no outcome.
struct ClaimQueryResponse {
  std::uint64_t query_id = 0;
  ClaimState state = ClaimState::kOpen;
  std::uint64_t status = 0;  // HTTP status of the instance's answer
  std::string body;
  ResultCode code = ResultCode::kInternal;
};

// The sender is stopping as planned: give it nothing new.
struct Leaving {
  std::uint64_t incarnation = 0;
};

// Asks the other end to put a question to the advice service: which of the
// workers may run a step of a job.
struct PeerAdviceRequest {
  std::uint64_t query_id = 0;
  JobId job;
  std::uint64_t occurrence = 0;
  std::uint64_t step = 0;
  std::vector<WorkerId> workers;
  std::chrono::milliseconds timeout{0};
};

struct AdviceTicket {
  WorkerId worker;
  std::string ticket;
};

// The service's answer; `good` counts only when `answered`.
struct PeerAdviceResponse {
  std::uint64_t query_id = 0;
  bool answered = false;
  std::vector<AdviceTicket> approved;
  std::chrono::milliseconds valid_for{0};
};

using PeerMessage =
    std::variant<Hello, Heartbeat, HeartbeatEcho, ForwardRequest,
                 ForwardResponse, PeerLoadReport, RowsPush, RowsRequest,
                 ClaimQuery, ClaimQueryResponse, Leaving, PeerAdviceRequest,
                 PeerAdviceResponse>;

}  // namespace chivewing
