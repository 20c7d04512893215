#pragma once

#include <curl/curl.h>

#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"

namespace chivewing {

// One request on a libcurl easy handle, from setup to its response. Objects are
// reused for later requests, because handles are expensive to create.
class HttpTransfer {
 public:
  // Asked before the request is written to a connection, named by its local
  // port, that has been used before.
  using MayReuse = std::function<bool(const HttpTransfer&, int local_port)>;

  explicit HttpTransfer(MayReuse may_reuse);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Sets up the handle for `request`, with `remaining` left until `deadline`.
  void Prepare(HttpRequest request, HttpClient::ResponseCallback done,
               TimePoint deadline, std::chrono::milliseconds remaining);
  // Sets up the handle again after reuse_rejected.
  void PrepareAgain(std::chrono::milliseconds remaining);
  // True if libcurl has chosen a connection that must not be reused. Nothing
  // has been written then, and the connection is closed.
  bool reuse_rejected() const { return reuse_rejected_; }
  // Local port of the connection; 0 before there is one.
  int local_port() const { return local_port_; }

  // Returns the response after libcurl has ended the transfer with `code`.
  HttpResponse TakeResponse(CURLcode code);
  // Returns the response when the client itself aborts the transfer.
  HttpResponse TakeStoppedResponse();
  HttpClient::ResponseCallback TakeDone() { return std::move(done_); }

  CURL* handle() const { return handle_; }
  const HttpRequest& request() const { return request_; }
  TimePoint deadline() const { return deadline_; }

 private:
  void SetFixedOptions();
  void SetRemaining(std::chrono::milliseconds remaining);
  void SetMethod();
  void SetHeaders();
  bool AddHeaderLine(std::string_view line);
  bool HasVerifiableLength() const;
  HttpError ToHttpError(CURLcode code) const;
  bool Admit(std::size_t bytes);
  // Returns false if nothing may be written to the connection.
  bool ChooseBody();

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static int OnConnected(void* self, char* remote_ip, char* local_ip,
                         int remote_port, int local_port);

  const MayReuse may_reuse_;
  CURL* handle_;
  curl_slist* header_list_ = nullptr;
  HttpRequest request_;
  HttpClient::ResponseCallback done_;
  TimePoint deadline_{};
  HttpResponse answer_;
  std::size_t received_ = 0;
  bool written_ = false;  // the request may have been written
  bool reused_connection_ = false;
  bool reuse_rejected_ = false;
  bool new_rejected_ = false;  // a connection opened for the request
  int local_port_ = 0;
  bool too_large_ = false;
};

}  // namespace chivewing
