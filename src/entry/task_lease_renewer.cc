#include "entry/task_lease_renewer.h"

#include <algorithm>
#include <utility>

#include "entry/job_spec_builder.h"

namespace chivewing {
namespace {

constexpr int kRenewalsPerLease = 4;

}  // namespace

std::vector<WorkerRequest> TaskLeaseRenewer::TakeDueRenewals(
    TimePoint now, const PlacerView& view) {
  if (now < next_renewal_at_) return {};
  next_renewal_at_ = now + settings_.task_lease / kRenewalsPerLease;
  std::map<WorkerId, WorkerRequest> requests;
  for (const auto& [id, row] : view.tasks()) {
    if (row.state == TaskRowState::kDone) continue;
    const CatalogueEntry* entry = view.catalogue().Find(row.entry);
    if (entry == nullptr || LeasesMayExpire(*entry)) continue;
    WorkerRequest& request = requests[row.worker];
    request.epoch = std::max(request.epoch, row.epoch);
    request.tasks.push_back(id);
  }
  std::vector<WorkerRequest> out;
  for (auto& [worker, request] : requests) {
    request.worker = worker;
    request.address = view.workers().Address(worker);
    if (request.address.empty()) continue;
    request.kind = WorkerRequestKind::kRenew;
    request.request_id = next_request_id_++;
    request.lease = settings_.task_lease;
    request.timeout = settings_.call_timeout;
    out.push_back(std::move(request));
  }
  return out;
}

}  // namespace chivewing
