#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <optional>

#include "base/time.h"

namespace chivewing {

// Place of a waiting request: higher priority first, then earlier deadline.
struct QueuePosition {
  int priority = 0;
  TimePoint deadline;
  std::uint64_t request = 0;

  friend bool operator<(const QueuePosition& a, const QueuePosition& b) {
    if (a.priority != b.priority) return a.priority > b.priority;
    if (a.deadline != b.deadline) return a.deadline < b.deadline;
    return a.request < b.request;
  }
};

// Requests of one service that wait for a slot. Finds the first one and the
// number ahead of any position in O(log n).
class RequestQueue {
 public:
  // `forwardable` ones may still be sent to a peer.
  void Add(const QueuePosition& position, bool forwardable);
  void Remove(const QueuePosition& position);

  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }
  // Key of the first request, or of the first that may be forwarded.
  std::optional<std::uint64_t> First() const;
  std::optional<std::uint64_t> FirstForwardable() const;
  // Number of requests that go before `position`.
  std::size_t CountBefore(const QueuePosition& position) const;

 private:
  using Tree =
      __gnu_pbds::tree<QueuePosition, __gnu_pbds::null_type,
                       std::less<QueuePosition>, __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;
  Tree all_;
  Tree forwardable_;
};

}  // namespace chivewing
