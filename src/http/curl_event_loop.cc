#include "http/curl_event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>

#include "base/log.h"

namespace chivewing {
namespace {

constexpr int kEventsPerTurn = 256;

std::uint32_t EpollEvents(int interest) {
  std::uint32_t events = 0;
  if ((interest & CURL_POLL_IN) != 0) events |= EPOLLIN;
  if ((interest & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
  return events;
}

int CurlEvents(std::uint32_t events) {
  int out = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0) out |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) out |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0) out |= CURL_CSELECT_ERR;
  return out;
}

void LogFailure(const std::string& what) {
  LogError(LogPart::kHttp, what + " failed: " + std::strerror(errno));
}

}  // namespace

CurlEventLoop::CurlEventLoop()
    : multi_(curl_multi_init()),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_fd_;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event) != 0)
    LogFailure("watching the wake-up of the HTTP client");
}

CurlEventLoop::~CurlEventLoop() {
  curl_multi_cleanup(multi_);
  if (wake_fd_ >= 0) close(wake_fd_);
  if (epoll_fd_ >= 0) close(epoll_fd_);
}

void CurlEventLoop::Wake() {
  // Fails only while the counter is full, and then a wake-up is pending anyway.
  static_cast<void>(eventfd_write(wake_fd_, 1));
}

// `registered` is null until the socket is in the epoll set.
int CurlEventLoop::OnSocketChange(CURL* /*transfer*/, curl_socket_t socket,
                                  int interest, void* self, void* registered) {
  auto* const loop = static_cast<CurlEventLoop*>(self);
  if (interest == CURL_POLL_REMOVE) {
    if (registered != nullptr &&
        epoll_ctl(loop->epoll_fd_, EPOLL_CTL_DEL, socket, nullptr) != 0)
      LogFailure("ending the watch of a socket");
    return 0;
  }
  loop->Watch(socket, interest, registered != nullptr);
  return 0;
}

void CurlEventLoop::Watch(curl_socket_t socket, int interest, bool registered) {
  epoll_event event{};
  event.events = EpollEvents(interest);
  event.data.fd = socket;
  const int operation = registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(epoll_fd_, operation, socket, &event) != 0) {
    LogFailure("watching a socket");
    return;
  }
  if (!registered) curl_multi_assign(multi_, socket, this);
}

int CurlEventLoop::OnTimerChange(CURLM* /*multi*/, long timeout_ms,
                                 void* self) {
  auto* const loop = static_cast<CurlEventLoop*>(self);
  if (timeout_ms < 0) {
    loop->timer_.reset();
  } else {
    loop->timer_ = BootClock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

int CurlEventLoop::WaitTime(std::chrono::milliseconds longest_wait) const {
  if (!timer_) return static_cast<int>(longest_wait.count());
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(*timer_ - BootClock::now());
  return static_cast<int>(
      std::clamp(left, std::chrono::milliseconds(0), longest_wait).count());
}

void CurlEventLoop::RunTimer() {
  if (!timer_ || BootClock::now() < *timer_) return;
  timer_.reset();
  int running = 0;
  curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
  if (timer_) return;
  // libcurl does not announce a time anew that it has announced before, and
  // this may have been called a little before that time on libcurl's clock.
  long left_ms = -1;
  curl_multi_timeout(multi_, &left_ms);
  OnTimerChange(multi_, left_ms, this);
}

void CurlEventLoop::RunOnce(std::chrono::milliseconds longest_wait) {
  std::array<epoll_event, kEventsPerTurn> events{};
  const int count = epoll_wait(epoll_fd_, events.data(), kEventsPerTurn,
                               WaitTime(longest_wait));
  if (count < 0 && errno != EINTR) LogFailure("waiting for sockets");
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    if (event.data.fd == wake_fd_) {
      eventfd_t wakes = 0;
      eventfd_read(wake_fd_, &wakes);
      continue;
    }
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, CurlEvents(event.events),
                             &running);
  }
  // Also begins new transfers, whose timer is 0. Last, since a transfer that
  // ends here must not wait for the next socket event to be reported.
  RunTimer();
}

}  // namespace chivewing
