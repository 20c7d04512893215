#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// Prefix of the rows of workers that may run tasks. A new dispatcher polls each
// of them for tasks, even if its registration is deleted.
inline constexpr std::string_view kWorkerRowPrefix = "worker/";

std::string WorkerRowKey(const WorkerId& worker);
std::string EncodeWorkerRow(const WorkerRegistration& registration);
Result<WorkerRegistration> DecodeWorkerRow(const WorkerId& worker,
                                           std::string_view value);

}  // namespace chivewing
