#include "minion.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "clock.h"
#include "standins/blocking_http.h"

namespace review {
namespace {

using chivewing::HttpServerRequest;
using chivewing::HttpServerResponse;
using Json = nlohmann::json;

constexpr std::int64_t kMaxHoldMs = 10000;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr unsigned kChannels = 64;
constexpr std::int64_t kClockAtBoot = 1000;

HttpServerResponse Reply(int status, const Json& body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

}  // namespace

Minion::Minion(MinionOptions options)
    : options_(std::move(options)),
      born_ms_(WallMs()),
      boot_ms_(SteadyMs()),
      log_(options_.log, std::ios::app),
      server_({.address = options_.listen, .max_connections = kChannels}) {
  const chivewing::Status started =
      server_.Start([this](const HttpServerRequest& call) { OnCall(call); });
  if (!started) {
    std::cerr << "minion: cannot listen on " << options_.listen << "\n";
    std::exit(2);
  }
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      Tick();
    }
  }).detach();
}

std::int64_t Minion::ClockMs() const {
  return SteadyMs() - boot_ms_ + kClockAtBoot;
}

void Minion::Report() {
  for (std::uint64_t seq = 1;; ++seq) {
    const Json entry = {
        {"service", options_.service},
        {"addr", options_.address},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"capacity",
         {{"cpu", options_.cpu}, {"memMb", options_.mem_mb}, {"gpu", 0}}},
        {"labels", {"a", options_.rack}},
        {"clockMs", ClockMs()},
        {"born", born_ms_},
        {"seq", seq}};
    const Json row = {
        {"table", "servers"}, {"key", options_.id}, {"value", entry.dump()}};
    chivewing::Post("http://" + options_.store + "/standin/put", row.dump());
    std::this_thread::sleep_for(std::chrono::milliseconds(kHeartbeatMs));
  }
}

void Minion::Log(const std::string& what, const std::string& task,
                 std::uint64_t run) {
  log_ << WallMs() << " minion " << options_.id << " " << what << " " << task
       << " " << run << std::endl;
}

void Minion::OnCall(const HttpServerRequest& call) {
  if (call.Header("x-expect-instance") != options_.id) {
    server_.Respond(call.id, Reply(421, Json::object()));
    return;
  }
  const Json body = Json::parse(call.body);
  HttpServerResponse reply;
  {
    const std::lock_guard lock(mutex_);
    Advance();
    if (IsFenced(body)) {
      reply = Refuse("fence");
    } else if (call.path == "/run-start") {
      reply = Start(body);
    } else if (call.path == "/run-stop") {
      reply = Stop(body);
    } else if (call.path == "/hold") {
      const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
      std::erase_if(ends_,
                    [seen](const End& end) { return end.number <= seen; });
      ExtendLease(body);
      const std::int64_t wait =
          std::min(kMaxWaitMs, body.value("waitMs", std::int64_t{0}));
      if (wait > 0 && ends_.empty()) {
        waits_[call.id] = {SteadyMs() + wait, last_end_};
        return;
      }
      reply = Lists();
    } else {
      reply = Reply(404, Json::object());
    }
  }
  server_.Respond(call.id, std::move(reply));
}

bool Minion::IsFenced(const Json& body) {
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Minion::ExtendLease(const Json& body) {
  const auto until = body.value("deadlineMs", std::int64_t{0});
  lease_until_ =
      std::max(lease_until_, std::min(until, ClockMs() + kMaxHoldMs));
}

HttpServerResponse Minion::Refuse(const std::string& reason) {
  return Reply(
      409, {{"clockMs", ClockMs()}, {"reason", reason}, {"born", born_ms_}});
}

HttpServerResponse Minion::Start(const Json& body) {
  const std::string task = body["task"];
  const std::uint64_t run = body["run"];
  const auto found = running_.find(task);
  const Json done = {{"clockMs", ClockMs()}, {"born", born_ms_}};
  if (found != running_.end() && found->second.number == run)
    return Reply(200, done);
  const auto over = newest_over_.find(task);
  if (over != newest_over_.end() && run <= over->second) {
    ExtendLease(body);
    return Refuse("old");
  }
  if (body["deadlineMs"].get<std::int64_t>() <= ClockMs())
    return Refuse("late");
  ExtendLease(body);
  running_[task] = {run, SteadyMs(),
                    std::stoll(body["spec"].get<std::string>())};
  Log("start", task, run);
  return Reply(200, done);
}

HttpServerResponse Minion::Stop(const Json& body) {
  const std::string task = body["task"];
  const std::uint64_t run = body["run"];
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == run)
    EndRun(task, "stopped");
  newest_over_[task] = std::max(newest_over_[task], run);
  return Reply(200, {{"clockMs", ClockMs()}, {"born", born_ms_}});
}

void Minion::EndRun(const std::string& task, const std::string& how) {
  const Run run = running_.at(task);
  running_.erase(task);
  newest_over_[task] = std::max(newest_over_[task], run.number);
  ends_.push_back({++last_end_, task, run.number, how});
  Log(how, task, run.number);
}

void Minion::Advance() {
  std::vector<std::string> done;
  for (const auto& [task, run] : running_) {
    if (run.work_ms > 0 && SteadyMs() >= run.started_ms + run.work_ms)
      done.push_back(task);
  }
  for (const std::string& task : done) EndRun(task, "done");
  if (ClockMs() <= lease_until_) return;
  while (!running_.empty()) EndRun(running_.begin()->first, "lapsed");
}

HttpServerResponse Minion::Lists() {
  constexpr int whole = 100;
  Json running = Json::array();
  for (const auto& [task, run] : running_) {
    const std::int64_t percent =
        run.work_ms == 0 ? whole
                         : (SteadyMs() - run.started_ms) * whole / run.work_ms;
    running.push_back({task, run.number, "", percent, 0});
  }
  Json ended = Json::array();
  for (const End& end : ends_) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  return Reply(200, {{"clockMs", ClockMs()},
                     {"born", born_ms_},
                     {"running", running},
                     {"ended", ended}});
}

void Minion::Tick() {
  std::map<std::uint64_t, HttpServerResponse> replies;
  {
    const std::lock_guard lock(mutex_);
    Advance();
    for (const auto& [id, wait] : waits_) {
      if (SteadyMs() >= wait.until_ms || last_end_ > wait.newest_end)
        replies.emplace(id, Lists());
    }
    for (const auto& [id, reply] : replies) waits_.erase(id);
  }
  for (auto& [id, reply] : replies) server_.Respond(id, std::move(reply));
}

}  // namespace review
