#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/time.h"

namespace chivewing {

// Runs functions after a delay, one at a time on its own thread. Stop()
// discards functions that have not run yet.
class TimerThread {
 public:
  TimerThread();
  ~TimerThread();
  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;

  void After(Duration delay, std::function<void()> function);
  void Stop();

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<TimePoint, std::function<void()>> due_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace chivewing
