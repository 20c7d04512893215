#pragma once

#include <chrono>
#include <cstdint>

#include "base/id.h"

namespace chivewing {

// How the requests of one catalogue entry are to be treated.
struct RequestClass {
  EntryName entry;
  OwnerId owner;
  // Entry whose instances serve these requests; empty means `entry` itself.
  // Classes with the same service compete for its slots by priority.
  EntryName service;
  // Higher goes first.
  int priority = 0;
  // Used when the caller gives no deadline.
  std::chrono::milliseconds default_deadline{1000};
  // Longest wait for the answer to one dispatch.
  std::chrono::milliseconds timeout{250};
  // Longest time that an instance goes on running a request, answered or not.
  std::chrono::milliseconds longest_run{1000};
  bool idempotent = true;
  // Retries allowed, as a share of first tries.
  int retry_budget_percent = 10;
  // Most requests of this class that wait at one entry host.
  std::uint32_t queue_bound = 1000;
};

}  // namespace chivewing
