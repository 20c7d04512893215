#pragma once

#include <atomic>
#include <thread>

struct MHD_Daemon;

namespace chivewing {

// One daemon of libmicrohttpd and the thread that runs it.
//
// The thread is ours and not the library's, because the library ends the
// process when its own thread and a caller's thread take the listening socket
// out of the epoll set at the same time. Here only this thread does so.
class HttpServerLoop {
 public:
  // Takes the daemon, which was started without a thread of its own.
  explicit HttpServerLoop(MHD_Daemon* daemon);
  // Ends the thread and closes all connections of the daemon, but not the
  // listening socket.
  ~HttpServerLoop();
  HttpServerLoop(const HttpServerLoop&) = delete;
  HttpServerLoop& operator=(const HttpServerLoop&) = delete;

  // Whether other threads can wake it; without file descriptors they cannot.
  bool IsUsable() const { return wake_fd_ >= 0; }
  void Start();
  const MHD_Daemon* daemon() const { return daemon_; }
  // Lets the daemon go on with connections that have been resumed: the library
  // does not wake a thread that is not its own.
  void Wake();
  // Takes the listening socket out of the epoll set soon.
  void StopAccepting();

 private:
  void Run();
  void WaitForWork();

  MHD_Daemon* const daemon_;
  const int wake_fd_;
  std::atomic<bool> accepting_{true};
  std::atomic<bool> ended_{false};
  bool quiesced_ = false;
  std::thread thread_;
};

}  // namespace chivewing
