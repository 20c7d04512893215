#include "standins/worker_standin.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/blocking_http.h"
#include "store/table_codec.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kFailLater{50};
constexpr int kPercent = 100;

HttpServerResponse JsonReply(int status, const Json& json) {
  return {.status = status,
          .body = json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

// The worker's own clock: responses report it as clock_ms and commands give
// not_after_ms in it.
std::int64_t ClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             BootClock::now().time_since_epoch())
      .count();
}

Json Stamp(Json answer) {
  answer["clock_ms"] = ClockMs();
  return answer;
}

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

// One task of a POST /tasks/start request.
struct WorkerStandin::StartCommand {
  explicit StartCommand(const Json& json, milliseconds lease_time)
      : task(json.at("task").get<std::string>()),
        is_service(json.value("service", false)),
        processors_milli(json.value("processors_milli", std::int64_t{0})),
        memory_mb(json.value("memory_mb", std::int64_t{0})),
        accelerators(json.value("accelerators", std::int64_t{0})),
        run_time(json.value("run_ms", std::int64_t{0})),
        slots(json.value("slots", 8)),
        lease(lease_time) {}

  std::string task;
  bool is_service;
  std::int64_t processors_milli;
  std::int64_t memory_mb;
  std::int64_t accelerators;
  milliseconds run_time;
  int slots;
  milliseconds lease;
};

WorkerStandin::WorkerStandin(WorkerStandinOptions options)
    : options_(std::move(options)), server_({.address = options_.listen}) {}

WorkerStandin::~WorkerStandin() { Stop(); }

Status WorkerStandin::Start() {
  Status started =
      server_.Start([this](const HttpServerRequest& call) { OnCall(call); },
                    [this](const std::string& json) { return OnFault(json); });
  if (started) server_.timer().After(kTick, [this] { Tick(); });
  return started;
}

void WorkerStandin::Stop() {
  server_.Stop();
  const std::lock_guard lock(mutex_);
  tasks_.clear();
  ended_targets_.clear();
}

PlatformHost WorkerStandin::Host() const {
  return {.id = options_.id,
          .kind = HostKind::kWorker,
          .zone = options_.zone,
          .rack = options_.rack,
          .address = server_.address(),
          .processors_milli = options_.processors_milli,
          .memory_mb = options_.memory_mb,
          .accelerators = options_.accelerators};
}

bool WorkerStandin::Register(const std::string& platform) const {
  const PlatformHost host = Host();
  const Json body{{"id", host.id},
                  {"kind", ::chivewing::Name(host.kind)},
                  {"zone", host.zone},
                  {"rack", host.rack},
                  {"address", host.address},
                  {"processors_milli", host.processors_milli},
                  {"memory_mb", host.memory_mb},
                  {"accelerators", host.accelerators}};
  return Post("http://" + platform + "/hosts", body.dump()).status == 204;
}

bool WorkerStandin::Unregister(const std::string& platform) const {
  const std::string url = "http://" + platform + "/hosts/" + options_.id;
  return Call("DELETE", url).status == 204;
}

WorkerCounts WorkerStandin::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

std::vector<std::string> WorkerStandin::running() {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, task] : tasks_) {
    if (task.state == State::kRunning) ids.push_back(id);
  }
  return ids;
}

std::map<std::string, int> WorkerStandin::ran() {
  const std::lock_guard lock(mutex_);
  std::map<std::string, int> out = ended_ran_;
  for (const auto& [task_id, task] : tasks_) {
    if (!task.target) continue;
    for (const auto& [id, times] : task.target->ran()) out[id] += times;
  }
  return out;
}

std::shared_ptr<TargetStandin> WorkerStandin::Target(const std::string& task) {
  const std::lock_guard lock(mutex_);
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? nullptr : found->second.target;
}

std::string_view WorkerStandin::Name(State state) {
  switch (state) {
    case State::kRunning:
      return "running";
    case State::kDone:
      return "done";
    case State::kFailed:
      return "failed";
    case State::kStopped:
      return "stopped";
    case State::kCheckpointed:
      return "checkpointed";
    case State::kLapsed:
      return "lapsed";
  }
  return "unlisted";
}

