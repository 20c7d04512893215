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
using WorkerClock = std::chrono::milliseconds;

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
  std::chrono::milliseconds born{0};
};

// One start of a task.
struct RunName {
  TaskKey task{};
  std::uint64_t number = 0;  // rises with each start of the task

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const RunName&, const RunName&) = default;
  friend bool operator==(const RunName&, const RunName&) = default;
};

// Orders a worker to start a run.
struct StartRun {
  std::uint64_t run_id = 0;  // the dispatcher's own name of the run
  WorkerId worker{};
  std::string address{};
  RunName run{};
  std::string payload{};
  WorkerClock deadline{0};  // not started later; also the lease of the worker
  std::uint64_t fence = 0;
  std::string saved{};   // progress to resume from; may be empty
  std::string ticket{};  // of the advice service; may be empty
  bool fresh_connection = false;
};

enum class OrderOutcome {
  kDone,           // carried out, now or before
  kFenced,         // a higher fence has been seen there
  kOutdated,       // this or a higher run has ended or was stopped there
  kLate,           // after its deadline
  kNoRoom,         // does not fit there
  kTicketRefused,  // missing, expired or of another life
  kUnhealthy,      // nothing was done
  kOtherLife,      // the worker meant is gone
  kRefused,        // malformed
  kNoAnswer,       // may have been carried out, or will be
  kNotSent,        // certainly not carried out
};

// Answer to an order; the clock is that of the worker.
struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::uint64_t fence = 0;  // that the order carried
  std::optional<WorkerClock> clock{};
};

struct StopRun {
  std::uint64_t run_id = 0;  // 0: a run that the dispatcher does not keep
  WorkerId worker{};
  std::string address{};
  RunName run{};
  std::uint64_t fence = 0;
};

// Lets a run work at a share of its size.
struct PaceRun {
  std::uint64_t run_id = 0;
  WorkerId worker{};
  std::string address{};
  RunName run{};
  int percent = 100;
  std::uint64_t fence = 0;
};

// Asks a worker for its runs and their ends, and renews its lease.
struct PollWorker {
  std::uint64_t poll_id = 0;
  WorkerId worker{};
  std::string address{};
  std::uint64_t fence = 0;
  std::uint64_t settled_end = 0;  // ends up to this number may be forgotten
  std::optional<WorkerClock> deadline{};  // of the worker's lease
  std::chrono::milliseconds wait{0};      // for an end
  bool fresh_connection = false;
};

struct RunningRun {
  RunName run{};
  std::string saved{};
  int percent = 0;  // of its work; of a lasting task 100 when it is at work
  // Of a lasting task the tail of its response times in ms, of any other the
  // processors in use in thousandths.
  double load = 0;
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

struct EndedRun {
  std::uint64_t number = 0;  // of the end, rising within a life of the worker
  RunName run{};
  EndKind how = EndKind::kStopped;
  std::string saved{};
};

struct PollAnswer {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::uint64_t fence = 0;  // that the poll carried
  std::optional<WorkerClock> clock{};
  std::chrono::milliseconds born{0};  // 0: not said
  std::vector<RunningRun> running{};
  std::vector<EndedRun> ended{};
};

// Asks which of the workers may run a step.
struct AskAdvice {
  std::uint64_t ask_id = 0;
  HostId asker{};  // the entry host that is to send it
  StepKey step{};
  std::vector<WorkerId> workers{};
  std::chrono::milliseconds timeout{0};
};

struct WorkerTicket {
  WorkerId worker{};
  std::string ticket{};
};

struct AdviceAnswer {
  bool ok = false;
  std::vector<WorkerTicket> good{};
  std::chrono::milliseconds valid{0};
};

}  // namespace chivewing
