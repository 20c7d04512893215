#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/id.h"
#include "placement/resources.h"

namespace chivewing {

// One step of a job: tasks of equal size that may start once all steps in
// `after` are done.
struct StepSpec {
  std::size_t task_count = 1;
  Resources size{};  // of one task
  std::chrono::milliseconds estimate{0};
  std::vector<std::size_t> after{};  // indices of the steps to be done before
  bool checkpoints = false;          // true if a run resumes from saved state
  bool gang = false;            // true if all tasks must run at the same time
  bool one_rack = false;        // true if the step is slower over several racks
  bool copies_allowed = false;  // true if a task may have two runs at a time
  bool long_running = false;    // true if it runs until the job is cancelled
  bool best_effort = false;     // true if it only uses idle processors
  std::string required_label{};     // kind or rack of the worker; empty: any
  std::string data_rack{};          // the step is slower on other racks
  std::size_t most_per_worker = 0;  // 0: no limit
  std::string image{};
  std::chrono::milliseconds latency_target{0};  // 0: none
  // Tasks that the scheduler may have stopped at the same time.
  std::optional<std::size_t> max_unavailable{};

  // What one task holds on its worker. Best-effort tasks hold no processors.
  Resources ResourcesHeld() const {
    Resources held = size;
    if (best_effort) held.processors_milli = 0;
    return held;
  }
};

// What a job runs: its steps, and its schedule if it repeats.
struct JobDescription {
  std::string payload{};  // passed to each task uninterpreted
  std::vector<StepSpec> steps{};
  std::size_t repeats = 0;  // occurrences; 0: one, which starts at once
  // Start of the first occurrence since 1970, and time between occurrences;
  // used if `repeats` is over 0.
  std::chrono::milliseconds first_at{0};
  std::chrono::milliseconds interval{0};
};

// Costs and limits of the advice service, which says which workers may run a
// step.
struct AdvicePolicy {
  std::chrono::microseconds decide{0};     // fixed time of each request
  std::chrono::microseconds each{0};       // added for each worker asked about
  std::chrono::milliseconds valid_for{0};  // lifetime of a ticket
};

// The policy that the jobs of one queue share.
struct Queue {
  std::string name{};
  std::string host{};  // HTTP host name of the requests for this queue
  std::string path_prefix{};
  std::string service{};         // whose workers run the tasks
  int priority = 0;              // the lowest number is scheduled first
  std::size_t max_attempts = 1;  // failed runs of a task that fail its job
  // The objective of a job is `stretch` times its critical path, plus
  // `objective`.
  double stretch = 1.0;
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds timeout{0};  // of one request of a caller
  std::optional<AdvicePolicy> advice{};  // absent: all workers may run it
};

// A service: a pool of workers.
struct Service {
  std::string name{};
  bool workers_check_room = false;  // true if workers reject what does not fit
  bool standby = false;             // true while its workers are switched off
};

// The complete configuration that the platform's operators have set.
struct DesiredState {
  std::uint64_t version = 0;
  std::vector<Queue> queues{};
  std::vector<Service> services{};
  std::size_t max_body_bytes = 262144;
};

// One task of one occurrence of a job.
struct TaskKey {
  JobId job{};
  std::size_t occurrence = 0;
  std::size_t step = 0;
  std::size_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
  friend bool operator==(const TaskKey&, const TaskKey&) = default;
};

// One step of one occurrence of a job.
struct StepKey {
  JobId job{};
  std::size_t occurrence = 0;
  std::size_t step = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const StepKey&, const StepKey&) = default;
  friend bool operator==(const StepKey&, const StepKey&) = default;
};

}  // namespace chivewing
