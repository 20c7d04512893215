#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// What the advice service has said about one step. Which workers may run a step
// does not change during their lives; tickets expire.
class StepAdviceCache {
 public:
  // Takes the answer to a question about `asked` that was sent at `sent`.
  void OnAnswer(TimePoint sent, const std::set<WorkerId>& asked,
                const AdviceResponse& answer);
  // The worker's life has ended, or it refused its ticket.
  void Forget(const WorkerId& worker);

  // The ticket for a worker that is valid until after `at`, or nullptr.
  const std::string* FindTicket(const WorkerId& worker, TimePoint at) const;
  bool IsApproved(const WorkerId& worker) const {
    return good_.contains(worker);
  }
  bool IsBad(const WorkerId& worker) const { return bad_.contains(worker); }

  std::uint64_t pending_request_id() const {
    return pending_request_id_;
  }  // 0: none
  void set_pending_request_id(std::uint64_t ask) { pending_request_id_ = ask; }

 private:
  struct Held {
    std::string ticket;
    TimePoint expires;
  };
  std::map<WorkerId, Held> good_;
  std::set<WorkerId> bad_;
  std::uint64_t pending_request_id_ = 0;
};

}  // namespace chivewing
