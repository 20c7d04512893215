#pragma once

#include <csignal>
#include <initializer_list>

namespace chivewing {

// Blocks signals so that a thread can wait for them, and ignores SIGPIPE.
// Construct it before other threads start, so that they inherit the mask.
class SignalWaiter {
 public:
  SignalWaiter(std::initializer_list<int> signals);

  // Blocks until one of the signals arrives and returns its number.
  int Wait() const;

 private:
  sigset_t set_;
};

}  // namespace chivewing
