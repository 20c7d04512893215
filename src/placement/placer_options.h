#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace chivewing {

// How a worker is chosen among those on which a task fits.
enum class FitPolicy {
  kFirstFit,    // the first worker by index
  kBestFit,     // smallest sum of free fractions left over all dimensions
  kDotProduct,  // largest dot product of free resources and demand
  kBalanced,    // as kBestFit, plus a penalty for unequal processors and memory
};

// When a worker leaves quarantine.
enum class ReadmissionPolicy {
  kNever,
  kTimeout,            // after a fixed time
  kConsecutiveProbes,  // after several consecutive successful probes
};

struct HealthOptions {
  // Different jobs that fail in a row on a worker, or failures in a row of jobs
  // that succeeded elsewhere, before the worker is quarantined.
  int failures_to_quarantine = 3;
  // Different workers on which a job fails in a row before it enters backoff.
  int failed_workers_to_back_off = 3;
  // Failures in a row of a job, on any workers, before it enters backoff.
  int failures_to_back_off = 5;
  Duration initial_backoff = std::chrono::seconds(5);
  Duration max_backoff = std::chrono::minutes(10);
  // Upper bound on quarantined workers as a fraction of the live workers.
  double max_quarantined_fraction = 0.2;
  ReadmissionPolicy readmission = ReadmissionPolicy::kConsecutiveProbes;
  int probes_to_readmit = 5;
  Duration probe_interval = std::chrono::seconds(5);
  Duration quarantine_timeout = std::chrono::seconds(60);
  // A task that ran at least this long counts as a success even if it fails.
  Duration min_successful_run_time = std::chrono::seconds(60);
};

// Policy settings of a Placer. The boolean flags let tests disable a mechanism.
struct PlacerOptions {
  FitPolicy fit = FitPolicy::kBalanced;
  // When true, tasks without accelerators go to workers with accelerators only
  // if no other worker fits.
  bool avoid_accelerator_workers = true;
  // From this number of workers on, FreeResourceIndex is searched instead of
  // scanning all workers.
  std::size_t min_workers_for_index = 256;
  // A waiting batch job or gang gains one priority point per ageing step, up to
  // the limit.
  Duration ageing_step = std::chrono::minutes(1);
  int ageing_limit = 20;
  // A job with a deadline gains up to `due_points` over the `due_window` before
  // its latest start time.
  Duration due_window = std::chrono::hours(1);
  int due_points = 50;
  // Resources are reserved for a job that could not be placed for
  // `reservation_delay` (an urgent gang does not wait). Short tasks may be
  // backfilled into them until `backfill_limit` after the reservation was made.
  bool reservation = true;
  std::size_t max_reservations = 4;
  Duration reservation_delay = std::chrono::seconds(10);
  Duration backfill_limit = std::chrono::seconds(60);
  // Minimum time before the next reservation plan: for the same job, for the
  // same job after a failed plan, and for any job.
  Duration replan_interval = std::chrono::seconds(5);
  Duration failed_plan_interval = std::chrono::minutes(1);
  Duration plan_interval = std::chrono::milliseconds(200);
  bool preemption = true;
  bool enforce_quota = true;
  bool spread = true;
  // Limit on the instances of a spread service in one rack, as a multiple of an
  // even share.
  double max_rack_share = 1.25;
  // Fraction by which a task may exceed its declared size before it is
  // throttled.
  double usage_tolerance = 0.1;
  HealthOptions health;
};

}  // namespace chivewing
