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
  int jobs_to_quarantine = 3;
  // Workers on which a job fails in a row before the job is held back.
  int workers_to_hold_job = 3;
  // Failures in a row of a job, on any workers, before it is held back.
  int failures_to_hold_job = 5;
  Duration first_backoff = std::chrono::seconds(5);
  Duration longest_backoff = std::chrono::minutes(10);
  // Most of the live workers that may be in quarantine.
  double quarantine_share = 0.2;
  ReadmissionPolicy readmission = ReadmissionPolicy::kConsecutiveProbes;
  int good_probes = 5;
  Duration probe_interval = std::chrono::seconds(5);
  Duration timeout = std::chrono::seconds(60);
  // A task that ran this long counts as a success, however it ends.
  Duration proven_run = std::chrono::seconds(60);
};

// The policy of a Placer. The flags let tests switch a mechanism off.
struct PlacerOptions {
  FitPolicy fit = FitPolicy::kBalanced;
  // Keep workers with accelerators for tasks that need them.
  bool keep_accelerators = true;
  // Number of workers from which on an index is searched instead of all.
  std::size_t workers_to_index = 256;
  // Priority points that a waiting batch job gains a step, and at most.
  Duration ageing_step = std::chrono::minutes(1);
  int ageing_limit = 20;
  // Points gained as the latest start time of a job comes near.
  Duration due_window = std::chrono::hours(1);
  int due_points = 50;
  // How long a job finds no room before room is reserved for it (an urgent gang
  // does not wait), and how long small tasks may then still start in that room.
  bool reservation = true;
  std::size_t most_reservations = 4;
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
  double rack_share = 1.25;
  // Share by which a task may exceed its declared size before it is throttled.
  double usage_tolerance = 0.1;
  HealthOptions health;
};

}  // namespace chivewing
