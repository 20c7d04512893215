#include "cli/blocking_http_call.h"

#include <future>
#include <memory>
#include <utility>

namespace chivewing {
namespace {

HttpResponse CallAndWait(HttpClient& client, const HttpRequest& request) {
  std::promise<HttpResponse> promise;
  std::future<HttpResponse> answer = promise.get_future();
  const bool taken = client.Send(request, [&promise](HttpResponse received) {
    promise.set_value(std::move(received));
  });
  if (taken) return answer.get();
  HttpResponse refused;
  refused.error = HttpError::kStopped;
  return refused;
}

}  // namespace

BlockingHttpCall MakeBlockingHttpCall() {
  // The client is created at the first call, because it starts a thread.
  return [client = std::make_shared<std::unique_ptr<HttpClient>>()](
             const HttpRequest& request) {
    if (*client == nullptr) *client = std::make_unique<HttpClient>();
    return CallAndWait(**client, request);
  };
}

}  // namespace chivewing
