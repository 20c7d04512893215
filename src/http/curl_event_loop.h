#pragma once

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace chivewing {

// Drives the transfers of a libcurl multi handle by socket events, so that the
// work of a turn is in proportion to the sockets that are ready, however many
// transfers are open. curl_multi_perform and curl_multi_poll instead visit
// every open transfer each time. All functions but Wake belong to one thread.
class CurlEventLoop {
 public:
  CurlEventLoop();
  // The transfers must have been removed before.
  ~CurlEventLoop();
  CurlEventLoop(const CurlEventLoop&) = delete;
  CurlEventLoop& operator=(const CurlEventLoop&) = delete;

  CURLM* multi() const { return multi_; }
  // Waits for ready sockets, a timer of libcurl, or Wake, for `longest_wait` at
  // most, and lets the transfers concerned go on.
  void RunOnce(std::chrono::milliseconds longest_wait);
  // Ends a wait of RunOnce, or the next one. Thread-safe.
  void Wake();

 private:
  static int OnSocketChange(CURL* transfer, curl_socket_t socket, int interest,
                            void* self, void* registered);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* self);
  void Watch(curl_socket_t socket, int interest, bool registered);
  int WaitTime(std::chrono::milliseconds longest_wait) const;
  void RunTimer();

  CURLM* multi_;
  int epoll_fd_;
  int wake_fd_;
  std::optional<TimePoint> timer_{};  // when libcurl wants to be called
};

}  // namespace chivewing
