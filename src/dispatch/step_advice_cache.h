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
  void OnResponse(TimePoint sent, const std::set<WorkerId>& asked,
                  const AdviceResponse& response);
  // The worker's life has ended, or it refused its ticket.
  void Forget(const WorkerId& worker);

  // The ticket for a worker that is valid until after `at`, or nullptr.
  const std::string* FindTicket(const WorkerId& worker, TimePoint at) const;
  bool IsApproved(const WorkerId& worker) const {
    return approved_.contains(worker);
  }
  bool IsRejected(const WorkerId& worker) const {
    return rejected_.contains(worker);
  }

  std::uint64_t pending_request_id() const {
    return pending_request_id_;
  }  // 0: none
  void set_pending_request_id(std::uint64_t request) {
    pending_request_id_ = request;
  }

 private:
  struct Approval {
    std::string ticket;
    TimePoint expires;
  };
  std::map<WorkerId, Approval> approved_;
  std::set<WorkerId> rejected_;
  std::uint64_t pending_request_id_ = 0;
};

}  // namespace chivewing
