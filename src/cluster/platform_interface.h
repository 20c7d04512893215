#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "dispatch/job_description.h"
#include "dispatch/job_progress.h"
#include "dispatch/worker_messages.h"
#include "http/http_server.h"
#include "store/table_interface.h"

// What a cluster host needs of the platform it runs on. An adapter sets the
// callbacks; it translates names and formats and decides nothing. A function
// with a `done` parameter calls it exactly once, from any thread.
namespace chivewing {

// Longest time from a command to a worker to its response.
inline constexpr std::chrono::milliseconds kWorkerCommandTimeout{600};
// Longest time from a poll to its response, beyond its long-poll time.
inline constexpr std::chrono::milliseconds kWorkerPollTimeoutMargin{400};

struct DesiredStateRead {
  // 0: reads the current state; otherwise the changes since this revision.
  std::uint64_t after = 0;
  // How long to wait for a change.
  std::chrono::milliseconds wait{0};
  bool new_connection = false;
};

// Result of a read of the desired state or of its changes.
struct DesiredStateUpdate {
  bool ok = false;
  bool history_lost = false;
  std::uint64_t revision = 0;           // pass as `after` to the next read
  std::optional<DesiredState> state{};  // absent if unchanged
  std::string error_detail{};           // of a failed read
};

// Worker registrations, or changes to them since a revision.
struct WorkerListUpdate {
  bool ok = false;
  bool history_lost = false;
  std::uint64_t revision = 0;
  std::vector<WorkerRegistration> changed{};
  std::vector<WorkerId> removed{};
};

// Kind of a caller's request.
enum class CallerRequestKind { kSubmit, kState, kCancel, kUnknown };

struct CallerRequest {
  CallerRequestKind kind = CallerRequestKind::kUnknown;
  std::string host{};
  std::string path{};
  // The caller's timeout; none if it states none.
  std::optional<std::chrono::milliseconds> timeout{};
};

enum class CallerResponseKind {
  kAccepted,       // the job is stored
  kState,          // the state of a job
  kWaiting,        // number of jobs waiting in a queue
  kCancelled,      // the cancel is stored
  kQueueNotFound,  // no such queue
  kJobNotFound,    // no such job
  kRetryLater,     // not stored and will not run; the caller may retry
  kUnconfirmed,    // the write may have been committed
  kBadRequest,     // malformed
};

struct CallerResponse {
  CallerResponseKind kind = CallerResponseKind::kBadRequest;
  JobPhase state = JobPhase::kQueued;        // of kState
  std::size_t waiting = 0;                   // of kWaiting
  std::chrono::milliseconds retry_after{0};  // of kRetryLater
  std::string error_detail{};                // of kBadRequest
};

struct PlatformInterface {
  TableInterface table{};
  // As table.commit, over a connection and a thread that no other call uses, so
  // that the renewal of a lease never queues behind them.
  std::function<void(const TableTransaction&,
                     std::function<void(CommitResponse)> done)>
      commit_lease{};

  std::function<void(const DesiredStateRead&,
                     std::function<void(DesiredStateUpdate)> done)>
      watch_desired_state{};
  // With `after` 0 reads all registrations; otherwise waits up to `wait` for
  // changes since revision `after`.
  std::function<void(std::uint64_t after, std::chrono::milliseconds wait,
                     std::function<void(WorkerListUpdate)> done)>
      watch_workers{};

  std::function<void(const StartRun&,
                     std::function<void(CommandResponse)> done)>
      start_run{};
  std::function<void(const StopRun&, std::function<void(CommandResponse)> done)>
      stop_run{};
  std::function<void(const PaceRun&, std::function<void(CommandResponse)> done)>
      pace_run{};
  std::function<void(const PollWorker&, std::function<void(PollResponse)> done)>
      poll_worker{};
  std::function<void(const AdviceRequest&,
                     std::function<void(AdviceResponse)> done)>
      request_advice{};

  std::function<CallerRequest(const HttpServerRequest&)> decode_request{};
  std::function<Result<JobDescription>(const std::string& body)> decode_job{};
  std::function<HttpServerResponse(const CallerResponse&)> encode_response{};
};

}  // namespace chivewing
