#include "standins/blocking_http.h"

#include <future>
#include <memory>
#include <utility>

namespace chivewing {
namespace {

HttpClient& SharedClient() {
  static HttpClient client;
  return client;
}

}  // namespace

HttpAnswer SendAndWait(HttpClient& client, HttpRequest request) {
  std::promise<HttpAnswer> promise;
  std::future<HttpAnswer> answer = promise.get_future();
  const bool taken = client.Send(
      std::move(request),
      [&promise](HttpAnswer whole) { promise.set_value(std::move(whole)); });
  if (!taken) return {.fault = HttpFault::kStopped};
  return answer.get();
}

std::string LoopbackUrl(int port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

HttpAnswer Get(const std::string& url) { return Call("GET", url); }

HttpAnswer Post(const std::string& url, const std::string& body,
                std::vector<HttpHeader> headers) {
  return Call("POST", url, body, std::move(headers));
}

HttpAnswer Call(const std::string& method, const std::string& url,
                const std::string& body, std::vector<HttpHeader> headers) {
  return SendAndWait(SharedClient(), {.method = method,
                                      .url = url,
                                      .headers = std::move(headers),
                                      .body = body});
}

}  // namespace chivewing