bool WorkerStandin::OnFault(const std::string& json) {
  const Json faults = Json::parse(json);
  try {
    fails_all_ = faults.value("fail_all", fails_all_.load());
    fails_later_ = faults.value("fail_later", fails_later_.load());
    usage_percent_ = faults.value("usage_percent", usage_percent_.load());
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

void WorkerStandin::OnCall(const HttpServerRequest& call) {
  HttpServerResponse reply;
  try {
    const std::lock_guard lock(mutex_);
    reply = Route(call);
  } catch (const std::exception& error) {
    reply = JsonReply(400, {{"detail", error.what()}});
  }
  server_.Respond(call.id, std::move(reply));
}

HttpServerResponse WorkerStandin::Route(const HttpServerRequest& call) {
  // Expires leases before handling the request: a lease that ran out while this
  // process was paused must not be revived by a late renewal.
  const TimePoint now = BootClock::now();
  for (auto& [id, task] : tasks_) TickTask(task, now);
  if (call.path == "/tasks/start") return ReplyToStart(call);
  if (call.path == "/tasks/renew") return ReplyToRenew(call);
  if (call.path == "/tasks/stop") return ReplyToStop(call);
  if (call.path == "/tasks") return ReplyToList();
  if (call.path == "/counts") return ReplyToCounts();
  return {.status = 404};
}

bool WorkerStandin::Admit(const Json& command) {
  const auto epoch = command.at("epoch").get<std::uint64_t>();
  if (epoch < epoch_) {
    ++counts_.old_epochs;
    return false;
  }
  const auto now_ms = ClockMs();
  if (command.value("not_after_ms", now_ms) < now_ms) {
    ++counts_.late_orders;
    return false;
  }
  epoch_ = epoch;
  return true;
}

HttpServerResponse WorkerStandin::ReplyToStart(const HttpServerRequest& call) {
  const Json body = Json::parse(call.body);
  if (!Admit(body)) return JsonReply(412, Stamp({{"epoch", epoch_}}));
  const milliseconds lease(body.at("lease_ms").get<std::int64_t>());
  Json results = Json::array();
  for (const Json& each : body.at("tasks")) {
    const StartCommand command(each, lease);
    std::string address;
    const std::string status = StartTask(command, address);
    const std::string detail =
        status == "failed" ? "task start failed: fault fail_all is set" : "";
    results.push_back({{"task", command.task},
                       {"status", status},
                       {"address", address},
                       {"detail", detail}});
  }
  return JsonReply(200, Stamp({{"results", std::move(results)}}));
}

std::string WorkerStandin::StartTask(const StartCommand& command,
                                     std::string& address) {
  const auto found = tasks_.find(command.task);
  if (found != tasks_.end() && found->second.state == State::kRunning) {
    if (found->second.target) address = found->second.target->address();
    return "exists";
  }
  if (fails_all_) {
    ++counts_.failed;
    return "failed";
  }
  if (!HasRoom(command)) {
    ++counts_.overcommits;
    return "no_room";
  }
  const TimePoint now = BootClock::now();
  Task task{.processors_milli = command.processors_milli,
            .memory_mb = command.memory_mb,
            .accelerators = command.accelerators,
            .lease_end = now + command.lease};
  if (command.run_time.count() > 0) task.run_end = now + command.run_time;
  if (fails_later_) task.run_end = now + kFailLater;
  if (command.is_service) {
    task.target = std::make_shared<TargetStandin>(
        TargetStandinOptions{.listen = IpOf(options_.listen) + ":0",
                             .instance = command.task,
                             .slots = command.slots});
    if (!task.target->Start()) return "failed";
    address = task.target->address();
  }
  ++counts_.started;
  tasks_[command.task] = std::move(task);
  return "started";
}

bool WorkerStandin::HasRoom(const StartCommand& command) const {
  std::int64_t processors = command.processors_milli;
  std::int64_t memory = command.memory_mb;
  std::int64_t accelerators = command.accelerators;
  for (const auto& [id, task] : tasks_) {
    if (task.state != State::kRunning) continue;
    processors += task.processors_milli;
    memory += task.memory_mb;
    accelerators += task.accelerators;
  }
  return processors <= options_.processors_milli &&
         memory <= options_.memory_mb && accelerators <= options_.accelerators;
}

HttpServerResponse WorkerStandin::ReplyToRenew(const HttpServerRequest& call) {
  const Json body = Json::parse(call.body);
  if (!Admit(body)) return JsonReply(412, Stamp({{"epoch", epoch_}}));
  const milliseconds lease(body.at("lease_ms").get<std::int64_t>());
  Json unknown = Json::array();
  for (const Json& id : body.at("tasks")) {
    const auto found = tasks_.find(id.get<std::string>());
    if (found == tasks_.end() || found->second.state != State::kRunning) {
      unknown.push_back(id);
      continue;
    }
    found->second.lease_end = BootClock::now() + lease;
  }
  return JsonReply(200, Stamp({{"unknown", std::move(unknown)}}));
}

HttpServerResponse WorkerStandin::ReplyToStop(const HttpServerRequest& call) {
  const Json body = Json::parse(call.body);
  if (!Admit(body)) return JsonReply(412, Stamp({{"epoch", epoch_}}));
  const std::string mode = body.value("mode", "stop");
  const State end =
      mode == "checkpoint" ? State::kCheckpointed : State::kStopped;
  Json stopped = Json::array();
  for (const Json& each : body.at("tasks")) {
    const std::string id = each.get<std::string>();
    if (mode == "throttle") {
      const auto found = tasks_.find(id);
      if (found != tasks_.end()) found->second.is_throttled = true;
    } else if (StopTask(id, end)) {
      stopped.push_back(id);
    }
  }
  return JsonReply(200, Stamp({{"stopped", std::move(stopped)}}));
}

// A service with running requests accepts no new ones and ends after they have
// ended; the caller repeats its stop command meanwhile. Returns true when the
// task is certainly not running.
bool WorkerStandin::StopTask(const std::string& id, State end) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) return true;
  Task& task = found->second;
  if (task.state != State::kRunning) {
    // A stop command for an ended task means the placer has seen its end.
    tasks_.erase(found);
    return true;
  }
  if (task.target) {
    task.is_stopping = true;
    task.target->SetLeaving();
    if (task.target->running() > 0) return false;
  }
  End(task, end);
  return true;
}

