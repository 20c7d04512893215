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

// The running instances of a zone's services, as the task rows tell them, and
// whether each may be given new work.
class InstanceDirectory {
 public:
  // What became of an instance by a changed row.
  enum class Change { kNone, kAdded, kChanged, kRemoved };

  // `row` is absent when the task's row was removed.
  Change OnTaskRow(const TaskId& task, const std::optional<TaskRow>& row,
                   const Catalogue& catalogue);

  // Workers that are leaving: their instances get nothing new.
  void set_leaving_workers(std::set<WorkerId> workers) {
    leaving_workers_ = std::move(workers);
  }

  // The instance as the router shall see it; nothing when it is not known.
  std::optional<InstanceInfo> GetInstanceInfo(const InstanceId& instance,
                                              const Catalogue& catalogue) const;

  std::vector<InstanceId> Instances() const;
  std::optional<EntryName> EntryOf(const InstanceId& instance) const;

 private:
  std::map<InstanceId, TaskRow> rows_;
  std::set<WorkerId> leaving_workers_;
};

}  // namespace chivewing
