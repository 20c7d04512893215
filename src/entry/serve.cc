#include "entry/serve.h"

#include <csignal>
#include <iostream>

#include "base/log.h"
#include "base/signals.h"
#include "entry/entry_host.h"

namespace chivewing {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitBadInput = 2;

}  // namespace

int RunServe(const Settings& settings) {
  InitLogging(settings.log_level);
  const SignalWaiter stop{SIGTERM, SIGINT};
  EntryHost host(settings);
  const Status started = host.Start();
  if (!started) {
    std::cerr << "chivewing: " << started.error().detail << " ("
              << Name(started.error().code) << ")\n";
    return kExitBadInput;
  }
  LogInfo(LogPart::kMain, "serving as " + settings.host.value());
  stop.Wait();
  LogInfo(LogPart::kMain, "planned stop");
  host.Stop();
  LogInfo(LogPart::kMain, "stopped");
  return kExitDone;
}

}  // namespace chivewing
