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

// The zone's workers, from the platform's list. A worker counts as gone for
// certain once the list has said so, or has left it out, for longer than the
// list may lag.
class WorkerDirectory {
 public:
  void OnWorkerList(const WorkerListReceived& list);

  // Workers that are not gone for certain.
  const std::map<WorkerId, PlatformHost>& workers() const { return workers_; }
  // Takes the workers that have become gone for certain by `now`.
  std::vector<WorkerId> TakeRemovedWorkers(TimePoint now);
  // IP:PORT; empty when the worker is not known.
  std::string Address(const WorkerId& worker) const;
  bool has_list() const { return has_list_; }

 private:
  std::map<WorkerId, PlatformHost> workers_;
  std::map<WorkerId, TimePoint>
      confirmed_gone_at_;  // when that becomes certain
  bool has_list_ = false;
};

}  // namespace chivewing
