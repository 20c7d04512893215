#include "base/signals.h"

namespace chivewing {

SignalWaiter::SignalWaiter(std::initializer_list<int> signals) {
  sigemptyset(&set_);
  for (const int signal : signals) sigaddset(&set_, signal);
  pthread_sigmask(SIG_BLOCK, &set_, nullptr);
  // A write to a closed connection then fails with EPIPE instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
}

int SignalWaiter::Wait() const {
  int signal = 0;
  sigwait(&set_, &signal);
  return signal;
}

}  // namespace chivewing
