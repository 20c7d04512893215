#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "http/http_header.h"

namespace chivewing {

// A complete request, as passed to the handler of an HttpServer.
struct HttpServerRequest {
  std::uint64_t id = 0;  // identifies the request in HttpServer::Respond
  std::uint64_t connection = 0;  // increases with each accepted connection
  std::string method;
  std::string path;  // decoded, without the query
  std::multimap<std::string, std::string, std::less<>> query;
  std::map<std::string, std::string, std::less<>> headers;  // lower-case names
  std::string body;

  // Return the value of the header (lower-case name) or of the first query
  // argument of that name, or an empty string.
  std::string_view Header(std::string_view name) const;
  std::string_view Query(std::string_view name) const;
};

// The response to a request.
struct HttpServerResponse {
  int status = 200;
  std::string body{};
  std::vector<HttpHeader> headers{};
  std::string content_type = "application/json";
  // When above 0, the connection is closed after this many bytes of the body,
  // while Content-Length states the full body. Used by test stand-ins that
  // truncate responses.
  std::size_t truncate_body_after = 0;
};

// Address, threads and limits of an HttpServer.
struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  // IP:PORT; port 0 takes a free one
  unsigned threads = 1;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;
  unsigned max_connections = 1024;
  // A connection is closed when it sends no complete request within this time,
  // even while bytes still arrive.
  std::chrono::milliseconds idle_timeout{30000};
  // When not empty, requests need the header `Authorization: Bearer KEY`.
  std::string bearer_key{};
};

// Totals since the start of a server.
struct HttpServerCounters {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t open_connections = 0;
  std::uint64_t peak_connections = 0;  // open at the same time
  std::uint64_t calls = 0;             // passed to the handler
  std::uint64_t refused = 0;           // 401 and 413, without the handler
  std::uint64_t timed_out = 0;         // connections closed by the idle timeout
  std::uint64_t bytes_received = 0;    // bodies
  std::uint64_t bytes_sent = 0;        // bodies
};

// HTTP/1.1 server on threads of its own. A request is passed to the handler
// once it is complete, and occupies no thread until it is responded to.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServerRequest)>;

  explicit HttpServer(HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds the address and starts the threads. `handler` runs on the threads of
  // the server and must not block; Respond must be called once for each
  // request, by the handler or later. Fails with kAddressInUse when another
  // socket listens on the address, and with kBadSettings when the address is
  // not an IP:PORT of this host.
  Status Start(Handler handler);

  // Sends the response to a request; may be called from any thread. An id that
  // is unknown or already responded to is ignored.
  void Respond(std::uint64_t id, HttpServerResponse reply);

  // Closes the listening socket. Open connections are still served, and closed
  // after their next response.
  void StopAccepting();

  // Responds with 503 (not run) to requests received from now on and with 504
  // (outcome unknown) to requests that the handler has not responded to, then
  // closes all connections.
  void Stop();

  // The TCP port bound by Start.
  std::uint16_t port() const;
  HttpServerCounters counts() const;

 private:
  class Daemon;
  std::unique_ptr<Daemon> daemon_;
};

}  // namespace chivewing
