#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "base/id.h"
#include "dispatch/tracked_worker.h"

namespace chivewing {

// The workers that accept tasks, by service and in the order of their free
// processors, so that the best fit for a task is found without a look at the
// full ones. Does no I/O.
class FreeWorkerIndex {
 public:
  struct Entry {
    std::int64_t free_processors_milli = 0;
    WorkerId id{};
    TrackedWorker* worker = nullptr;

    // Smallest room first; workers with equal room by id.
    friend bool operator<(const Entry& a, const Entry& b) {
      if (a.free_processors_milli != b.free_processors_milli)
        return a.free_processors_milli < b.free_processors_milli;
      return a.id < b.id;
    }
  };
  using Order = std::set<Entry>;

  // Records the worker's free resources, or drops it if it accepts no tasks.
  // Returns true if it can hold a task that it could not hold before.
  bool Update(TrackedWorker& worker, bool accepts_tasks);
  void Remove(const WorkerId& id);

  const Order& OfService(const std::string& service) const;
  // The worker if it accepts tasks, otherwise nullptr.
  TrackedWorker* Find(const WorkerId& id) const;

 private:
  struct Known {
    std::string service{};
    Resources free{};
    TrackedWorker* worker = nullptr;
  };
  std::map<std::string, Order> by_service_;
  std::unordered_map<WorkerId, Known> known_;
};

}  // namespace chivewing
