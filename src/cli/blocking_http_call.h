#pragma once

#include <functional>

#include "http/http_client.h"

namespace chivewing {

// Sends a request and blocks until its response.
using BlockingHttpCall = std::function<HttpResponse(const HttpRequest&)>;

// Returns a call that uses an HttpClient of its own.
BlockingHttpCall MakeBlockingHttpCall();

}  // namespace chivewing
