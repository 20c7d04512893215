#pragma once

#include <string>
#include <string_view>

#include "workers/worker_call.h"

namespace chivewing {

// Path of a call at the worker.
std::string_view PathOf(WorkerCallKind kind);

// The JSON body of a call; empty for kList.
std::string EncodeWorkerCall(const WorkerCall& call);

// Reads the answer to a call into `reply`. An answer that cannot be read counts
// as none.
void DecodeWorkerReply(WorkerCallKind kind, int http_status,
                       std::string_view body, WorkerReply& reply);

}  // namespace chivewing
