#pragma once

#include <string>
#include <string_view>

#include "dispatch/job_description.h"

namespace chivewing {

// The newest desired state that this host has read. No I/O.
class DesiredStateCache {
 public:
  // Replaces the desired state if its version is newer. Returns whether it was
  // replaced.
  bool Update(DesiredState state);

  bool ready() const { return state_.version > 0; }
  const DesiredState& state() const { return state_; }
  // The queue of a request: that with the longest matching path prefix among
  // the queues of `host`, or nullptr.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;

 private:
  DesiredState state_;
};

}  // namespace chivewing
