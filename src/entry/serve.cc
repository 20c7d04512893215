#include "entry/serve.h"

#include <csignal>
#include <iostream>

#include "base/log.h"
#include "base/signals.h"
#include "entry/entry_host.h"

namespace chivewing {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitStartFailed = 2;

}  // namespace

int RunServe(const Settings& settings) {
  InitLogging(settings.log_level);
  const SignalWaiter stop{SIGTERM, SIGINT};
  EntryHost host(settings);
  const Status started = host.Start();
  if (!started) {
    std::cerr << "chivewing: " << started.error().detail << " ("
              << Name(started.error().code) << ")\n";
    return kExitStartFailed;
  }
  LogInfo(LogPart::kMain, "entry host started: " + settings.host.value());
  stop.Wait();
  LogInfo(LogPart::kMain, "stop signal received; starting planned stop");
  host.Stop();
  LogInfo(LogPart::kMain, "stopped");
  return kExitSuccess;
}

}  // namespace chivewing
