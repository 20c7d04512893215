#include "routing/request_queue.h"

namespace chivewing {

void RequestQueue::Add(const QueuePosition& position, bool forwardable) {
  all_.insert(position);
  if (forwardable) forwardable_.insert(position);
}

void RequestQueue::Remove(const QueuePosition& position) {
  all_.erase(position);
  forwardable_.erase(position);
}

std::optional<std::uint64_t> RequestQueue::First() const {
  if (all_.empty()) return std::nullopt;
  return all_.begin()->request;
}

std::optional<std::uint64_t> RequestQueue::FirstForwardable() const {
  if (forwardable_.empty()) return std::nullopt;
  return forwardable_.begin()->request;
}

std::size_t RequestQueue::CountBefore(const QueuePosition& position) const {
  return all_.order_of_key(position);
}

}  // namespace chivewing
