#include "standins/task_runner_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/time.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr int kWrongIncarnationStatus = 421;

std::int64_t Clock() {
  const auto now = BootClock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

HttpServerResponse Reply(int status, Json body) {
  body["clockMs"] = Clock();
  body["born"] = 1000;
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

HttpServerResponse Refuse(const char* reason) {
  return Reply(409, {{"reason", reason}});
}

}  // namespace

TaskRunnerStandin::TaskRunnerStandin(std::string id)
    : id_(std::move(id)), server_({}) {
  const Status started =
      server_.Start([this](const HttpServerRequest& call) { OnCall(call); });
  if (!started) std::abort();
}

std::string TaskRunnerStandin::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

std::string TaskRunnerStandin::Registration(const std::string& service) const {
  const Json out = {
      {"service", service},
      {"addr", address()},
      {"zone", "z1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"seq", 1},
      {"born", 1000},
      {"labels", {"a", "r1-1"}},
      {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}}};
  return out.dump();
}

std::size_t TaskRunnerStandin::starts() const {
  const std::lock_guard lock(mutex_);
  return starts_;
}

std::size_t TaskRunnerStandin::max_concurrent_runs() const {
  const std::lock_guard lock(mutex_);
  return max_concurrent_runs_;
}

void TaskRunnerStandin::OnCall(const HttpServerRequest& call) {
  HttpServerResponse reply = Reply(404, Json::object());
  if (call.Header("x-expect-instance") != id_) {
    reply = Reply(kWrongIncarnationStatus, Json::object());
  } else if (call.path == "/run-start") {
    reply = Start(call.body);
  } else if (call.path == "/run-stop") {
    reply = Stop(call.body);
  } else if (call.path == "/hold") {
    reply = List(call.body);
  }
  server_.Respond(call.id, std::move(reply));
}

HttpServerResponse TaskRunnerStandin::Start(const std::string& body) {
  const Json json = Json::parse(body);
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = json["fence"];
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  if (json["deadlineMs"].get<std::int64_t>() < Clock()) return Refuse("late");
  const RunKey run{json["task"], json["run"]};
  if (!running_.emplace(run, false).second) return Reply(200, Json::object());
  ++starts_;
  const auto same = std::count_if(
      running_.begin(), running_.end(),
      [&run](const auto& item) { return item.first.first == run.first; });
  max_concurrent_runs_ =
      std::max(max_concurrent_runs_, static_cast<std::size_t>(same));
  return Reply(200, Json::object());
}

HttpServerResponse TaskRunnerStandin::Stop(const std::string& body) {
  const Json json = Json::parse(body);
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = json["fence"];
  if (fence < fence_) return Refuse("fence");
  const RunKey run{json["task"], json["run"]};
  if (running_.erase(run) > 0) ended_.emplace_back(++last_end_, run, "stopped");
  return Reply(200, Json::object());
}

HttpServerResponse TaskRunnerStandin::List(const std::string& body) {
  const Json json = Json::parse(body);
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = json["fence"];
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  const std::uint64_t seen = json["lastSeen"];
  std::erase_if(ended_,
                [seen](const auto& end) { return std::get<0>(end) <= seen; });
  for (auto run = running_.begin(); run != running_.end();) {
    if (!run->second || runs_go_on) {
      run->second = true;
      ++run;
      continue;
    }
    ended_.emplace_back(++last_end_, run->first, "done");
    run = running_.erase(run);
  }
  Json running = Json::array();
  for (const auto& [run, listed] : running_) {
    running.push_back({run.first, run.second, "", 50, 0});
  }
  Json ended = Json::array();
  for (const auto& [number, run, how] : ended_) {
    ended.push_back({number, run.first, run.second, how, ""});
  }
  return Reply(200, {{"running", running}, {"ended", ended}});
}

}  // namespace chivewing
