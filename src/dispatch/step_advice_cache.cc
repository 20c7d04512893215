#include "dispatch/step_advice_cache.h"

namespace chivewing {

void StepAdviceCache::OnResponse(TimePoint sent,
                                 const std::set<WorkerId>& asked,
                                 const AdviceResponse& response) {
  pending_request_id_ = 0;
  if (!response.ok) return;
  for (const WorkerId& worker : asked) rejected_.insert(worker);
  for (const WorkerTicket& ticket : response.approved) {
    if (rejected_.erase(ticket.worker) == 0) continue;  // not asked about
    approved_[ticket.worker] =
        Approval{ticket.ticket, sent + response.valid_for};
  }
}

void StepAdviceCache::Forget(const WorkerId& worker) {
  approved_.erase(worker);
  rejected_.erase(worker);
}

const std::string* StepAdviceCache::FindTicket(const WorkerId& worker,
                                               TimePoint at) const {
  const auto found = approved_.find(worker);
  if (found == approved_.end() || found->second.expires <= at) return nullptr;
  return &found->second.ticket;
}

}  // namespace chivewing
