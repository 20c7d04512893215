#include "cli/call_hook.h"

#include <future>
#include <memory>
#include <utility>

namespace chivewing {
namespace {

HttpAnswer CallAndWait(HttpClient& client, const HttpRequest& request) {
  std::promise<HttpAnswer> promise;
  std::future<HttpAnswer> answer = promise.get_future();
  const bool taken = client.Send(request, [&promise](HttpAnswer received) {
    promise.set_value(std::move(received));
  });
  if (taken) return answer.get();
  HttpAnswer refused;
  refused.fault = HttpFault::kStopped;
  return refused;
}

}  // namespace

CallHook MakeCallHook() {
  // The client starts its thread, so it is made with the first call.
  return [client = std::make_shared<std::unique_ptr<HttpClient>>()](
             const HttpRequest& request) {
    if (*client == nullptr) *client = std::make_unique<HttpClient>();
    return CallAndWait(**client, request);
  };
}

}  // namespace chivewing
