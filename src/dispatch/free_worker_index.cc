#include "dispatch/free_worker_index.h"

#include <utility>

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
  if (known && found->second.service == service) {
    const bool grown = !Fits(free, found->second.free);
    Order& order = by_service_[service];
    auto node =
        order.extract({found->second.free.processors_milli, id, nullptr});
    node.value().free_processors_milli = free.processors_milli;
    order.insert(std::move(node));
    found->second.free = free;
    return grown;
  }
  if (known) Remove(id);
  known_[id] = {service, free, &worker};
  by_service_[service].insert({free.processors_milli, id, &worker});
  return true;
}

TrackedWorker* FreeWorkerIndex::Find(const WorkerId& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : found->second.worker;
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
