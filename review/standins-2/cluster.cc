#include "cluster.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "clock.h"
#include "http/http_client.h"
#include "standins/blocking_http.h"
#include "standins/free_ports.h"

namespace review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kService = "notice-desk";
constexpr const char* kRouteHost = "desk.example";
constexpr const char* kPrefix = "/checks/";
constexpr int kTries = 5;  // the first one and four retries
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kHeartbeat{1500};

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

chivewing::HttpResponse CallHost(const std::string& method,
                                 const std::string& address,
                                 const std::string& path,
                                 const std::string& body) {
  static chivewing::HttpClient client;
  chivewing::HttpRequest request;
  request.method = method;
  request.url = "http://" + address + path;
  request.headers = {{"Host", kRouteHost},
                     {"Content-Type", "application/json"},
                     {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
  request.body = body;
  request.timeout = kDeadline;
  return chivewing::SendAndWait(client, std::move(request));
}

}  // namespace

Cluster::Cluster(std::string program, std::string folder, std::string record)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      record_path_(std::move(record)),
      record_(record_path_) {}

Cluster::~Cluster() { Finish(); }

pid_t Cluster::Spawn(const std::vector<std::string>& arguments,
                     const std::string& log) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  std::vector<char*> words;
  for (const std::string& word : arguments)
    words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  execv(words[0], words.data());
  _exit(127);
}

void Cluster::Kill(pid_t& pid) {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = 0;
}

void Cluster::Note(const std::string& line) {
  record_ << WallMs() << " " << line << std::endl;
}

void Cluster::StartStore() {
  store_ = Loopback(chivewing::FreePorts(1).front());
  store_pid_ = Spawn({program_, "store", store_}, folder_ + "/store.log");
  const Json route = {{"name", "checks"},      {"host", kRouteHost},
                      {"pathPrefix", kPrefix}, {"kind", "non_idempotent"},
                      {"timeoutMs", 3000},     {"sloMs", 250},
                      {"priority", 0},         {"service", kService},
                      {"maxAttempts", 2},      {"stretch", 1.5}};
  const Json state = {
      {"version", 1},
      {"routes", {route}},
      {"services", {{{"name", kService}, {"admissionCheck", false}}}},
      {"limits", {{"maxBodyBytes", 262144}}}};
  const Json row = {
      {"table", "op"}, {"key", "config"}, {"value", state.dump()}};
  for (int i = 0; i < 100; ++i) {
    const auto put =
        chivewing::Post("http://" + store_ + "/standin/put", row.dump());
    if (put.ok()) return;
    std::this_thread::sleep_for(milliseconds(50));
  }
}

std::string Cluster::HostLog(std::size_t index) const {
  return folder_ + "/host-" + std::to_string(index) + ".log";
}

std::string Cluster::MinionLog(std::size_t index) const {
  return folder_ + "/minion-" + std::to_string(index) + ".events";
}

void Cluster::StartHosts(std::size_t count) {
  const auto ports = chivewing::FreePorts(4 * count);
  for (std::size_t i = 0; i < count; ++i) {
    Host host;
    host.front = Loopback(ports[4 * i]);
    host.ready = Loopback(ports[4 * i + 1]);
    host.peer = Loopback(ports[4 * i + 2]);
    const Json settings = {{"host", "front-" + std::to_string(i)},
                           {"zone", i % 2 == 0 ? "nbi-a" : "nbi-b"},
                           {"caller_address", host.front},
                           {"ready_address", host.ready},
                           {"peer_address", host.peer},
                           {"metrics_address", Loopback(ports[4 * i + 3])},
                           {"store_address", store_},
                           {"processor_share", 0.25},
                           {"processor_cores", 1},
                           {"longest_lease_ms", 10000}};
    std::ofstream(folder_ + "/host-" + std::to_string(i) + ".json")
        << settings.dump(1);
    hosts_.push_back(host);
    StartHost(i);
  }
}

void Cluster::StartHost(std::size_t index) {
  hosts_[index].pid =
      Spawn({"target/chivewing", "serve-cluster", "--settings",
             folder_ + "/host-" + std::to_string(index) + ".json"},
            HostLog(index));
}

void Cluster::KillHost(std::size_t index) {
  Note("kill host front-" + std::to_string(index));
  Kill(hosts_[index].pid);
}

void Cluster::StartMinions(std::size_t count, bool with_proxies) {
  const auto ports = chivewing::FreePorts(2 * count);
  for (std::size_t i = 0; i < count; ++i) {
    MinionProcess minion;
    minion.listen = Loopback(ports[2 * i]);
    minion.address = with_proxies ? Loopback(ports[2 * i + 1]) : minion.listen;
    if (with_proxies) {
      minion.proxy = Spawn({program_, "proxy", minion.address, minion.listen},
                           folder_ + "/proxy.log");
    }
    minions_.push_back(minion);
    StartMinion(i);
  }
}

void Cluster::CutMinion(std::size_t index, bool cut) {
  Note(std::string(cut ? "cut" : "heal") + " minion m-" +
       std::to_string(index));
  kill(minions_[index].proxy, cut ? SIGSTOP : SIGCONT);
}

void Cluster::KeepEntry(const std::string& key, const std::string& value) {
  Note("another writer begins to put servers/" + key + " " + value);
  const Json row = {{"table", "servers"}, {"key", key}, {"value", value}};
  const std::string url = "http://" + store_ + "/standin/put";
  chivewing::Post(url, row.dump());
  writer_ = std::jthread([url, row](const std::stop_token& stop) {
    auto next = std::chrono::steady_clock::now() + kHeartbeat;
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(milliseconds(20));
      if (std::chrono::steady_clock::now() < next) continue;
      next += kHeartbeat;
      chivewing::Post(url, row.dump());
    }
  });
}

