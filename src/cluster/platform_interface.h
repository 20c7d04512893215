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

// What a cluster host needs of the platform that it runs on. An adapter fills
// in the hooks; it translates names and formats and decides nothing. Each hook
// with a `done` calls it exactly once, from any thread.
namespace chivewing {

// The desired state, or news of it.
struct DesiredStateUpdate {
  bool ok = false;
  bool history_lost = false;
  std::uint64_t revision = 0;           // to go on from
  std::optional<DesiredState> state{};  // absent: nothing new
};

// Registrations of workers, or changes to them.
struct WorkerListUpdate {
  bool ok = false;
  bool history_lost = false;
  std::uint64_t revision = 0;
  std::vector<WorkerRegistration> changed{};
  std::vector<WorkerId> removed{};
};

// What a caller asks for.
enum class CallerRequestKind { kSubmit, kState, kCancel, kUnknown };

struct CallerRequest {
  CallerRequestKind kind = CallerRequestKind::kUnknown;
  std::string host{};
  std::string path{};
  // How long the caller waits; none when it does not say.
  std::optional<std::chrono::milliseconds> timeout{};
};

enum class CallerResponseKind {
  kAccepted,       // the job is stored
  kState,          // the state of a job
  kWaiting,        // number of jobs that wait in a queue
  kCancelled,      // the cancel is stored
  kQueueNotFound,  // no such queue
  kJobNotFound,    // no such job
  kRetryLater,     // refused, has not and will not run: come back later
  kUnconfirmed,    // may have been stored
  kBadRequest,     // malformed
};

struct CallerResponse {
  CallerResponseKind kind = CallerResponseKind::kBadRequest;
  JobPhase state = JobPhase::kQueued;        // of kState
  std::size_t waiting = 0;                   // of kWaiting
  std::chrono::milliseconds retry_after{0};  // of kRetryLater
  std::string problem{};                     // of kBadRequest
};

struct PlatformInterface {
  TableInterface table{};

  // With `after` 0 reads what is there; otherwise waits up to `wait` for what
  // has changed since.
  std::function<void(std::uint64_t after, std::chrono::milliseconds wait,
                     std::function<void(DesiredStateUpdate)> done)>
      watch_desired_state{};
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
