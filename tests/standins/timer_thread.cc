#include "standins/timer_thread.h"

#include <utility>

namespace chivewing {

TimerThread::TimerThread() : thread_([this] { Run(); }) {}

TimerThread::~TimerThread() { Stop(); }

void TimerThread::After(Duration delay, std::function<void()> function) {
  const std::lock_guard lock(mutex_);
  due_.emplace(BootClock::now() + delay, std::move(function));
  changed_.notify_one();
}

void TimerThread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void TimerThread::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (due_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const Duration left = due_.begin()->first - BootClock::now();
    if (left > Duration(0)) {
      changed_.wait_for(lock, left);
      continue;
    }
    const std::function<void()> function = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace chivewing
