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

HttpResponse SendAndWait(HttpClient& client, HttpRequest request) {
  std::promise<HttpResponse> promise;
  std::future<HttpResponse> answer = promise.get_future();
  const bool taken = client.Send(
      std::move(request),
      [&promise](HttpResponse whole) { promise.set_value(std::move(whole)); });
  if (!taken) return {.error = HttpError::kStopped};
  return answer.get();
}

std::string LoopbackUrl(int port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

HttpResponse Get(const std::string& url) { return Call("GET", url); }

HttpResponse Post(const std::string& url, const std::string& body,
                  std::vector<HttpHeader> headers) {
  return Call("POST", url, body, std::move(headers));
}

HttpResponse Call(const std::string& method, const std::string& url,
                  const std::string& body, std::vector<HttpHeader> headers) {
  return SendAndWait(SharedClient(), {.method = method,
                                      .url = url,
                                      .headers = std::move(headers),
                                      .body = body});
}

}  // namespace chivewing
