#pragma once

#include <curl/curl.h>

#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"

namespace chivewing {

// One request on a libcurl easy handle, from setup to its response. Objects are
// reused for later requests, because handles are expensive to create.
class HttpTransfer {
 public:
  HttpTransfer();
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Sets up the handle for `request`, with `remaining` left of its timeout.
  void Prepare(HttpRequest request, HttpClient::ResponseCallback done,
               std::chrono::milliseconds remaining);

  // Returns the response after libcurl has ended the transfer with `code`.
  HttpResponse TakeResponse(CURLcode code);
  // Returns the response when the client itself aborts the transfer.
  HttpResponse TakeStoppedResponse();
  HttpClient::ResponseCallback TakeDone() { return std::move(done_); }

  CURL* handle() const { return handle_; }
  const HttpRequest& request() const { return request_; }

 private:
  void SetFixedOptions();
  void SetMethod();
  void SetHeaders();
  bool AddHeaderLine(std::string_view line);
  bool HasVerifiableLength() const;
  HttpError ToHttpError(CURLcode code) const;
  bool Admit(std::size_t bytes);

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static int OnConnected(void* self, char* remote_ip, char* local_ip,
                         int remote_port, int local_port);

  CURL* handle_;
  curl_slist* header_list_ = nullptr;
  HttpRequest request_;
  HttpClient::ResponseCallback done_;
  HttpResponse answer_;
  std::size_t received_ = 0;
  bool written_ = false;  // the request may have been written
  bool reused_connection_ = false;
  bool too_large_ = false;
};

}  // namespace chivewing
