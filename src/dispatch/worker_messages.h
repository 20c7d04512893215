#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "dispatch/job_description.h"

// What the dispatcher and the workers say to each other, without the wire.
namespace chivewing {

// Milliseconds on the steady clock of one life of a worker.
using WorkerTimestamp = std::chrono::milliseconds;

// What a worker has registered about itself.
struct WorkerRegistration {
  WorkerId worker{};
  std::string service{};
  std::string address{};  // IP:PORT
  ZoneId zone{};
  std::string kind{};
  std::string rack{};
  Resources capacity{};
  bool draining = false;
  // Least time until a draining worker leaves.
  std::optional<std::chrono::milliseconds> leaves_after{};
  // Start of this life of the worker since 1970; lives under one id differ.
  std::chrono::milliseconds incarnation_start{0};
};

// One start of a task.
struct TaskRunKey {
  TaskKey task{};
  std::uint64_t number = 0;  // rises with each start of the task

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const TaskRunKey&, const TaskRunKey&) = default;
  friend bool operator==(const TaskRunKey&, const TaskRunKey&) = default;
};

// Orders a worker to start a run.
struct StartRun {
  std::uint64_t run_id = 0;  // the dispatcher's own name of the run
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  std::string payload{};
  WorkerTimestamp deadline{
      0};  // not started later; also the lease of the worker
  std::uint64_t fence = 0;
  std::string saved{};   // progress to resume from; may be empty
  std::string ticket{};  // of the advice service; may be empty
  bool fresh_connection = false;
};

enum class CommandOutcome {
  kDone,              // carried out, now or before
  kFenced,            // a higher fence has been seen there
  kSuperseded,        // this or a higher run has ended or was stopped there
  kDeadlineExceeded,  // after its deadline
  kNoRoom,            // does not fit there
  kTicketRefused,     // missing, expired or of another life
  kUnhealthy,         // nothing was done
  kWrongIncarnation,  // the worker meant is gone
  kRefused,           // malformed
  kNoResponse,        // may have been carried out, or will be
  kNotSent,           // certainly not carried out
};

// Answer to an order; the clock is that of the worker.
struct CommandResponse {
  CommandOutcome outcome = CommandOutcome::kNoResponse;
  std::uint64_t fence = 0;  // that the order carried
  std::optional<WorkerTimestamp> clock{};
};

struct StopRun {
  std::uint64_t run_id = 0;  // 0: a run that the dispatcher does not keep
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  std::uint64_t fence = 0;
};

// Lets a run work at a share of its size.
struct PaceRun {
  std::uint64_t run_id = 0;
  WorkerId worker{};
  std::string address{};
  TaskRunKey run{};
  int percent = 100;
  std::uint64_t fence = 0;
};

// Asks a worker for its runs and their ends, and renews its lease.
struct PollWorker {
  std::uint64_t poll_id = 0;
  WorkerId worker{};
  std::string address{};
  std::uint64_t fence = 0;
  std::uint64_t persisted_end = 0;  // ends up to this number may be forgotten
  std::optional<WorkerTimestamp> deadline{};  // of the worker's lease
  std::chrono::milliseconds wait{0};          // for an end
  bool fresh_connection = false;
};

struct ActiveRunReport {
  TaskRunKey run{};
  std::string saved{};
  int percent = 0;  // of its work; of a lasting task 100 when it is at work
  // Of a lasting task the tail of its response times in ms, of any other the
  // processors in use in thousandths.
  double load = 0;
};

enum class RunEndReason { kDone, kFailed, kStopped, kLost, kBroken, kAlone };

struct EndedRunReport {
  std::uint64_t number = 0;  // of the end, rising within a life of the worker
  TaskRunKey run{};
  RunEndReason how = RunEndReason::kStopped;
  std::string saved{};
};

struct PollResponse {
  CommandOutcome outcome = CommandOutcome::kNoResponse;
  std::uint64_t fence = 0;  // that the poll carried
  std::optional<WorkerTimestamp> clock{};
  std::chrono::milliseconds incarnation_start{0};  // 0: not said
  std::vector<ActiveRunReport> running{};
  std::vector<EndedRunReport> ended{};
};

// Asks which of the workers may run a step.
struct AdviceRequest {
  std::uint64_t request_id = 0;
  HostId advice_host{};  // the entry host that is to send it
  StepKey step{};
  std::vector<WorkerId> workers{};
  std::chrono::milliseconds timeout{0};
};

struct WorkerTicket {
  WorkerId worker{};
  std::string ticket{};
};

struct AdviceResponse {
  bool ok = false;
  std::vector<WorkerTicket> approved{};
  std::chrono::milliseconds valid_for{0};
};

}  // namespace chivewing
