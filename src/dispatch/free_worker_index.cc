#include "dispatch/free_worker_index.h"

namespace chivewing {

bool FreeWorkerIndex::Update(TrackedWorker& worker, bool accepts_tasks) {
  const WorkerId& id = worker.registration().worker;
  const Resources free = worker.free_resources();
  const std::string& service = worker.registration().service;
  const auto found = known_.find(id);
  const bool known = found != known_.end();
  if (!accepts_tasks) {
    if (known) Remove(id);
    return false;
  }
  if (known && found->second.service == service &&
      Fits(free, found->second.free) && Fits(found->second.free, free))
    return false;  // unchanged
  const bool grown = !known || found->second.service != service ||
                     !Fits(free, found->second.free);
  if (known) Remove(id);
  known_[id] = {service, free};
  by_service_[service].insert({free.processors_milli, id, &worker});
  return grown;
}

void FreeWorkerIndex::Remove(const WorkerId& id) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  const Known& known = found->second;
  by_service_[known.service].erase({known.free.processors_milli, id, nullptr});
  known_.erase(found);
}

const FreeWorkerIndex::Order& FreeWorkerIndex::OfService(
    const std::string& service) const {
  static const Order none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

}  // namespace chivewing
