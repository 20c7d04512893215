#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "dispatch/job_description.h"

// Messages between the dispatcher, the workers and the advice service,
// independent of their encoding on the wire.
namespace chivewing {

// Milliseconds on the steady clock of one incarnation of a worker.
using WorkerTimestamp = std::chrono::milliseconds;

// A worker as it has registered with the platform.
struct WorkerRegistration {
  WorkerId worker{};
  std::string service{};
  std::string address{};  // IP:PORT
  ZoneId zone{};
  std::string kind{};
  std::string rack{};
  Resources capacity{};
  bool draining = false;
  // Shortest time after which a draining worker may leave; absent if unknown.
  std::optional<std::chrono::milliseconds> leaves_after{};
  // Start of this incarnation since 1970; it differs between the incarnations
  // of one worker id.
  std::chrono::milliseconds incarnation_start{0};
};

// Identifies one run: the task and the number of its start.
struct TaskRunKey {
  TaskKey task{};
  std::uint64_t number = 0;  // rises with each start of the task

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const TaskRunKey&, const TaskRunKey&) = default;
  friend bool operator==(const TaskRunKey&, const TaskRunKey&) = default;
};

// Command to start a run.
struct StartRun {
  std::uint64_t run_id = 0;  // local to the dispatcher
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  std::string payload{};
  // The worker does not start the run later; also grants its lease until then.
  WorkerTimestamp deadline{0};
  std::uint64_t fence = 0;
  std::string saved{};            // checkpoint to resume from; may be empty
  std::string ticket{};           // from the advice service; may be empty
  bool fresh_connection = false;  // true if it must not reuse a connection
  // The incarnation that is to start the run; another one under the same id
  // must not. 0: not known.
  std::chrono::milliseconds incarnation_start{0};
  // For the log: the job row on which the start was decided, and the time since
  // the job was accepted.
  std::uint64_t job_row_version = 0;
  std::chrono::milliseconds job_age{0};
};

// How a worker has handled a command or a poll.
enum class CommandOutcome {
  kDone,              // executed, now or before
  kFenced,            // the worker has seen a higher fence
  kSuperseded,        // this or a higher run ended or was stopped there
  kDeadlineExceeded,  // received after its deadline
  kNoRoom,            // does not fit on the worker
  kTicketRefused,     // missing, expired or of another incarnation
  kUnhealthy,         // the worker is unhealthy; not executed
  kWrongIncarnation,  // the incarnation addressed has ended
  kRefused,           // malformed
  kNoResponse,        // may have been executed, or may still be
  kNotSent,           // certainly not executed
  // Not sent: no connection is known to lead to the incarnation it is meant
  // for.
  kUnverified,
};

// Response to a start, stop or pace command.
struct CommandResponse {
  CommandOutcome outcome = CommandOutcome::kNoResponse;
  std::uint64_t fence = 0;                 // of the command
  std::optional<WorkerTimestamp> clock{};  // of the worker
};

// Command to stop a run.
struct StopRun {
  std::uint64_t run_id = 0;  // 0: a run that is not in the run table
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  std::uint64_t fence = 0;
};

// Command to limit a run to a percentage of the processors of its size.
struct PaceRun {
  std::uint64_t run_id = 0;
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  int percent = 100;
  std::uint64_t fence = 0;
};

// Requests a worker's runs and their ends, and renews the worker's lease.
struct PollWorker {
  std::uint64_t poll_id = 0;
  WorkerId worker{};
  std::string address{};
  std::uint64_t fence = 0;
  std::uint64_t persisted_end = 0;  // the worker may discard ends up to it
  std::optional<WorkerTimestamp> deadline{};  // lease expiry; absent: no lease
  std::chrono::milliseconds wait{0};          // longest wait for a run to end
  bool fresh_connection = false;  // true if it must not reuse a connection
  // The incarnation whose ends persisted_end counts and whose lease is renewed;
  // another one under the same id discards no ends and is given no lease. 0:
  // not known.
  std::chrono::milliseconds incarnation_start{0};
};

// A run that a worker lists as executing.
struct ActiveRunReport {
  TaskRunKey run{};
  std::string saved{};  // newest checkpoint; may be empty
  int percent = 0;      // of its work; 100 once a long-running task is working
  // Of a long-running task the tail of its response times in ms, of any other
  // task the processors in use, in thousandths.
  double load = 0;
};

enum class RunEndReason { kDone, kFailed, kStopped, kLost, kBroken, kAlone };

// A run that has ended, as reported by its worker until the end is persisted.
struct EndedRunReport {
  std::uint64_t number = 0;  // of the end; rises within one incarnation
  TaskRunKey run{};
  RunEndReason how = RunEndReason::kStopped;
  std::string saved{};
};

// Most ends that a worker lists in one response, its oldest ones.
inline constexpr std::size_t kMaxListedEnds = 500;

// Response to PollWorker.
struct PollResponse {
  CommandOutcome outcome = CommandOutcome::kNoResponse;
  std::uint64_t fence = 0;                         // of the poll
  std::optional<WorkerTimestamp> clock{};          // of the worker
  std::chrono::milliseconds incarnation_start{0};  // 0: not reported
  std::vector<ActiveRunReport> running{};
  std::vector<EndedRunReport> ended{};

  // False if the worker may have more ends than it lists: a run in neither list
  // may have ended in any way.
  bool ListsAllRuns() const { return ended.size() < kMaxListedEnds; }
};

// Requests the advice service's verdict on which workers may run a step.
struct AdviceRequest {
  std::uint64_t request_id = 0;
  HostId advice_host{};  // the entry host that is to send it
  StepKey step{};
  std::vector<WorkerId> workers{};
  std::chrono::milliseconds timeout{0};
};

// Permission for a worker to run tasks of a step, sent along with a start.
struct WorkerTicket {
  WorkerId worker{};
  std::string ticket{};
};

// Response to AdviceRequest.
struct AdviceResponse {
  bool ok = false;                         // false if the request failed
  std::vector<WorkerTicket> approved{};    // the workers that may run the step
  std::chrono::milliseconds valid_for{0};  // lifetime of the tickets
};

}  // namespace chivewing
