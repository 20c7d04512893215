#pragma once

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace chivewing {

// Bounded queue that passes items between threads: many producers, one
// consumer. Push never blocks: it rejects an item when the ring is full.
template <typename T>
class Ring {
 public:
  // `wake` is called after a push into an empty ring and after Close, to wake a
  // consumer that blocks in poll().
  explicit Ring(std::size_t capacity, std::function<void()> wake = {})
      : items_(capacity), wake_(std::move(wake)) {}

  // Appends `item`; returns false, leaving `item` untouched, when the ring is
  // full or closed.
  bool Push(T&& item) {
    bool was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) {
        ++refused_;
        return false;
      }
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (!was_empty) return true;
    ready_.notify_one();
    if (wake_) wake_();
    return true;
  }

  // Moves all queued items to the end of `out`, waiting up to `timeout` for
  // the first one.
  void PopAll(std::vector<T>& out, std::chrono::nanoseconds timeout) {
    std::unique_lock lock(mutex_);
    if (timeout.count() > 0) {
      ready_.wait_for(lock, timeout,
                      [this] { return closed_ || !items_.empty(); });
    }
    for (T& item : items_) out.push_back(std::move(item));
    items_.clear();
  }

  // Rejects all later items and wakes the consumer. Queued items stay.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
    if (wake_) wake_();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return items_.size();
  }
  // Number of items rejected since construction.
  std::size_t refused() const {
    const std::lock_guard lock(mutex_);
    return refused_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer<T> items_;
  std::function<void()> wake_;
  std::size_t refused_ = 0;
  bool closed_ = false;
};

}  // namespace chivewing
