#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "dispatch/job_description.h"

namespace chivewing {

// Limits of one job. A job beyond them could take a host down with it.
inline constexpr std::size_t kMaxStepsPerJob = 100;
inline constexpr std::size_t kMaxTasksPerJob = 10'000;  // of one occurrence
inline constexpr std::size_t kMaxOccurrences = 100'000;
inline constexpr std::chrono::hours kMaxStepEstimate{24 * 30};
inline constexpr std::chrono::hours kMaxRepeatInterval{24 * 366};
// Occurrences of one job that run at the same time; later ones wait.
inline constexpr std::size_t kMaxOpenOccurrences = 100;

// What is wrong with the job, as "MEMBER: why"; empty if nothing is.
std::string FindJobFault(const JobDescription& job);

}  // namespace chivewing
