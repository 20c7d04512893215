#include "entry/task_lease_renewer.h"

#include <algorithm>
#include <utility>

#include "entry/job_spec_builder.h"

namespace chivewing {
namespace {

constexpr int kRenewalsALease = 4;

}  // namespace

std::vector<WorkerRequest> TaskLeaseRenewer::Decide(TimePoint now,
                                                    const PlacerView& view) {
  if (now < next_) return {};
  next_ = now + settings_.task_lease / kRenewalsALease;
  std::map<WorkerId, WorkerRequest> calls;
  for (const auto& [id, row] : view.tasks()) {
    if (row.state == TaskRowState::kDone) continue;
    const CatalogueEntry* entry = view.catalogue().Find(row.entry);
    if (entry == nullptr || LeasesMayExpire(*entry)) continue;
    WorkerRequest& call = calls[row.worker];
    call.epoch = std::max(call.epoch, row.epoch);
    call.tasks.push_back(id);
  }
  std::vector<WorkerRequest> out;
  for (auto& [worker, call] : calls) {
    call.worker = worker;
    call.address = view.workers().Address(worker);
    if (call.address.empty()) continue;
    call.kind = WorkerRequestKind::kRenew;
    call.request_id = next_call_++;
    call.lease = settings_.task_lease;
    call.timeout = settings_.call_timeout;
    out.push_back(std::move(call));
  }
  return out;
}

}  // namespace chivewing
