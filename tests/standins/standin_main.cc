// Command-line program that runs the stand-ins for external systems: `standin
// platform`, `standin worker` and `standin target` print one JSON line with the
// addresses they listen on, and exit with status 0 on SIGTERM or SIGINT.
// `standin ports` prints free ports.

#include <getopt.h>
#include <pthread.h>

#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "standins/free_ports.h"
#include "standins/platform_standin.h"
#include "standins/target_standin.h"
#include "standins/worker_standin.h"

namespace {

using std::chrono::milliseconds;

constexpr int kBadUsage = 2;
constexpr int kWorkersPerRack = 8;
constexpr milliseconds kRegisterPause{200};

constexpr char kUsage[] =
    "usage: standin platform [--listen IP:PORT] [--list-lag-ms N] [--seed N]\n"
    "       standin worker [--listen IP:PORT] [--platform IP:PORT] [--id ID]\n"
    "           [--zone ZONE] [--rack RACK] [--processors-milli N]\n"
    "           [--memory-mb N] [--accelerators N] [--count N]\n"
    "       standin target [--listen IP:PORT] [--id ID] [--slots N]\n"
    "       standin ports [--count N]\n";

using Options = std::map<std::string, std::string>;

constexpr option kLongOptions[] = {
    {"listen", required_argument, nullptr, 0},
    {"platform", required_argument, nullptr, 0},
    {"id", required_argument, nullptr, 0},
    {"zone", required_argument, nullptr, 0},
    {"rack", required_argument, nullptr, 0},
    {"processors-milli", required_argument, nullptr, 0},
    {"memory-mb", required_argument, nullptr, 0},
    {"accelerators", required_argument, nullptr, 0},
    {"count", required_argument, nullptr, 0},
    {"slots", required_argument, nullptr, 0},
    {"seed", required_argument, nullptr, 0},
    {"list-lag-ms", required_argument, nullptr, 0},
    {nullptr, 0, nullptr, 0}};

bool ParseOptions(int count, char** arguments, Options& options) {
  int index = 0;
  while (true) {
    const int found = getopt_long(count, arguments, "", kLongOptions, &index);
    if (found == -1) return optind == count;
    if (found != 0) return false;
    options[kLongOptions[index].name] = optarg;
  }
}

std::string Text(const Options& options, const std::string& name,
                 const std::string& otherwise) {
  const auto found = options.find(name);
  return found == options.end() ? otherwise : found->second;
}

std::int64_t Number(const Options& options, const std::string& name,
                    std::int64_t otherwise) {
  const auto found = options.find(name);
  return found == options.end() ? otherwise : std::atoll(found->second.c_str());
}

void WaitForStopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

// Called before any thread starts: threads inherit the mask, so that only
// WaitForStopSignal receives the signals.
void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Fail(const chivewing::Status& status) {
  std::cerr << "standin: " << status.error().detail << "\n";
  return kBadUsage;
}

int RunPlatform(const Options& options) {
  chivewing::PlatformStandin platform(
      {.listen = Text(options, "listen", "127.0.0.1:0"),
       .list_lag = milliseconds(Number(options, "list-lag-ms", 0)),
       .seed = static_cast<std::uint64_t>(Number(options, "seed", 1))});
  const chivewing::Status started = platform.Start();
  if (!started) return Fail(started);
  std::cout << R"({"verb":"platform","address":")" << platform.address()
            << "\"}" << std::endl;
  WaitForStopSignal();
  return 0;
}

// Prints free ports, one per line.
int RunPorts(const Options& options) {
  const auto count = static_cast<std::size_t>(Number(options, "count", 1));
  for (const std::uint16_t port : chivewing::FreePorts(count)) {
    std::cout << port << "\n";
  }
  return 0;
}

int RunTarget(const Options& options) {
  chivewing::TargetStandin target(
      {.listen = Text(options, "listen", "127.0.0.1:0"),
       .instance = Text(options, "id", "target"),
       .slots = static_cast<int>(Number(options, "slots", 8))});
  const chivewing::Status started = target.Start();
  if (!started) return Fail(started);
  std::cout << R"({"verb":"target","address":")" << target.address() << "\"}"
            << std::endl;
  WaitForStopSignal();
  return 0;
}

// Options of worker `index` of `count`: ports are consecutive from the given
// one, and each rack holds kWorkersPerRack workers.
chivewing::WorkerStandinOptions WorkerOptions(const Options& options, int index,
                                              int count) {
  chivewing::WorkerStandinOptions out;
  out.listen = Text(options, "listen", out.listen);
  out.id = Text(options, "id", out.id);
  out.zone = Text(options, "zone", out.zone);
  out.rack = Text(options, "rack", out.rack);
  out.processors_milli =
      Number(options, "processors-milli", out.processors_milli);
  out.memory_mb = Number(options, "memory-mb", out.memory_mb);
  out.accelerators = Number(options, "accelerators", out.accelerators);
  if (count == 1) return out;
  out.id += "-" + std::to_string(index + 1);
  out.rack += "-" + std::to_string(index / kWorkersPerRack + 1);
  const auto colon = out.listen.rfind(':') + 1;
  const int port = std::atoi(out.listen.c_str() + colon);
  if (port != 0) {
    out.listen = out.listen.substr(0, colon) + std::to_string(port + index);
  }
  return out;
}

using Workers = std::vector<std::unique_ptr<chivewing::WorkerStandin>>;

void PrintWorkers(const Workers& workers) {
  std::cout << R"({"verb":"worker","workers":[)";
  const char* separator = "";
  for (const auto& worker : workers) {
    std::cout << separator << R"({"id":")" << worker->id() << R"(","address":")"
              << worker->address() << "\"}";
    separator = ",";
  }
  std::cout << "]}" << std::endl;
}

void RegisterAll(const Workers& workers, const std::string& platform,
                 const std::atomic<bool>& stopping) {
  for (const auto& worker : workers) {
    while (!stopping && !worker->Register(platform)) {
      std::this_thread::sleep_for(kRegisterPause);
    }
  }
}

int RunWorkers(const Options& options) {
  const int count = static_cast<int>(Number(options, "count", 1));
  Workers workers;
  for (int index = 0; index < count; ++index) {
    workers.push_back(std::make_unique<chivewing::WorkerStandin>(
        WorkerOptions(options, index, count)));
    const chivewing::Status started = workers.back()->Start();
    if (!started) return Fail(started);
  }
  PrintWorkers(workers);
  const std::string platform = Text(options, "platform", "");
  std::atomic<bool> stopping = false;
  std::thread registering;
  if (!platform.empty()) {
    registering =
        std::thread([&] { RegisterAll(workers, platform, stopping); });
  }
  WaitForStopSignal();
  stopping = true;
  if (registering.joinable()) registering.join();
  for (const auto& worker : workers) {
    if (!platform.empty()) worker->Unregister(platform);
    worker->Stop();
  }
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  const std::string_view verb = count > 1 ? arguments[1] : "";
  Options options;
  if (count < 2 || !ParseOptions(count - 1, arguments + 1, options)) {
    std::cerr << kUsage;
    return kBadUsage;
  }
  BlockStopSignals();
  if (verb == "platform") return RunPlatform(options);
  if (verb == "worker") return RunWorkers(options);
  if (verb == "target") return RunTarget(options);
  if (verb == "ports") return RunPorts(options);
  std::cerr << kUsage;
  return kBadUsage;
}
