#pragma once

#include <string>
#include <string_view>

#include "workers/worker_request.h"

namespace chivewing {

// JSON encoding of requests to a worker and decoding of its responses. No I/O.

// HTTP path of a request.
std::string_view PathOf(WorkerRequestKind kind);

// JSON body of a request; empty for kList.
std::string EncodeWorkerCall(const WorkerRequest& call);

// Decodes an HTTP response into `reply`. Its status stays kNoResponse if the
// HTTP status is unexpected or the body is malformed.
void DecodeWorkerReply(WorkerRequestKind kind, int http_status,
                       std::string_view body, WorkerResponse& reply);

}  // namespace chivewing
