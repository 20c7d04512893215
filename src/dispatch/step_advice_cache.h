#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// Responses of the advice service for one step: the workers it has approved,
// with their tickets, and those it has rejected. A verdict holds for one
// incarnation of a worker; a ticket expires earlier. Does no I/O.
class StepAdviceCache {
 public:
  // Applies the response to a request about the workers `asked` that was sent
  // at `sent`. The workers that it does not approve count as rejected; a failed
  // response changes no verdict. Tickets for other workers are ignored.
  void OnResponse(TimePoint sent, const std::set<WorkerId>& asked,
                  const AdviceResponse& response);
  // Drops the verdict: the worker's incarnation has ended, or it refused its
  // ticket.
  void Forget(const WorkerId& worker);

  // The worker's ticket if it is still valid at `at`, otherwise nullptr.
  const std::string* FindTicket(const WorkerId& worker, TimePoint at) const;
  bool IsApproved(const WorkerId& worker) const {
    return approved_.contains(worker);
  }
  bool IsRejected(const WorkerId& worker) const {
    return rejected_.contains(worker);
  }

  struct Approval {
    std::string ticket;
    TimePoint expires;
  };
  // The approved workers; their tickets may have expired.
  const std::map<WorkerId, Approval>& approved() const { return approved_; }

  std::uint64_t pending_request_id() const {
    return pending_request_id_;
  }  // 0: none
  void set_pending_request_id(std::uint64_t request) {
    pending_request_id_ = request;
  }

 private:
  std::map<WorkerId, Approval> approved_;
  std::set<WorkerId> rejected_;
  std::uint64_t pending_request_id_ = 0;
};

}  // namespace chivewing
