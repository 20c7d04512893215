#include "entry/worker_directory.h"

#include <set>

namespace chivewing {

void WorkerDirectory::OnWorkerList(const WorkerListReceived& list) {
  has_list_ = true;
  std::set<WorkerId> present;
  for (const PlatformHost& host : list.workers) {
    const WorkerId id(host.id);
    if (host.state == HostState::kGone && !workers_.contains(id)) continue;
    workers_[id] = host;
    if (host.state != HostState::kGone) present.insert(id);
  }
  for (const auto& [id, host] : workers_) {
    if (present.contains(id)) {
      confirmed_gone_at_.erase(id);
    } else {
      confirmed_gone_at_.try_emplace(id, list.requested_at + list.lag);
    }
  }
}

std::vector<WorkerId> WorkerDirectory::TakeRemovedWorkers(TimePoint now) {
  std::vector<WorkerId> gone;
  for (const auto& [id, at] : confirmed_gone_at_) {
    if (now >= at) gone.push_back(id);
  }
  for (const WorkerId& id : gone) {
    confirmed_gone_at_.erase(id);
    workers_.erase(id);
  }
  return gone;
}

std::string WorkerDirectory::Address(const WorkerId& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? std::string() : found->second.address;
}

}  // namespace chivewing
