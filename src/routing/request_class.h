#pragma once

#include <chrono>
#include <cstdint>

#include "base/id.h"

namespace chivewing {

// Routing policy for the requests of one catalogue entry.
struct RequestClass {
  EntryName entry;
  OwnerId owner;
  // Entry whose instances serve these requests; empty means `entry` itself.
  // Classes with the same service compete for its slots by priority.
  EntryName service;
  // Requests with a higher priority are dispatched first.
  int priority = 0;
  // Used when the caller gives no deadline.
  std::chrono::milliseconds default_deadline{1000};
  // Longest wait for the response to one dispatch.
  std::chrono::milliseconds timeout{250};
  // Longest time that an instance runs a request, also after this host has
  // given up waiting for the response.
  std::chrono::milliseconds longest_run{1000};
  bool idempotent = true;
  // Retries allowed, as a percentage of first attempts.
  int retry_budget_percent = 10;
  // Maximum number of requests of this class that wait at one entry host.
  std::uint32_t queue_bound = 1000;
};

}  // namespace chivewing
