#pragma once

#include <atomic>
#include <thread>

struct MHD_Daemon;

namespace chivewing {

// Owns one libmicrohttpd daemon and the thread that runs it.
//
// libmicrohttpd's own threads are not used: the library aborts the process when
// its thread and a caller's thread remove the listening socket from the epoll
// set at the same time. Here only this thread removes it.
class HttpServerLoop {
 public:
  // Takes ownership of the daemon, which must have been started without threads
  // of its own.
  explicit HttpServerLoop(MHD_Daemon* daemon);
  // Stops the thread and closes all connections of the daemon, but not the
  // listening socket.
  ~HttpServerLoop();
  HttpServerLoop(const HttpServerLoop&) = delete;
  HttpServerLoop& operator=(const HttpServerLoop&) = delete;

  // Returns true when Wake works; false when no eventfd could be opened because
  // the process is out of file descriptors.
  bool IsUsable() const { return wake_fd_ >= 0; }
  void Start();
  const MHD_Daemon* daemon() const { return daemon_; }
  // Makes the daemon process connections that have been resumed: the library
  // does not wake threads other than its own.
  void Wake();
  // Asks the thread to remove the listening socket from the epoll set; returns
  // without waiting for it.
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
