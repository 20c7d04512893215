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

// A thread that takes events from a bounded ring and passes them to a handler
// in the order in which they were posted; events that the handler posts to its
// own thread come first. Post and TryPost may be called from any thread.
template <typename Event>
class EventLoopThread {
 public:
  // Handles the events, possibly none, and the timers due at `now`. Returns the
  // time by which it must be called again.
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

  // Posts an event; returns false when the ring is full or the thread stopped.
  bool TryPost(Event event) { return ring_.Push(std::move(event)); }

  // Posts an event that must not be lost, such as the completion of an
  // operation that this thread started; blocks while the ring is full. After
  // Stop the event is dropped. To avoid a deadlock, it must not be called on a
  // thread that this thread may wait for.
  void Post(Event event) {
    if (std::this_thread::get_id() == thread_id_.load()) {
      self_posted_.push_back(std::move(event));
      return;
    }
    // A refused push does not move from the event.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!ring_.Push(std::move(event)) && !ring_.closed()) {
      std::this_thread::yield();
    }
  }

  // Stops the thread after it has handled the events that it already took from
  // the ring; later ones are dropped.
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

  // Keeps the loop from spinning when the handler's timers are always due.
  static constexpr Duration kMinWait = std::chrono::microseconds(50);

  Ring<Event> ring_;
  std::vector<Event> self_posted_;  // posted by the handler itself
  std::thread thread_;
  std::atomic<std::thread::id> thread_id_;
};

}  // namespace chivewing
