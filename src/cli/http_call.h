#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewing {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  std::string url{};
  std::vector<HttpHeader> headers{};
  std::string body{};
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds timeout{5000};
  bool fresh_connection = false;
  std::size_t max_answer_bytes = std::size_t{1} << 20;
};

enum class HttpFault { kNone, kConnect, kTimeout, kConnectionLost };

struct HttpAnswer {
  int status = 0;
  std::vector<HttpHeader> headers{};
  std::string body{};
  HttpFault fault = HttpFault::kNone;
  bool maybe_sent = false;

  bool ok() const { return fault == HttpFault::kNone; }
};

// Sends a request and waits for its answer.
using HttpCall = std::function<HttpAnswer(const HttpRequest&)>;

}  // namespace chivewing
