#include "entry/instance_directory.h"

#include <utility>

namespace chivewing {
namespace {

bool IsServing(const TaskRow& row, const Catalogue& catalogue) {
  const bool is_up = row.state == TaskRowState::kRunning ||
                     row.state == TaskRowState::kLeaving;
  if (!is_up || row.address.empty()) return false;
  const CatalogueEntry* entry = catalogue.Find(row.entry);
  // An instance whose entry was removed stays until its requests have finished.
  return entry == nullptr || AcceptsRequests(*entry);
}

}  // namespace

InstanceDirectory::Change InstanceDirectory::OnTaskRow(
    const TaskId& task, const std::optional<TaskRow>& row,
    const Catalogue& catalogue) {
  const InstanceId instance(task.value());
  const auto found = rows_.find(instance);
  const bool known = found != rows_.end();
  if (!row || !IsServing(*row, catalogue)) {
    if (!known) return Change::kNone;
    rows_.erase(found);
    return Change::kRemoved;
  }
  rows_[instance] = *row;
  return known ? Change::kChanged : Change::kAdded;
}

std::optional<InstanceInfo> InstanceDirectory::GetInstanceInfo(
    const InstanceId& instance, const Catalogue& catalogue) const {
  const auto found = rows_.find(instance);
  if (found == rows_.end()) return std::nullopt;
  const TaskRow& row = found->second;
  InstanceInfo info;
  info.id = instance;
  info.entry = row.entry;
  info.address = row.address;
  const CatalogueEntry* entry = catalogue.Find(row.entry);
  if (entry != nullptr) {
    info.slots = static_cast<std::uint32_t>(entry->limits.slots);
    info.connections = static_cast<std::uint32_t>(entry->limits.connections);
  }
  const bool blocked =
      catalogue.IsOutOfUse(SubjectKind::kTarget, instance.value()) ||
      catalogue.IsOutOfUse(SubjectKind::kWorker, row.worker.value());
  const bool leaving = entry == nullptr ||
                       row.state == TaskRowState::kLeaving ||
                       leaving_workers_.contains(row.worker);
  if (leaving) info.state = InstanceState::kLeaving;
  if (blocked) info.state = InstanceState::kBlocked;
  return info;
}

std::vector<InstanceId> InstanceDirectory::Instances() const {
  std::vector<InstanceId> out;
  for (const auto& [id, row] : rows_) out.push_back(id);
  return out;
}

std::optional<EntryName> InstanceDirectory::EntryOf(
    const InstanceId& instance) const {
  const auto found = rows_.find(instance);
  if (found == rows_.end()) return std::nullopt;
  return found->second.entry;
}

}  // namespace chivewing
