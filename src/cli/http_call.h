#pragma once

#include <functional>

#include "http/http_client.h"

namespace chivewing {

// Sends a request and waits for its answer.
using HttpCall = std::function<HttpAnswer(const HttpRequest&)>;

// A call over an HttpClient of its own.
HttpCall MakeHttpCall();

}  // namespace chivewing
