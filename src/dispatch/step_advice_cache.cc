#include "dispatch/step_advice_cache.h"

namespace chivewing {

void StepAdviceCache::OnAnswer(TimePoint sent, const std::set<WorkerId>& asked,
                               const AdviceResponse& answer) {
  pending_request_id_ = 0;
  if (!answer.ok) return;
  for (const WorkerId& worker : asked) bad_.insert(worker);
  for (const WorkerTicket& ticket : answer.approved) {
    bad_.erase(ticket.worker);
    good_[ticket.worker] = Held{ticket.ticket, sent + answer.valid_for};
  }
}

void StepAdviceCache::Forget(const WorkerId& worker) {
  good_.erase(worker);
  bad_.erase(worker);
}

const std::string* StepAdviceCache::FindTicket(const WorkerId& worker,
                                               TimePoint at) const {
  const auto found = good_.find(worker);
  if (found == good_.end() || found->second.expires <= at) return nullptr;
  return &found->second.ticket;
}

}  // namespace chivewing
