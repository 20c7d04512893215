#pragma once

#include <functional>

#include "http/http_client.h"

namespace chivewing {

// Sends a request and waits for its answer.
using BlockingHttpCall = std::function<HttpResponse(const HttpRequest&)>;

// A call over an HttpClient of its own.
BlockingHttpCall MakeBlockingHttpCall();

}  // namespace chivewing
