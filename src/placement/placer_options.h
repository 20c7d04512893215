#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace chivewing {

// How a worker is chosen among those with room.
enum class FitPolicy {
  kFirstFit,    // the first worker in the list
  kBestFit,     // the least room left over all dimensions
  kDotProduct,  // room aligned with the demand
  kBalanced,    // the least room left, and alike in all dimensions
};

// When a worker in quarantine takes tasks again.
enum class ReadmissionPolicy {
  kNever,
  kTimeout,            // after a fixed time
  kConsecutiveProbes,  // after several good probes in a row
};

struct HealthOptions {
  // Different jobs that fail in a row on a worker before it is set aside.
  int failures_to_quarantine = 3;
  // Workers on which a job fails in a row before the job is held back.
  int failed_workers_to_back_off = 3;
  // Failures in a row of a job, on any workers, before it is held back.
  int failures_to_back_off = 5;
  Duration initial_backoff = std::chrono::seconds(5);
  Duration max_backoff = std::chrono::minutes(10);
  // Most of the live workers that may be in quarantine.
  double max_quarantined_fraction = 0.2;
  ReadmissionPolicy readmission = ReadmissionPolicy::kConsecutiveProbes;
  int probes_to_readmit = 5;
  Duration probe_interval = std::chrono::seconds(5);
  Duration quarantine_timeout = std::chrono::seconds(60);
  // A task that ran this long counts as a success, however it ends.
  Duration min_successful_run_time = std::chrono::seconds(60);
};

// The policy of a Placer. The flags let tests switch a mechanism off.
struct PlacerOptions {
  FitPolicy fit = FitPolicy::kBalanced;
  // Keep workers with accelerators for tasks that need them.
  bool avoid_accelerator_workers = true;
  // Number of workers from which on an index is searched instead of all.
  std::size_t min_workers_for_index = 256;
  // Priority points that a waiting batch job gains a step, and at most.
  Duration ageing_step = std::chrono::minutes(1);
  int ageing_limit = 20;
  // Points gained as the latest start time of a job comes near.
  Duration due_window = std::chrono::hours(1);
  int due_points = 50;
  // How long a job finds no room before room is reserved for it (an urgent gang
  // does not wait), and how long small tasks may then still start in that room.
  bool reservation = true;
  std::size_t max_reservations = 4;
  Duration reservation_delay = std::chrono::seconds(10);
  Duration backfill_limit = std::chrono::seconds(60);
  // Least time between two plans for the same job, after a plan that failed,
  // and between any two plans.
  Duration replan_interval = std::chrono::seconds(5);
  Duration failed_plan_interval = std::chrono::minutes(1);
  Duration plan_interval = std::chrono::milliseconds(200);
  bool preemption = true;
  bool enforce_quota = true;
  bool spread = true;
  // Instances of a spread service in one rack, as a multiple of an even share.
  double max_rack_share = 1.25;
  // Share by which a task may exceed its declared size before it is throttled.
  double usage_tolerance = 0.1;
  HealthOptions health;
};

}  // namespace chivewing
