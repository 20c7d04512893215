#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "cluster/platform_interface.h"

namespace chivewing {

// Calls to workers that wait until a test completes them.
class FakeWorkerCalls {
 public:
  PlatformInterface interface() {
    PlatformInterface out;
    out.start_run = [this](const StartRun& command, auto done) {
      starts.emplace_back(command, done);
    };
    out.stop_run = [this](const StopRun& command, auto done) {
      stops.emplace_back(command, done);
    };
    out.pace_run = [this](const PaceRun& command, auto done) {
      paces.emplace_back(command, done);
    };
    out.poll_worker = [this](const PollWorker& command, auto done) {
      polls.emplace_back(command, done);
    };
    return out;
  }

  std::deque<std::pair<StartRun, std::function<void(CommandResponse)>>> starts;
  std::deque<std::pair<StopRun, std::function<void(CommandResponse)>>> stops;
  std::deque<std::pair<PaceRun, std::function<void(CommandResponse)>>> paces;
  std::deque<std::pair<PollWorker, std::function<void(PollResponse)>>> polls;
};

}  // namespace chivewing
