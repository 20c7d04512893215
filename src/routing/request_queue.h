#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <optional>

#include "base/time.h"

namespace chivewing {

// Sort key of a waiting request: higher priority first, then earlier deadline,
// then earlier arrival.
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

// Requests of one service that wait for a slot. Finds the first request and the
// number of requests ahead of a position in O(log n). Does no I/O.
class RequestQueue {
 public:
  // A `forwardable` request may still be sent to a peer.
  void Add(const QueuePosition& position, bool forwardable);
  void Remove(const QueuePosition& position);

  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }
  // Key of the first request, or of the first forwardable one.
  std::optional<std::uint64_t> First() const;
  std::optional<std::uint64_t> FirstForwardable() const;
  // Number of requests ahead of `position`.
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
