#pragma once

#include <string>

#include "http/http_client.h"

namespace chivewing {

// Sends the request and blocks until its response or error arrives.
HttpResponse SendAndWait(HttpClient& client, HttpRequest request);

// "http://127.0.0.1:PORT" followed by `path`.
std::string LoopbackUrl(int port, const std::string& path);

// Blocking requests on one HttpClient shared by the whole process.
HttpResponse Get(const std::string& url);
HttpResponse Post(const std::string& url, const std::string& body,
                  std::vector<HttpHeader> headers = {});
HttpResponse Call(const std::string& method, const std::string& url,
                  const std::string& body = "",
                  std::vector<HttpHeader> headers = {});

}  // namespace chivewing
