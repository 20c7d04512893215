#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "catalogue/catalogue.h"
#include "entry/task_row.h"
#include "routing/instance_info.h"

namespace chivewing {

// The running instances of a zone's services, derived from task rows, and
// whether each may be sent new requests. No I/O; not thread-safe.
class InstanceDirectory {
 public:
  // How a task row changed the instance.
  enum class Change { kNone, kAdded, kChanged, kRemoved };

  // Applies a changed task row; `row` is nullopt when it was deleted.
  Change OnTaskRow(const TaskId& task, const std::optional<TaskRow>& row,
                   const Catalogue& catalogue);

  // Sets the workers that are leaving; their instances get no new requests.
  void set_leaving_workers(std::set<WorkerId> workers) {
    leaving_workers_ = std::move(workers);
  }

  // The instance's limits and state for the router; nullopt when it is unknown.
  std::optional<InstanceInfo> GetInstanceInfo(const InstanceId& instance,
                                              const Catalogue& catalogue) const;

  std::vector<InstanceId> Instances() const;
  std::optional<EntryName> EntryOf(const InstanceId& instance) const;

 private:
  std::map<InstanceId, TaskRow> rows_;
  std::set<WorkerId> leaving_workers_;
};

}  // namespace chivewing
