#pragma once

#include <string>
#include <string_view>

#include "workers/worker_request.h"

namespace chivewing {

// Path of a call at the worker.
std::string_view PathOf(WorkerRequestKind kind);

// The JSON body of a call; empty for kList.
std::string EncodeWorkerCall(const WorkerRequest& call);

// Reads the answer to a call into `reply`. An answer that cannot be read counts
// as none.
void DecodeWorkerReply(WorkerRequestKind kind, int http_status,
                       std::string_view body, WorkerResponse& reply);

}  // namespace chivewing
