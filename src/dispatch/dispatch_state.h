#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/latency_histogram.h"
#include "base/time.h"
#include "dispatch/advice_request_manager.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/run_table.h"
#include "dispatch/tracked_job.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// Place of a step among those that have tasks to start: the smallest goes
// first.
struct ReadyStepKey {
  int tier = 0;  // 0: its job can still be of use in time
  int priority = 0;
  TimePoint due{};
  StepKey step{};

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const ReadyStepKey&, const ReadyStepKey&) = default;
  friend bool operator==(const ReadyStepKey&, const ReadyStepKey&) = default;
};

// Counts since the dispatcher was made.
struct DispatchCounters {
  std::uint64_t starts = 0;
  std::uint64_t start_refusals = 0;
  std::uint64_t start_retries = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;  // with their worker, or unknown there
  std::uint64_t asks = 0;
  std::uint64_t asks_failed = 0;
  std::uint64_t polls = 0;
  std::uint64_t invariant_breaches = 0;
};

// Everything that the dispatcher knows. The classes beside it change it, each
// for one kind of event.
struct DispatchState {
  DispatchOptions options{};
  std::uint64_t fence = 0;
  // Until then no other host can be dispatching. A successor takes all leases
  // of workers to end one lease after it: none is given beyond.
  TimePoint exclusive_until = TimePoint::max();
  bool fenced = false;  // a worker has seen a higher fence
  std::map<WorkerId, TrackedWorker> workers{};
  std::map<JobId, TrackedJob> jobs{};
  RunTable runs{};
  AdviceRequestManager advice{};
  std::set<ReadyStepKey> ready{};
  std::map<StepKey, ReadyStepKey> ready_keys{};
  std::set<JobId> dirty{};  // jobs whose progress row is out of date
  std::set<WorkerId>
      unsynced_workers{};  // may run tasks of an earlier dispatcher
  std::set<WorkerId> removed_workers{};  // gone for certain, their rows are not
  std::uint64_t capacity_version = 1;    // rises when room or tickets come free
  std::uint64_t last_poll = 0;
  DispatchCounters counts{};
  LatencyHistogram first_start{};  // from a job's acceptance

  TrackedWorker* FindWorker(const WorkerId& id);
  TrackedJob* FindJob(const JobId& id);
  // A worker has refused an order with this fence. Orders sent before this
  // dispatcher took its lease anew carry a lower one than it has now; their
  // refusal shows no other dispatcher.
  void OnFencedResponse(std::uint64_t command_fence);
  // The lease that an order sent at `now` may give; 0 or less: none.
  std::chrono::milliseconds GrantableLease(TimePoint now) const;
  // Tasks of a step that may run twice and whose only run is on a worker that
  // does not answer: a copy of each may be started.
  std::vector<std::size_t> TasksToCopy(const StepKey& key) const;
  void SetReady(const ReadyStepKey& key);
  void ClearReady(const StepKey& step);
  // Logs a state that must never be and counts it.
  void ReportInvariantBreach(const std::string& what);
};

}  // namespace chivewing
