#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/placer_event.h"
#include "store/table.h"

namespace chivewing {

// The zone's workers, from the platform's list. A worker is confirmed gone once
// the list has shown it as gone, or has omitted it, for longer than the list's
// lag. Does no I/O; runs on the placer's thread.
class WorkerDirectory {
 public:
  void OnWorkerList(const WorkerListReceived& list);

  // Workers that are not confirmed gone.
  const std::map<WorkerId, PlatformHost>& workers() const { return workers_; }
  // Removes and returns the workers confirmed gone by `now`.
  std::vector<WorkerId> TakeRemovedWorkers(TimePoint now);
  // IP:PORT; empty if the worker is unknown.
  std::string Address(const WorkerId& worker) const;
  bool has_list() const { return has_list_; }

 private:
  std::map<WorkerId, PlatformHost> workers_;
  std::map<WorkerId, TimePoint>
      confirmed_gone_at_;  // time at which it is confirmed
  bool has_list_ = false;
};

}  // namespace chivewing
