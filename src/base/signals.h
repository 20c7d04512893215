#pragma once

#include <csignal>
#include <initializer_list>

namespace chivewing {

// Signals that are waited for instead of interrupting a thread. To be made
// before other threads start, which then have the signals blocked as well.
class SignalWaiter {
 public:
  SignalWaiter(std::initializer_list<int> signals);

  // Returns the next of the signals that arrives.
  int Wait() const;

 private:
  sigset_t set_;
};

}  // namespace chivewing
