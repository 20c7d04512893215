#include "cluster/registration_filter.h"

#include <utility>

#include "base/log.h"

namespace chivewing {

WorkerListUpdate RegistrationFilter::Filter(
    const WorkerListUpdate& update, bool is_full_list,
    const ServiceOfTracked& service_of_tracked) {
  WorkerListUpdate out = update;
  out.changed.clear();
  if (is_full_list) held_back_.clear();
  for (const WorkerId& id : update.removed) held_back_.erase(id);
  for (const WorkerRegistration& each : update.changed) {
    if (IsWorker(each, service_of_tracked)) {
      held_back_.erase(each.worker);
      out.changed.push_back(each);
      continue;
    }
    HoldBack(each);
    // The entry of a worker has been overwritten: it gets no new tasks, but
    // what runs there goes on.
    if (service_of_tracked(each.worker) != nullptr)
      out.removed.push_back(each.worker);
  }
  return out;
}

bool RegistrationFilter::IsWorker(
    const WorkerRegistration& registration,
    const ServiceOfTracked& service_of_tracked) const {
  if (IsNamed(registration.service)) return true;
  const std::string* const tracked = service_of_tracked(registration.worker);
  return tracked != nullptr && *tracked == registration.service;
}

void RegistrationFilter::HoldBack(const WorkerRegistration& registration) {
  const bool is_new =
      held_back_.insert_or_assign(registration.worker, registration).second;
  // Before the first desired state no service is named.
  if (!is_new || services_.empty()) return;
  LogWarning(LogPart::kWorker,
             "registration names a service that neither the desired state nor "
             "a job names; not using it worker=" +
                 registration.worker.value() + " service=" +
                 registration.service + " address=" + registration.address);
}

std::vector<WorkerRegistration> RegistrationFilter::TakeNamed() {
  std::vector<WorkerRegistration> out;
  std::erase_if(held_back_, [&](const auto& entry) {
    if (!IsNamed(entry.second.service)) return false;
    out.push_back(entry.second);
    return true;
  });
  return out;
}

void RegistrationFilter::Reset() {
  job_services_.clear();
  held_back_.clear();
}

}  // namespace chivewing
