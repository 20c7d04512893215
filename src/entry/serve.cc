#include "entry/serve.h"

#include <csignal>
#include <iostream>

#include "base/log.h"
#include "entry/entry_host.h"

namespace chivewing {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitBadInput = 2;

// Signals that ask for a planned stop, blocked in every thread.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int RunServe(const Settings& settings) {
  StartLog(settings.log_level);
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = BlockStopSignals();
  EntryHost host(settings);
  const Status started = host.Start();
  if (!started) {
    std::cerr << "chivewing: " << started.error().detail << " ("
              << Name(started.error().code) << ")\n";
    return kExitBadInput;
  }
  LogInfo(LogPart::kMain, "serving as " + settings.host.value());
  int signal = 0;
  sigwait(&signals, &signal);
  LogInfo(LogPart::kMain, "planned stop");
  host.Stop();
  LogInfo(LogPart::kMain, "stopped");
  return kExitDone;
}

}  // namespace chivewing
