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

// One step of a job: tasks of one size that may start once the steps before it
// have ended.
struct StepSpec {
  std::size_t task_count = 1;
  Resources size{};  // of one task
  std::chrono::milliseconds estimate{0};
  std::vector<std::size_t> after{};  // earlier steps that must be done
  bool checkpoints = false;          // saves its progress
  bool gang = false;                 // works only while all tasks are present
  bool one_rack = false;             // slower when spread over racks
  bool copies_allowed = false;       // the first copy to end counts
  bool long_running = false;         // runs until the job is cancelled
  bool best_effort = false;          // uses processors that others leave unused
  std::string required_label{};      // a worker without it may not run the step
  std::string data_rack{};           // rack with the data; elsewhere slower
  std::size_t most_per_worker = 0;   // 0: no limit
  std::string image{};
  std::chrono::milliseconds latency_target{0};   // 0: none
  std::optional<std::size_t> max_unavailable{};  // stopped by us at one time
};

struct JobDescription {
  std::string payload{};  // handed to each task unread
  std::vector<StepSpec> steps{};
  std::size_t repeats = 0;                // 0: once, at once
  std::chrono::milliseconds first_at{0};  // since 1970, with repeats
  std::chrono::milliseconds interval{0};
};

// A service that says which workers may run a step.
struct AdvicePolicy {
  std::chrono::microseconds decide{0};     // each call takes this
  std::chrono::microseconds each{0};       // and this for each worker named
  std::chrono::milliseconds valid_for{0};  // a ticket holds this long
};

// A queue of jobs with one policy.
struct Queue {
  std::string name{};
  std::string host{};  // of the requests that belong to it
  std::string path_prefix{};
  std::string service{};  // whose workers run the tasks
  int priority = 0;       // 0 goes first
  std::size_t max_attempts = 1;
  double stretch = 1.0;  // objective as a multiple of the chain of work
  std::chrono::milliseconds objective{0};  // allowed on top of that
  std::chrono::milliseconds timeout{0};    // of one request of a caller
  std::optional<AdvicePolicy> advice{};
};

// A service: a pool of workers.
struct Service {
  std::string name{};
  bool workers_check_room = false;  // reject what does not fit
  bool standby = false;             // its workers are switched off
};

// What the operators ask for, in full.
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
