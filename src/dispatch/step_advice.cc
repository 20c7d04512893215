#include "dispatch/step_advice.h"

namespace chivewing {

void StepAdvice::OnAnswer(TimePoint sent, const std::set<WorkerId>& asked,
                          const AdviceAnswer& answer) {
  open_ask_ = 0;
  if (!answer.ok) return;
  for (const WorkerId& worker : asked) bad_.insert(worker);
  for (const WorkerTicket& ticket : answer.good) {
    bad_.erase(ticket.worker);
    good_[ticket.worker] = Held{ticket.ticket, sent + answer.valid};
  }
}

void StepAdvice::Forget(const WorkerId& worker) {
  good_.erase(worker);
  bad_.erase(worker);
}

const std::string* StepAdvice::FindTicket(const WorkerId& worker,
                                          TimePoint at) const {
  const auto found = good_.find(worker);
  if (found == good_.end() || found->second.expires <= at) return nullptr;
  return &found->second.ticket;
}

}  // namespace chivewing
