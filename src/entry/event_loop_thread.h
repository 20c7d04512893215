#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "base/ring.h"
#include "base/time.h"

namespace chivewing {

// The thread of one duty: hands the events of its ring to a handler, in order.
template <typename Event>
class EventLoopThread {
 public:
  // Handles the events, which may be none, and what is due at `now`; returns
  // when it is to be called again at the latest.
  using Handler =
      std::function<TimePoint(TimePoint now, std::vector<Event>& events)>;

  explicit EventLoopThread(std::size_t capacity) : ring_(capacity) {}
  ~EventLoopThread() { Stop(); }
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  void Start(TimeSource clock, Handler handler) {
    thread_ =
        std::thread([this, clock = std::move(clock),
                     handler = std::move(handler)] { Run(clock, handler); });
  }

  // Hands over an event; false when the ring is full or the duty has ended.
  bool TryPost(Event event) { return ring_.Push(std::move(event)); }

  // Hands over an event that must not be lost, such as the end of something
  // that this duty began; waits while the ring is full. Never called by a duty
  // that this one may wait for.
  void Post(Event event) {
    if (std::this_thread::get_id() == thread_id_.load()) {
      self_posted_.push_back(std::move(event));
      return;
    }
    // A push that is refused leaves the event as it was.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!ring_.Push(std::move(event)) && !ring_.closed()) {
      std::this_thread::yield();
    }
  }

  // Ends the thread after the events that it has taken.
  void Stop() {
    ring_.Close();
    if (thread_.joinable()) thread_.join();
  }

  std::size_t waiting() const { return ring_.size(); }
  std::size_t refused() const { return ring_.refused(); }

 private:
  void Run(const TimeSource& clock, const Handler& handler) {
    thread_id_ = std::this_thread::get_id();
    std::vector<Event> events;
    TimePoint wake = clock();
    while (!ring_.closed()) {
      events.swap(self_posted_);
      const Duration max_wait = events.empty() ? wake - clock() : Duration(0);
      ring_.PopAll(events,
                   events.empty() ? std::max(max_wait, kMinWait) : max_wait);
      wake = handler(clock(), events);
      events.clear();
    }
  }

  // Keeps a handler that is always due from spinning.
  static constexpr Duration kMinWait = std::chrono::microseconds(50);

  Ring<Event> ring_;
  std::vector<Event> self_posted_;  // posted by the duty itself
  std::thread thread_;
  std::atomic<std::thread::id> thread_id_;  // the duty's own thread
};

}  // namespace chivewing
