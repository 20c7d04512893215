#pragma once

#include <string>

#include "http/http_client.h"

namespace chivewing {

// Sends the request and waits for its answer.
HttpResponse SendAndWait(HttpClient& client, HttpRequest request);

// "http://127.0.0.1:PORT" followed by `path`.
std::string LoopbackUrl(int port, const std::string& path);

// One call on a client that is shared by the whole process.
HttpResponse Get(const std::string& url);
HttpResponse Post(const std::string& url, const std::string& body,
                  std::vector<HttpHeader> headers = {});
HttpResponse Call(const std::string& method, const std::string& url,
                  const std::string& body = "",
                  std::vector<HttpHeader> headers = {});

}  // namespace chivewing
