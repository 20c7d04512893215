#pragma once

#include <chrono>
#include <functional>
#include <thread>

#include "base/time.h"

// The desired state and the job that the tests of whole hosts share.
namespace chivewing::small_day {

inline constexpr const char* kDesiredState =
    R"({"version":3,"routes":[{"name":"r","host":"desk.example",
        "pathPrefix":"/jobs/","sloMs":250,"priority":0,"service":"pool",
        "maxAttempts":2,"stretch":1.5}],
        "services":[{"name":"pool"}]})";
inline constexpr const char* kDesiredStateWithAddedQueue =
    R"({"version":4,"routes":[{"name":"r","host":"desk.example",
        "pathPrefix":"/jobs/","sloMs":250,"priority":0,"service":"pool",
        "maxAttempts":2,"stretch":1.5},
        {"name":"added","host":"desk.example",
        "pathPrefix":"/added/","sloMs":250,"priority":0,"service":"pool",
        "maxAttempts":2,"stretch":1.5}],
        "services":[{"name":"pool"}]})";
inline constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":3,"cpu":500,"memMb":100,"estMs":50},
                            {"count":2,"cpu":500,"memMb":100,"estMs":50,
                             "after":[0]}]})";
inline constexpr std::size_t kTasksPerJob = 5;

// Waits until the condition holds; false if it does not within 15 s.
inline bool WaitFor(const std::function<bool()>& holds) {
  const TimePoint end = BootClock::now() + std::chrono::seconds(15);
  while (BootClock::now() < end) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace chivewing::small_day
