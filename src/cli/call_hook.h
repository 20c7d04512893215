#pragma once

#include <functional>

#include "http/http_client.h"

namespace chivewing {

// Sends a request and waits for its answer.
using CallHook = std::function<HttpAnswer(const HttpRequest&)>;

// A call over an HttpClient of its own.
CallHook MakeCallHook();

}  // namespace chivewing
