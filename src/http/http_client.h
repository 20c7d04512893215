#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_header.h"

namespace chivewing {

// A request to an HTTP server that is addressed by IP number.
struct HttpRequest {
  std::string method = "GET";
  std::string url{};  // http://IP:PORT/PATH
  std::vector<HttpHeader> headers{};
  std::string body{};
  // Longest time to open a connection.
  std::chrono::milliseconds connect_timeout{1000};
  // Longest time from Send to the end of the answer, waiting for a free
  // connection included.
  std::chrono::milliseconds timeout{5000};
  // Opens a new connection instead of reusing one.
  bool force_new_connection = false;
  // A longer answer, headers included, is given up with kTooLarge.
  std::size_t max_response_bytes = std::size_t{1} << 20;
};

// What stood in the way of a whole answer.
enum class HttpError {
  kNone,
  kConnect,         // no connection could be opened
  kTimeout,         // no whole answer within the timeout
  kConnectionLost,  // closed, or sent what is not HTTP, before the whole answer
  kTooLarge,        // the answer is over the limit of the request
  kStopped,         // the client was stopped
};

// The snake_case name of a fault, for logs and dumps.
std::string_view Name(HttpError fault);

// The answer to a request; status, headers and body count only with kNone.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers{};  // names in lower case
  std::string body{};
  HttpError error = HttpError::kNone;
  // False only when it is certain that no byte of the request was sent.
  bool maybe_sent = false;

  bool ok() const { return error == HttpError::kNone; }
  // The value of the header with this lower-case name, or an empty string.
  std::string_view Header(std::string_view name) const;
};

// Limits of an HttpClient.
struct HttpClientOptions {
  std::size_t ring_capacity = 65536;          // requests not yet taken up
  std::size_t max_connections_per_host = 64;  // per IP number and port
  std::size_t max_connections = 4096;
  // An idle connection older than this is not used again.
  std::chrono::seconds max_idle{20};
};

// Counts since the start of a client.
struct HttpClientCounters {
  std::uint64_t requests = 0;
  std::uint64_t responses = 0;
  std::uint64_t errors = 0;
  std::uint64_t bytes_sent = 0;      // bodies
  std::uint64_t bytes_received = 0;  // bodies
};

// Sends requests over kept-alive connections, all on one thread. A request is
// written to at most one connection: a connection that dies after the request
// may have been written gives kConnectionLost, never a silent second try. A
// connection whose request did not end with a whole answer is closed.
class HttpClient {
 public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  explicit HttpClient(HttpClientOptions options = {});
  // Ends open requests with kStopped.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Takes up the request and calls `done` exactly once, on the client's
  // thread; `done` must not block. Returns false, without any call, when the
  // ring is full or the client is stopped.
  bool Send(HttpRequest request, ResponseCallback done);

  // Ends open requests with kStopped and joins the thread.
  void Stop();

  HttpClientCounters counts() const;

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace chivewing
