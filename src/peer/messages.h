#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result_code.h"
#include "dispatch/job_progress.h"
#include "dispatch/worker_messages.h"
#include "store/table.h"

// Messages between entry hosts. docs/PROTOCOLS.md lists their fields in
// encoding order.
namespace chivewing {

// First message in each direction of a connection.
struct Hello {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;  // increases with each process of the host
  std::string key;                // shared key of the deployment
  std::uint64_t protocol = 0;
};

// Requests a HeartbeatEcho, which shows that the receiver still reads this
// connection.
struct Heartbeat {
  std::uint64_t sequence = 0;
};

struct HeartbeatEcho {
  std::uint64_t sequence = 0;
};

// Load of one catalogue entry at the sender.
struct PeerEntryLoad {
  EntryName entry;
  std::uint64_t slots = 0;  // usable slots, busy or free
  std::uint64_t free_slots = 0;
  std::uint64_t queued = 0;
};

struct PeerLoadReport {
  // Id of the last forward that the sender received from the receiver. Later
  // forwards are not included in the loads.
  std::uint64_t last_forward_id = 0;
  std::vector<PeerEntryLoad> loads;
};

// A client's request that the receiver dispatches on behalf of the sender.
struct ForwardRequest {
  std::uint64_t forward_id = 0;  // unique between these two hosts
  RequestId request;
  EntryName entry;
  std::string idempotency_key;
  std::string body;
  std::chrono::milliseconds remaining{0};  // until the request's deadline
  std::uint64_t hop_count = 0;  // forwards so far, including this one
  // True if the sender holds the claim on this request.
  bool claimed = false;
  // True if the idempotency key is a ticket issued by the receiver.
  bool ticket = false;
};

struct ForwardResponse {
  std::uint64_t forward_id = 0;
  ResultCode code = ResultCode::kInternal;
  std::uint64_t status = 0;  // HTTP status of the instance's response
  std::string body;
  PeerLoadReport load;  // load of the requested entry only
};

// Rows that the sender has just committed or that the receiver requested.
struct RowsPush {
  std::vector<TableRow> rows;
};

// Requests the rows under any of the key prefixes with a version above `since`.
struct RowsRequest {
  std::uint64_t since = 0;
  std::vector<std::string> prefixes;
};

// Queries the host that holds an open claim for the outcome of its request.
struct ClaimQuery {
  std::uint64_t query_id = 0;
  OwnerId owner;
  std::string key;
  std::chrono::milliseconds remaining{0};
};

enum class ClaimState { kOpen, kDone, kNotRun, kUnknown };

// State of a claim at the queried host. kOpen: it knows no outcome yet.
struct ClaimQueryResponse {
  std::uint64_t query_id = 0;
  ClaimState state = ClaimState::kOpen;
  std::uint64_t status = 0;  // HTTP status of the instance's response
  std::string body;
  ResultCode code = ResultCode::kInternal;
};

// The sender is shutting down gracefully and must get no new work.
struct Leaving {
  std::uint64_t incarnation = 0;
};

// Requests that the receiver queries the advice service about which of the
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

// Response of the advice service; `approved` is valid only if `answered`.
struct PeerAdviceResponse {
  std::uint64_t query_id = 0;
  bool answered = false;
  std::vector<AdviceTicket> approved;
  std::chrono::milliseconds valid_for{0};
};

// A call to a worker that the receiver makes on behalf of the dispatching host.
// `run_id` and `poll_id` of the commands are not sent.
struct ForwardedStart {
  // Unique among all processes of the sender's host: a response may arrive
  // after the host has started again.
  std::uint64_t call_id = 0;
  // The receiver does not send the call after it has waited this long there.
  std::chrono::milliseconds time_limit{0};
  StartRun command;
};

struct ForwardedStop {
  std::uint64_t call_id = 0;
  std::chrono::milliseconds time_limit{0};
  StopRun command;
};

struct ForwardedPace {
  std::uint64_t call_id = 0;
  std::chrono::milliseconds time_limit{0};
  PaceRun command;
};

struct ForwardedPoll {
  std::uint64_t call_id = 0;
  std::chrono::milliseconds time_limit{0};
  PollWorker command;
};

// Calls that the dispatching host's loop has produced in one turn for the
// workers of one gateway.
struct WorkerCalls {
  std::vector<ForwardedStart> starts;
  std::vector<ForwardedStop> stops;
  std::vector<ForwardedPace> paces;
  std::vector<ForwardedPoll> polls;
};

struct ForwardedCommandResponse {
  std::uint64_t call_id = 0;
  CommandResponse response;
};

struct ForwardedPollResponse {
  std::uint64_t call_id = 0;
  PollResponse response;
};

// Responses to forwarded calls, in the order of their arrival.
struct WorkerCallResponses {
  std::vector<ForwardedCommandResponse> commands;
  std::vector<ForwardedPollResponse> polls;
};

// What callers are told of a job, after a change of it.
struct JobStatusChange {
  JobId job;
  std::string queue;  // empty if the job's own row is not known
  bool cancelled = false;
  JobPhase state = JobPhase::kQueued;
};

// Part of the feed by which the dispatching host tells the other hosts what it
// has read from the table or committed, so that they need not read it too.
struct JobFeed {
  // Rises by one with each message to all receivers.
  std::uint64_t number = 0;
  // True for the response to a JobFeedRequest. The receiver gets the messages
  // with the numbers after this one.
  bool is_first = false;
  // Together with the messages before it, this one holds all changes up to this
  // revision of the table.
  std::uint64_t through = 0;
  std::vector<JobStatusChange> changes;
  std::vector<TableRow> rows;  // of entry hosts and of the dispatcher's lease
};

// Requests the feed from a host whose row says that it knows the request. The
// sender knows all changes up to the revision `since` of the table.
struct JobFeedRequest {
  std::uint64_t since = 0;
};

using PeerMessage =
    std::variant<Hello, Heartbeat, HeartbeatEcho, ForwardRequest,
                 ForwardResponse, PeerLoadReport, RowsPush, RowsRequest,
                 ClaimQuery, ClaimQueryResponse, Leaving, PeerAdviceRequest,
                 PeerAdviceResponse, WorkerCalls, WorkerCallResponses, JobFeed,
                 JobFeedRequest>;

}  // namespace chivewing
