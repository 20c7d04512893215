#pragma once

#include <string>
#include <string_view>

#include "dispatch/job_description.h"

namespace chivewing {

// The desired state in force at this host.
class DesiredStateCache {
 public:
  // Takes a desired state; an older version than the one in force is ignored.
  // Returns whether it is in force now.
  bool Update(DesiredState state);

  bool ready() const { return state_.version > 0; }
  const DesiredState& state() const { return state_; }
  // The queue of a request: the longest path prefix of its host, or nullptr.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;

 private:
  DesiredState state_;
};

}  // namespace chivewing
