#pragma once

#include <chrono>
#include <cstddef>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// Durations and limits of the dispatcher.
struct DispatchOptions {
  HostId host{};  // this entry host
  // Lease that each command grants to its worker. A long lease keeps tasks
  // running through network faults; a short one lets the tasks of a lost worker
  // restart sooner.
  std::chrono::milliseconds lease{6000};
  // Longest lease that a worker accepts, whatever a command says. A command
  // meant for an ended incarnation of a worker can grant the next incarnation
  // up to this much.
  std::chrono::milliseconds max_worker_lease{10000};
  // A worker's clock may run slower than this host's by up to this fraction.
  double clock_drift = 0.02;
  // Added to each computed lease expiry, for scheduling delays on the worker.
  std::chrono::milliseconds lease_expiry_margin{300};
  // How long the worker holds a poll while no run ends.
  std::chrono::milliseconds poll_wait{600};
  std::chrono::milliseconds poll_retry_delay{100};
  // A start command without a response is sent again after this delay, which
  // doubles with each attempt up to a limit.
  std::chrono::milliseconds start_retry_delay{250};
  // Not read: a worker counts as unresponsive from its first failed poll on.
  std::chrono::milliseconds unresponsive_timeout{1500};
  // How long the next poll of a worker waits for the ends that it has reported
  // to be written to the table.
  std::chrono::milliseconds end_persist_wait{500};
  // A ticket that expires within this time is not used, because the start
  // command still has to reach the worker.
  std::chrono::milliseconds ticket_margin{150};
  // A worker that refused a start gets no new tasks for this long.
  std::chrono::milliseconds refusal_backoff{1000};

  // The longest time, on this host's clock, that a lease of `length` can last
  // on a worker with a slow clock.
  Duration LongestOnSlowClock(std::chrono::milliseconds length) const {
    const std::chrono::duration<double, std::milli> exact = length;
    return std::chrono::ceil<Duration>(exact / (1.0 - clock_drift));
  }
};

}  // namespace chivewing