void WorkerStandin::End(Task& task, State state) {
  task.state = state;
  if (task.target) {
    task.target->SetLeaving();
    for (const auto& [id, times] : task.target->ran()) ended_ran_[id] += times;
    ended_targets_.push_back(std::move(task.target));
  }
  task.target = nullptr;
  switch (state) {
    case State::kDone:
      ++counts_.finished;
      break;
    case State::kFailed:
      ++counts_.failed;
      break;
    case State::kLapsed:
      ++counts_.lapsed;
      break;
    default:
      ++counts_.stopped;
      break;
  }
}

void WorkerStandin::Tick() {
  std::vector<std::shared_ptr<TargetStandin>> ended;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = BootClock::now();
    for (auto& [id, task] : tasks_) TickTask(task, now);
    if (now - usage_time_ >= options_.usage_lag) usage_time_ = now;
    std::swap(ended, ended_targets_);
  }
  ended.clear();
  server_.timer().After(kTick, [this] { Tick(); });
}

void WorkerStandin::TickTask(Task& task, TimePoint now) {
  if (task.state != State::kRunning) return;
  if (now >= task.lease_end) {
    End(task, State::kLapsed);
  } else if (now >= task.run_end) {
    End(task, fails_later_ ? State::kFailed : State::kDone);
  } else if (task.is_stopping && task.target->running() == 0) {
    End(task, State::kStopped);
  }
}

HttpServerResponse WorkerStandin::ReplyToList() {
  const auto age =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - usage_time_);
  Json tasks = Json::array();
  for (const auto& [id, task] : tasks_) {
    const bool is_running = task.state == State::kRunning;
    const int percent = is_running ? usage_percent_.load() : 0;
    const int share = task.is_throttled ? percent / 2 : percent;
    tasks.push_back(
        {{"task", id},
         {"state", Name(task.state)},
         {"address", task.target ? task.target->address() : ""},
         {"processors_milli", task.processors_milli * share / kPercent},
         {"memory_mb", task.memory_mb * percent / kPercent},
         {"usage_age_ms", age.count()}});
  }
  return JsonReply(200, Stamp({{"worker", options_.id},
                               {"epoch", epoch_},
                               {"tasks", std::move(tasks)}}));
}

HttpServerResponse WorkerStandin::ReplyToCounts() {
  return JsonReply(200, {{"started", counts_.started},
                         {"finished", counts_.finished},
                         {"failed", counts_.failed},
                         {"stopped", counts_.stopped},
                         {"lapsed", counts_.lapsed},
                         {"overcommits", counts_.overcommits},
                         {"old_epochs", counts_.old_epochs},
                         {"late_orders", counts_.late_orders}});
}

}  // namespace chivewing
