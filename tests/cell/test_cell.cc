#include "cell/test_cell.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "standins/blocking_http.h"
#include "standins/free_ports.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPoll{20};
constexpr milliseconds kStartLimit{20000};
constexpr const char* kKey = "a-key-for-tests-on-loopback";

std::vector<std::string> FreeAddresses(std::size_t count) {
  std::vector<std::string> out;
  for (const std::uint16_t port : FreePorts(count)) {
    out.push_back("127.0.0.1:" + std::to_string(port));
  }
  return out;
}

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "chivewing-XXXXXX").string();
  return mkdtemp(pattern.data());
}

}  // namespace

TestCell::TestCell(const TestCellOptions& options)
    : folder_(MakeFolder()),
      platform_({.list_lag = milliseconds(200), .seed = 7}) {
  if (!platform_.Start()) std::abort();
  for (int zone = 0; zone < options.zones; ++zone) {
    for (int i = 0; i < options.workers_per_zone; ++i) {
      const std::string name = "zone-" + std::to_string(zone);
      workers_.push_back(std::make_unique<WorkerStandin>(
          WorkerStandinOptions{.id = name + "-worker-" + std::to_string(i),
                               .zone = name,
                               .rack = name + "-rack-" + std::to_string(i)}));
      if (!workers_.back()->Start()) std::abort();
      workers_.back()->Register(platform_.address());
    }
  }
  MakeHosts(options);
  for (std::size_t i = 0; i < hosts_.size(); ++i) StartHost(i);
}

TestCell::~TestCell() {
  hosts_.clear();
  workers_.clear();
  platform_.Stop();
  std::filesystem::remove_all(folder_);
}

void TestCell::MakeHosts(const TestCellOptions& options) {
  const int count = options.zones * options.hosts_per_zone;
  const std::vector<std::string> addresses =
      FreeAddresses(static_cast<std::size_t>(count) * 3);
  for (int i = 0; i < count; ++i) {
    Host host;
    host.name = "entry-" + std::to_string(i);
    host.zone = "zone-" + std::to_string(i / options.hosts_per_zone);
    host.caller = addresses.at(static_cast<std::size_t>(i) * 3);
    host.operators = addresses.at(static_cast<std::size_t>(i) * 3 + 1);
    host.peers = addresses.at(static_cast<std::size_t>(i) * 3 + 2);
    hosts_.push_back(std::move(host));
  }
  for (Host& host : hosts_) {
    const std::string path =
        Write(host.name + ".json", SettingsOf(host, options));
    host.process = std::make_unique<EntryHostProcess>(
        path, folder_ + "/" + host.name + ".log");
  }
}

std::string TestCell::SettingsOf(const Host& host,
                                 const TestCellOptions& options) const {
  Json peers = Json::array();
  for (const Host& peer : hosts_) {
    peers.push_back({{"host", peer.name},
                     {"zone", peer.zone},
                     {"address", peer.peers},
                     {"caller_address", peer.caller}});
  }
  const Json settings = {{"host", host.name},
                         {"zone", host.zone},
                         {"caller_address", host.caller},
                         {"operator_address", host.operators},
                         {"peer_address", host.peers},
                         {"shared_key", kKey},
                         {"platform",
                          {{"addresses", {platform_.address()}},
                           {"timeout_ms", 500},
                           {"poll_ms", options.poll.count()}}},
                         {"peers", peers},
                         {"lease_ms", options.lease.count()},
                         {"lease_margin_ms", 100},
                         {"task_lease_ms", options.task_lease.count()},
                         {"heartbeat_ms", 100},
                         {"peer_silence_ms", 500}};
  return settings.dump(2);
}

std::string TestCell::Write(const std::string& name,
                            const std::string& text) const {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void TestCell::StartHost(std::size_t index) {
  hosts_.at(index).process->Start();
  WaitUntil(
      [this, index] {
        return SendOperatorRequest(index, "GET", "/v1/catalogue", "").status ==
               200;
      },
      kStartLimit);
}

HttpResponse TestCell::SendOperatorRequest(std::size_t index,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body) {
  return Call(method, "http://" + hosts_.at(index).operators + path, body,
              {{"Authorization", std::string("Bearer ") + kKey}});
}

HttpResponse TestCell::SendClientRequest(std::size_t index,
                                         const std::string& method,
                                         const std::string& path,
                                         const std::string& body,
                                         std::vector<HttpHeader> headers) {
  return Call(method, "http://" + hosts_.at(index).caller + path, body,
              std::move(headers));
}

HttpResponse TestCell::Request(std::size_t index, const std::string& entry,
                               const std::string& body,
                               const std::string& key) {
  std::vector<HttpHeader> headers;
  if (!key.empty()) headers.push_back({"Idempotency-Key", key});
  return SendClientRequest(index, "POST", "/v1/requests/" + entry, body,
                           std::move(headers));
}

HttpResponse TestCell::Put(std::size_t index, const std::string& entry_json,
                           std::uint64_t version) {
  const Json entry = Json::parse(entry_json);
  const Json body = {
      {"version", version}, {"changed_by", "test"}, {"entry", entry}};
  return SendOperatorRequest(
      index, "PUT", "/v1/catalogue/" + entry.at("name").get<std::string>(),
      body.dump());
}

Json TestCell::State(std::size_t index) {
  return Json::parse(SendOperatorRequest(index, "GET", "/v1/state", "").body,
                     nullptr, false);
}

int TestCell::Placer() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_.at(i).process->is_running()) continue;
    const Json state = State(i);
    if (!state.is_object() || !state.contains("placer")) continue;
    if (state["placer"].value("lease_held", false)) return static_cast<int>(i);
  }
  return -1;
}

std::map<std::string, int> TestCell::RunCounts() {
  std::map<std::string, int> out;
  for (const auto& worker : workers_) {
    for (const auto& [id, count] : worker->ran()) out[id] += count;
  }
  return out;
}

int TestCell::MaxRunningPerInstance() {
  int most = 0;
  for (const auto& worker : workers_) {
    for (const std::string& task : worker->running()) {
      const auto target = worker->Target(task);
      if (target) most = std::max(most, target->most_running());
    }
  }
  return most;
}

std::uint64_t TestCell::Overcommits() {
  std::uint64_t sum = 0;
  for (const auto& worker : workers_) sum += worker->counts().overcommits;
  return sum;
}

int TestCell::Running(const std::string& entry) {
  int count = 0;
  for (const auto& worker : workers_) {
    for (const std::string& task : worker->running()) {
      if (task.find(":" + entry + ".") != std::string::npos) ++count;
    }
  }
  return count;
}

bool TestCell::WaitUntil(const std::function<bool()>& condition,
                         milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace chivewing
