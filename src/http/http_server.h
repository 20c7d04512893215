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

// A whole request, as handed to the handler of an HttpServer.
struct HttpServerRequest {
  std::uint64_t id = 0;          // names the call in HttpServer::Respond
  std::uint64_t connection = 0;  // rises with each accepted connection
  std::string method;
  std::string path;  // decoded, without the query
  std::multimap<std::string, std::string, std::less<>> query;
  std::map<std::string, std::string, std::less<>> headers;  // lower-case names
  std::string body;

  // The value of a header (lower-case name) or of the first query argument of
  // that name; empty when there is none.
  std::string_view Header(std::string_view name) const;
  std::string_view Query(std::string_view name) const;
};

// The answer to a call.
struct HttpServerResponse {
  int status = 200;
  std::string body{};
  std::vector<HttpHeader> headers{};
  std::string content_type = "application/json";
  // When over 0, the connection is closed after this many bytes of the body,
  // while the announced length is that of the whole body. For stand-ins that
  // cut answers short.
  std::size_t truncate_body_after = 0;
};

// Where an HttpServer listens and what it lets through.
struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  // IP:PORT; port 0 takes a free one
  unsigned threads = 1;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;
  unsigned max_connections = 1024;
  // A connection is closed when this passes without a whole request from it,
  // however slowly it goes on sending.
  std::chrono::milliseconds idle_timeout{30000};
  // When set, calls need the header `Authorization: Bearer KEY`.
  std::string bearer_key{};
};

// Counts since the start of a server.
struct HttpServerCounters {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t open_connections = 0;
  std::uint64_t peak_connections = 0;  // open at the same time
  std::uint64_t calls = 0;             // handed to the handler
  std::uint64_t refused = 0;           // 401 and 413, not handed to the handler
  std::uint64_t timed_out = 0;         // connections closed by the idle timeout
  std::uint64_t bytes_received = 0;    // bodies
  std::uint64_t bytes_sent = 0;        // bodies
};

// HTTP/1.1 server. A call is handed to the handler when it is whole, and waits
// without a thread until it is answered.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServerRequest)>;

  explicit HttpServer(HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds the address and serves it. `handler` runs on the threads of the
  // server and must not block; it or any later code calls Respond for each
  // call. Fails with kAddressInUse when another socket listens there, and with
  // kBadSettings when the address is no IP:PORT of this machine.
  Status Start(Handler handler);

  // Answers a call, from any thread. An unknown or answered id is ignored.
  void Respond(std::uint64_t id, HttpServerResponse reply);

  // Closes the listening socket; open connections are still served, and closed
  // after their next answer.
  void StopAccepting();

  // Answers calls that come from now on with 503 (not run), those that the
  // handler has but did not answer with 504 (unknown), then closes all
  // connections.
  void Stop();

  // The port bound by Start.
  std::uint16_t port() const;
  HttpServerCounters counts() const;

 private:
  class Daemon;
  std::unique_ptr<Daemon> daemon_;
};

}  // namespace chivewing
