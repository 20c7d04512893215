#pragma once

#include <chrono>
#include <cstddef>

#include "base/id.h"
#include "base/time.h"

namespace chivewing {

// Times and limits of the dispatcher.
struct DispatchOptions {
  HostId host{};  // this entry host, which can ask for advice itself
  // Lease that each order gives a worker. Long leases ride out cuts, short ones
  // free the tasks of lost workers sooner.
  std::chrono::milliseconds lease{6000};
  // Longest lease that a worker grants, whatever an order says. An order for a
  // life of the worker that has ended may give its next life that much.
  std::chrono::milliseconds max_worker_lease{10000};
  // A worker's clock may run slower than ours by this share.
  double clock_drift = 0.02;
  // Added to each computed end of a lease: scheduling on the worker.
  std::chrono::milliseconds lease_expiry_margin{300};
  // How long a poll waits at the worker for an end.
  std::chrono::milliseconds poll_wait{600};
  std::chrono::milliseconds poll_retry_delay{100};
  // An order without an answer is sent again after this, then after twice it.
  std::chrono::milliseconds start_retry_delay{250};
  // A worker without an answer for this long gets no new tasks.
  std::chrono::milliseconds unresponsive_timeout{1500};
  // Ends wait this long for their row before the worker is polled again.
  std::chrono::milliseconds end_persist_wait{500};
  // Tickets this close to their end are not used: the start still has to
  // travel.
  std::chrono::milliseconds ticket_margin{150};
  // A worker that refused a start is left alone for this long.
  std::chrono::milliseconds refusal_backoff{1000};

  // The longest that a lease of this length can last on a slow clock.
  Duration LongestOnSlowClock(std::chrono::milliseconds length) const {
    const std::chrono::duration<double, std::milli> exact = length;
    return std::chrono::ceil<Duration>(exact / (1.0 - clock_drift));
  }
};

}  // namespace chivewing
