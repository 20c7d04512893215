#include "http/http_server_loop.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace chivewing {
namespace {

// Largest timeout that poll() accepts.
constexpr MHD_UNSIGNED_LONG_LONG kMaxPollTimeoutMs =
    std::numeric_limits<int>::max();

}  // namespace

HttpServerLoop::HttpServerLoop(MHD_Daemon* daemon)
    : daemon_(daemon), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void HttpServerLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

HttpServerLoop::~HttpServerLoop() {
  ended_ = true;
  Wake();
  if (thread_.joinable()) thread_.join();
  // Without this, libmicrohttpd would close the listening socket, which it does
  // not own.
  if (!quiesced_) MHD_quiesce_daemon(daemon_);
  MHD_stop_daemon(daemon_);
  if (wake_fd_ >= 0) close(wake_fd_);
}

void HttpServerLoop::Wake() {
  if (wake_fd_ < 0) return;  // no eventfd: never started, see IsUsable
  // Fails only while the counter is full, and then a wake-up is pending anyway.
  static_cast<void>(eventfd_write(wake_fd_, 1));
}

void HttpServerLoop::StopAccepting() {
  accepting_ = false;
  Wake();
}

void HttpServerLoop::Run() {
  while (!ended_) {
    WaitForWork();
    MHD_run(daemon_);
    if (accepting_ || quiesced_) continue;
    MHD_quiesce_daemon(daemon_);
    quiesced_ = true;
  }
}

// Blocks until a socket of the daemon is ready, Wake is called, or the daemon's
// next timeout is due.
void HttpServerLoop::WaitForWork() {
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  int wait_ms = -1;
  if (MHD_get_timeout(daemon_, &timeout) == MHD_YES) {
    wait_ms = static_cast<int>(std::min(timeout, kMaxPollTimeoutMs));
  }
  const MHD_DaemonInfo* const info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  std::array<pollfd, 2> sockets{
      {{info->epoll_fd, POLLIN, 0}, {wake_fd_, POLLIN, 0}}};
  poll(sockets.data(), sockets.size(), wait_ms);
  if (sockets[1].revents == 0) return;
  eventfd_t wakes = 0;
  eventfd_read(wake_fd_, &wakes);
}

}  // namespace chivewing
