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

// What is written to the connection that has been found for a request.
enum class ConnectionUse {
  kBody,
  kBodyElsewhere,
  kNothing,  // the connection is closed, and another one is looked for
};

// A request to an HTTP server that is addressed by IP address.
struct HttpRequest {
  std::string method = "GET";
  std::string url{};  // http://IP:PORT/PATH
  std::vector<HttpHeader> headers{};
  std::string body{};
  // Called on the client's thread with the local port of the connection before
  // the request is written to it; `is_new` if it was opened for this request.
  // A request whose new connection is not to be used ends with kRejected.
  std::function<ConnectionUse(int local_port, bool is_new)> on_connection{};
  std::string body_elsewhere{};  // of the same size as `body`
  // Time limit for opening a connection.
  std::chrono::milliseconds connect_timeout{1000};
  // Time limit from Send to the end of the response, including the wait for a
  // free connection.
  std::chrono::milliseconds timeout{5000};
  // Opens a new connection instead of reusing one.
  bool force_new_connection = false;
  // A longer response, headers included, fails with kTooLarge.
  std::size_t max_response_bytes = std::size_t{1} << 20;
};

// Why no complete response was received.
enum class HttpError {
  kNone,
  kConnect,         // no connection could be opened
  kTimeout,         // no complete response within the timeout
  kConnectionLost,  // closed early, or the response is not HTTP
  kTooLarge,        // response over max_response_bytes
  kStopped,         // the client was stopped
  kRejected,        // `on_connection` has turned a new connection down
};

// Returns the snake_case name of an error, for logs and state dumps.
std::string_view Name(HttpError fault);

// The response to a request. Status, headers and body are valid only when
// `error` is kNone.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers{};  // names in lower case
  std::string body{};
  HttpError error = HttpError::kNone;
  // False only when it is certain that no byte of the request was sent.
  bool maybe_sent = false;
  // Whether the request was written to a connection opened for an earlier one.
  bool reused_connection = false;
  int local_port = 0;  // of the connection; 0 if the request was not written

  bool ok() const { return error == HttpError::kNone; }
  // Returns the value of the header with this lower-case name, or an empty
  // string.
  std::string_view Header(std::string_view name) const;
};

// Limits of an HttpClient.
struct HttpClientOptions {
  std::size_t ring_capacity = 65536;          // requests not yet accepted
  std::size_t max_connections_per_host = 64;  // per IP address and port
  std::size_t max_connections = 4096;
  // An idle connection older than this is not reused.
  std::chrono::seconds max_idle{20};
};

// Totals since construction of a client.
struct HttpClientCounters {
  std::uint64_t requests = 0;
  std::uint64_t responses = 0;
  std::uint64_t errors = 0;
  // Open connections closed instead of reused, since another one to the same
  // address had given no response in time.
  std::uint64_t connections_distrusted = 0;
  std::uint64_t bytes_sent = 0;      // bodies
  std::uint64_t bytes_received = 0;  // bodies
};

// HTTP/1.1 client that sends requests over keep-alive connections, all on one
// thread. A request is written to at most one connection: when a connection
// fails after the request may have been written, the request ends with
// kConnectionLost and is never retried. A connection whose request did not end
// with a complete response is closed, and after a timeout the others to its
// address are not reused unless they have responded since.
class HttpClient {
 public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  explicit HttpClient(HttpClientOptions options = {});
  // Ends pending requests with kStopped.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Queues the request and calls `done` exactly once, on the client's thread;
  // `done` must not block. Returns false, without calling `done`, when the ring
  // is full or the client is stopped. Thread-safe.
  bool Send(HttpRequest request, ResponseCallback done);

  // Ends pending requests with kStopped and joins the thread.
  void Stop();

  HttpClientCounters counts() const;

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace chivewing
