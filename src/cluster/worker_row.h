#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// Rows of the workers that may have been given tasks: a new dispatcher looks
// for tasks on each of them, also when its registration has gone.
inline constexpr std::string_view kWorkerRowPrefix = "worker/";

std::string WorkerRowKey(const WorkerId& worker);
std::string EncodeWorkerRow(const WorkerRegistration& registration);
Result<WorkerRegistration> DecodeWorkerRow(const WorkerId& worker,
                                           std::string_view value);

}  // namespace chivewing