void Cluster::StartMinion(std::size_t index) {
  Note("start minion m-" + std::to_string(index));
  MinionProcess& minion = minions_[index];
  minion.pid = Spawn(
      {program_, "minion", "m-" + std::to_string(index), minion.listen,
       minion.address, store_, kService, index % 2 == 0 ? "nbi-a" : "nbi-b",
       "r1-" + std::to_string(index % 2), MinionLog(index)},
      folder_ + "/minion-" + std::to_string(index) + ".log");
}

void Cluster::KillMinion(std::size_t index) {
  Note("kill minion m-" + std::to_string(index));
  Kill(minions_[index].pid);
  kills_.push_back({WallMs(), "m-" + std::to_string(index), "killed", "", 0});
}

bool Cluster::AwaitReady(std::int64_t timeout_ms) {
  const std::int64_t until = SteadyMs() + timeout_ms;
  while (SteadyMs() < until) {
    const bool ready =
        std::all_of(hosts_.begin(), hosts_.end(), [](const Host& host) {
          const auto answer = chivewing::Get("http://" + host.ready + "/ready");
          return answer.ok() && answer.status == 200;
        });
    if (ready && DispatchingHost()) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

std::optional<std::size_t> Cluster::DispatchingHost() const {
  std::optional<std::size_t> found;
  int newest = 0;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    std::ifstream log(HostLog(i));
    for (std::string line; std::getline(log, line);) {
      const auto at = line.find("started dispatching fence=");
      if (at == std::string::npos) continue;
      const int fence = std::stoi(line.substr(line.find('=', at) + 1));
      if (fence > newest) found = i;
      newest = std::max(newest, fence);
    }
  }
  return found;
}

std::map<std::string, int> Cluster::RunningTasks() const {
  std::map<std::string, int> running;
  for (const MinionEvent& event : Events()) {
    if (event.what == "killed") {
      running[event.minion] = 0;
    } else {
      running[event.minion] += event.what == "start" ? 1 : -1;
    }
  }
  return running;
}

std::vector<std::string> Cluster::MinionIds() const {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < minions_.size(); ++i)
    ids.push_back("m-" + std::to_string(i));
  return ids;
}

std::optional<std::size_t> Cluster::BusyMinion() const {
  std::map<std::string, int> running = RunningTasks();
  for (std::size_t i = 0; i < minions_.size(); ++i) {
    if (minions_[i].pid > 0 && running["m-" + std::to_string(i)] > 0) return i;
  }
  return std::nullopt;
}

bool Cluster::Submit(const std::string& id, const std::string& spec,
                     const StepOf& step) {
  Json task = {{"count", step.count},
               {"cpu", step.cpu},
               {"memMb", step.mem_mb},
               {"estMs", step.est_ms}};
  if (step.lasts) task["daemon"] = true;
  const std::string body =
      Json({{"spec", spec}, {"steps", {std::move(task)}}}).dump();
  for (int i = 0; i < kTries; ++i) {
    const Host& host = hosts_[next_host_++ % hosts_.size()];
    Note("client POST " + id + " to " + host.front +
         " tasks=" + std::to_string(step.count) + " spec=" + spec);
    const auto answer = CallHost("POST", host.front, kPrefix + id, body);
    Note("client POST " + id + " got " +
         (answer.ok() ? std::to_string(answer.status) : "no answer"));
    if (answer.ok() && answer.status / 100 == 2) return true;
    std::this_thread::sleep_for(milliseconds(200));
  }
  return false;
}

std::string Cluster::StateOf(const std::string& id) {
  for (int i = 0; i < kTries; ++i) {
    const Host& host = hosts_[next_host_++ % hosts_.size()];
    const auto answer = CallHost("GET", host.front, kPrefix + id, "");
    if (!answer.ok() || answer.status != 200) continue;
    const std::string state =
        Json::parse(answer.body).value("state", std::string());
    Note("client GET " + id + " got " + state);
    return state;
  }
  Note("client GET " + id + " got no state");
  return "";
}

std::vector<MinionEvent> Cluster::Events() const {
  std::vector<MinionEvent> out = kills_;
  for (std::size_t i = 0; i < minions_.size(); ++i) {
    std::ifstream log(MinionLog(i));
    for (std::string line; std::getline(log, line);) {
      MinionEvent event;
      std::string word;
      std::istringstream(line) >> event.at_ms >> word >> event.minion >>
          event.what >> event.task >> event.run;
      out.push_back(std::move(event));
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.at_ms < b.at_ms;
  });
  return out;
}

void Cluster::Finish() {
  if (store_pid_ == 0) return;
  writer_ = {};
  const std::vector<MinionEvent> events = Events();
  for (Host& host : hosts_) Kill(host.pid);
  for (MinionProcess& minion : minions_) {
    Kill(minion.pid);
    Kill(minion.proxy);
  }
  Kill(store_pid_);
  for (const MinionEvent& event : events) {
    record_ << event.at_ms << " minion " << event.minion << " " << event.what
            << " " << event.task << " " << event.run << "\n";
  }
  record_.close();
  // In the order of time.
  std::vector<std::string> lines;
  std::ifstream in(record_path_);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) {
                     return std::stoll(a) < std::stoll(b);
                   });
  std::ofstream out(record_path_);
  for (const std::string& line : lines) out << line << "\n";
}

}  // namespace review
