#pragma once

#include <span>

#include "base/id.h"
#include "base/time.h"
#include "placement/effect.h"
#include "placement/indices.h"
#include "placement/job_spec.h"

namespace chivewing {

struct PlacerState;

// Handles the submission, update and cancellation of jobs for a Placer. Changes
// the shared PlacerState and appends effects; no I/O.
class JobEventHandler {
 public:
  explicit JobEventHandler(PlacerState& state) : state_(state) {}

  void Submit(TimePoint now, const JobSpec& job, Effects& effects);
  void Cancel(TimePoint now, std::span<const JobId> jobs, Effects& effects);

 private:
  void Update(TimePoint now, JobIndex index, const JobSpec& job,
              Effects& effects);
  void CancelOne(TimePoint now, JobIndex index, Effects& effects);

  PlacerState& state_;
};

}  // namespace chivewing
