// A minion: runs tasks under a lease by PROTOCOL.md. Its own steady clock
// starts anew with each life. The text of a submission says what its tasks do:
// "cpu=N work=MS saves=MS gang=N": processors in use, work, the work between
// two checkpoints (0: none), and the members of the gang (0: none), which must
// all be on this minion. A task works between 3/4 and 5/4 of `work`, one of a
// gang exactly so long.

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "review/standins/event_log.h"
#include "review/standins/options.h"
#include "standins/timer_thread.h"

namespace review {
namespace {

using Json = nlohmann::json;
using chivewing::HttpServerRequest;
using chivewing::HttpServerResponse;
using std::chrono::milliseconds;

constexpr milliseconds kTick{5};
constexpr std::int64_t kStopMs = 50;
constexpr std::int64_t kGangWaitMs = 3000;
constexpr std::size_t kEndsPerResponse = 500;

std::int64_t SpecNumber(const std::string& spec, const std::string& name) {
  const auto at = spec.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::atoll(spec.c_str() + at + name.size() + 1);
}

// As on the page: eight hexadecimal digits of work done, eight of a check.
std::string SavedText(const std::string& task, std::int64_t work) {
  std::uint32_t check = 2166136261U;
  for (const char c : task + ":" + std::to_string(work)) {
    check = (check ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  char text[20];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(work),
                check);
  return text;
}

class Worker {
 public:
  explicit Worker(const Options& options)
      : options_(options),
        id_(options.Text("id", "i-1")),
        capacity_cpu_(options.Number("cpu", 16000)),
        max_hold_(options.Number("max-hold-ms", 10000)),
        born_(chivewing::WallClockNow().count()),
        started_at_(SteadyMs()),
        log_(options.Text("log", "/dev/null"),
             id_ + " " + std::to_string(born_)),
        server_({.address = options.Text("listen", "127.0.0.1:0"),
                 .max_connections =
                     static_cast<unsigned>(options.Number("channels", 64))}) {}

  bool Start() {
    const bool started = static_cast<bool>(
        server_.Start([this](const HttpServerRequest& call) { OnCall(call); }));
    log_.Write("BORN cpu=" + std::to_string(capacity_cpu_) +
               " kind=" + options_.Text("kind", "a"));
    timer_.After(kTick, [this] { Tick(); });
    return started;
  }

  // Writes its entry at the start and at each status report that changes it.
  void Report(const std::string& state, std::int64_t remaining_ms) {
    Json entry = {
        {"service", options_.Text("service", "desk")},
        {"addr", options_.Text("listen", "")},
        {"zone", options_.Text("zone", "z1")},
        {"version", "v1"},
        {"slots", 8},
        {"state", state},
        {"coldLeftMs", 0},
        {"capacity",
         {{"cpu", capacity_cpu_},
          {"memMb", options_.Number("mem", 32768)},
          {"gpu", 0}}},
        {"labels", {options_.Text("kind", "a"), options_.Text("rack", "r1-1")}},
        {"clockMs", Clock()},
        {"born", born_},
        {"seq", ++seq_}};
    if (remaining_ms > 0) entry["remainingMs"] = remaining_ms;
    chivewing::HttpRequest request;
    request.method = "POST";
    request.url = "http://" + options_.Text("store", "") +
                  "/standin/put?table=servers&key=" + id_;
    request.body = entry.dump();
    client_.Send(std::move(request), [this, state](const auto& response) {
      log_.Write("REPORTED state=" + state +
                 " status=" + std::to_string(response.status));
    });
  }

  void Stop() {
    server_.Stop();
    timer_.Stop();
  }

 private:
  struct Run {
    std::uint64_t number = 0;
    std::int64_t cpu = 0;
    std::int64_t work = 0;      // whole work
    std::int64_t begun_at = 0;  // when its work began, less what was done
    std::int64_t saves = 0;
    std::int64_t stop_at = 0;  // 0: not being stopped
    std::int64_t gang = 0;     // members of its gang; 0: none
    std::int64_t came_at = 0;  // the start
    bool waits = false;        // for the other members
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string saved;
  };
  struct Hold {
    std::uint64_t last_seen = 0;
    std::int64_t until = 0;
  };

  std::int64_t Clock() const { return SteadyMs() - started_at_ + 1000; }

  HttpServerResponse Reply(int status, Json body) const {
    body["clockMs"] = Clock();
    body["born"] = born_;
    HttpServerResponse reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
  }
  HttpServerResponse Refuse(const std::string& reason) {
    log_.Write("REFUSES " + reason);
    return Reply(409, {{"reason", reason}});
  }

  void OnCall(const HttpServerRequest& call) {
    if (call.Header("x-expect-instance") != id_) {
      server_.Respond(call.id, {.status = 421, .body = "{}"});
      return;
    }
    const Json body = Json::parse(call.body);
    std::unique_lock lock(mutex_);
    EndWhatIsDue();
    if (call.path == "/run-start") {
      HttpServerResponse reply = StartRun(body);
      lock.unlock();
      server_.Respond(call.id, std::move(reply));
    } else if (call.path == "/run-stop") {
      HttpServerResponse reply = StopRun(body);
      lock.unlock();
      server_.Respond(call.id, std::move(reply));
    } else if (call.path == "/hold") {
      OnHold(call.id, body, lock);
    } else {
      lock.unlock();
      server_.Respond(call.id, {.status = 404, .body = "{}"});
    }
  }

  bool TakesFence(const Json& body) {
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (fence < fence_) return false;
    fence_ = fence;
    return true;
  }

  void ExtendLease(std::int64_t deadline) {
    lease_until_ =
        std::max(lease_until_, std::min(deadline, Clock() + max_hold_));
  }

  HttpServerResponse StartRun(const Json& body) {
    if (!TakesFence(body)) return Refuse("fence");
    const std::string task = body["task"];
    const std::uint64_t number = body["run"];
    const std::int64_t deadline = body["deadlineMs"];
    if (deadline < Clock()) return Refuse("late");
    const auto there = runs_.find(task);
    if (there != runs_.end() && there->second.number == number) {
      ExtendLease(deadline);
      return Reply(200, Json::object());
    }
    const auto over = ended_runs_.find(task);
    const bool old = (over != ended_runs_.end() && number <= over->second) ||
                     (there != runs_.end() && number < there->second.number);
    if (old) {
      ExtendLease(deadline);
      return Refuse("old");
    }
    const std::string spec = body["spec"];
    const std::string saved = body.value("saved", "");
    Run run;
    run.number = number;
    run.cpu = SpecNumber(spec, "cpu");
    run.saves = SpecNumber(spec, "saves");
    const std::int64_t mean = SpecNumber(spec, "work");
    run.work = mean * (75 + std::hash<std::string>()(task) % 50) / 100;
    const std::int64_t done =
        saved.empty() ? 0 : std::stoll(saved.substr(0, 8), nullptr, 16);
    run.begun_at = SteadyMs() - done;
    run.came_at = SteadyMs();
    run.gang = SpecNumber(spec, "gang");
    if (run.gang > 0) {
      run.work = mean;
      run.waits = true;
    }
    runs_[task] = run;
    used_cpu_ += run.cpu;
    ExtendLease(deadline);
    log_.Write("START " + task + " run=" + std::to_string(number) + " fence=" +
               std::to_string(fence_) + " used=" + std::to_string(used_cpu_) +
               " capacity=" + std::to_string(capacity_cpu_));
    return Reply(200, Json::object());
  }

  HttpServerResponse StopRun(const Json& body) {
    if (!TakesFence(body)) return Refuse("fence");
    const std::string task = body["task"];
    const std::uint64_t number = body["run"];
    log_.Write("STOP " + task + " run=" + std::to_string(number));
    std::uint64_t& over = ended_runs_[task];
    over = std::max(over, number);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.number <= number &&
        found->second.stop_at == 0) {
      found->second.stop_at = SteadyMs() + kStopMs;
    }
    return Reply(200, Json::object());
  }

  void OnHold(std::uint64_t call_id, const Json& body,
              std::unique_lock<std::mutex>& lock) {
    if (!TakesFence(body)) {
      HttpServerResponse reply = Refuse("fence");
      lock.unlock();
      server_.Respond(call_id, std::move(reply));
      return;
    }
    const std::uint64_t last_seen = body.value("lastSeen", std::uint64_t{0});
    if (last_seen > seen_) {
      seen_ = last_seen;
      log_.Write("SEEN " + std::to_string(seen_));
    }
    std::erase_if(ends_, [this](const End& e) { return e.number <= seen_; });
    if (body.contains("deadlineMs")) ExtendLease(body["deadlineMs"]);
    const std::int64_t wait = body.value("waitMs", std::int64_t{0});
    if (wait > 0 && ends_.empty()) {
      holds_[call_id] = {last_seen, SteadyMs() + wait};
      return;
    }
    HttpServerResponse reply = Lists();
    lock.unlock();
    server_.Respond(call_id, std::move(reply));
  }

  std::int64_t WorkDone(const Run& run) const {
    if (run.waits) return 0;
    return std::min(run.work, SteadyMs() - run.begun_at);
  }
  std::string SavedOf(const std::string& task, const Run& run,
                      bool stopped) const {
    if (run.saves == 0) return "";
    const std::int64_t done = WorkDone(run);
    const std::int64_t kept = stopped ? done : done / run.saves * run.saves;
    return kept == 0 ? "" : SavedText(task, kept);
  }

  HttpServerResponse Lists() {
    Json running = Json::array();
    for (const auto& [task, run] : runs_) {
      running.push_back(
          {task, run.number, SavedOf(task, run, false),
           WorkDone(run) * 100 / std::max<std::int64_t>(1, run.work), run.cpu});
    }
    Json ended = Json::array();
    bool new_ends = false;
    for (const End& end : ends_) {
      if (ended.size() == kEndsPerResponse) break;
      ended.push_back({end.number, end.task, end.run, end.how, end.saved});
      if (end.number <= listed_) continue;
      listed_ = end.number;
      new_ends = true;
    }
    if (new_ends) log_.Write("LISTED " + std::to_string(listed_));
    return Reply(200, {{"running", running}, {"ended", ended}});
  }

  void EndRun(const std::string& task, const Run& run, const std::string& how,
              const std::string& saved) {
    used_cpu_ -= run.cpu;
    std::uint64_t& over = ended_runs_[task];
    over = std::max(over, run.number);
    ends_.push_back({++last_end_, task, run.number, how, saved});
    log_.Write("END " + std::to_string(last_end_) + " " + task +
               " run=" + std::to_string(run.number) + " how=" + how);
  }

  static std::string StepOf(const std::string& task) {
    return task.substr(0, task.rfind('.'));
  }

  // Lets gangs begin whose members are all here, and ends those of which a
  // member has waited too long or has ended.
  void MindGangs(std::int64_t now) {
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::string>>
        gangs;
    for (const auto& [task, run] : runs_) {
      if (run.gang > 0) gangs[{StepOf(task), run.number}].push_back(task);
    }
    for (const auto& [key, members] : gangs) {
      const auto wanted = static_cast<std::size_t>(runs_[members[0]].gang);
      bool begun = false;
      std::string alone;
      for (const std::string& task : members) {
        const Run& run = runs_[task];
        begun = begun || !run.waits;
        if (run.waits && now - run.came_at >= kGangWaitMs) alone = task;
      }
      if (!begun && members.size() == wanted) {
        for (const std::string& task : members) {
          runs_[task].waits = false;
          runs_[task].begun_at = now;
        }
      } else if (!begun && !alone.empty()) {
        log_.Write("ALONE " + key.first +
                   " present=" + std::to_string(members.size()) + " of " +
                   std::to_string(wanted) + " open_channels=" +
                   std::to_string(server_.counts().open_connections));
        for (const std::string& task : members) {
          EndRun(task, runs_[task], task == alone ? "alone" : "broken", "");
          runs_.erase(task);
        }
      } else if (begun && members.size() < wanted) {
        for (const std::string& task : members) {
          EndRun(task, runs_[task], "broken", "");
          runs_.erase(task);
        }
      }
    }
  }

  // All members end together.
  void EndGangs() {
    std::vector<std::string> done;
    for (const auto& [task, run] : runs_) {
      if (run.gang > 0 && run.stop_at == 0 && WorkDone(run) >= run.work) {
        done.push_back(task);
      }
    }
    for (const std::string& task : done) {
      EndRun(task, runs_[task], "done", "");
      runs_.erase(task);
    }
  }

  void EndWhatIsDue() {
    const std::int64_t now = SteadyMs();
    EndGangs();
    MindGangs(now);
    const bool lapsed = Clock() > lease_until_;
    if (lapsed && lease_until_ > 0 && !lapse_logged_) log_.Write("LAPSE");
    lapse_logged_ = lapsed;
    for (auto each = runs_.begin(); each != runs_.end();) {
      const auto& [task, run] = *each;
      if (lapsed) {
        EndRun(task, run, "lapsed", SavedOf(task, run, false));
      } else if (run.stop_at > 0 && now >= run.stop_at) {
        EndRun(task, run, "stopped", SavedOf(task, run, true));
      } else if (WorkDone(run) >= run.work) {
        EndRun(task, run, "done", "");
      } else {
        ++each;
        continue;
      }
      each = runs_.erase(each);
    }
  }

  void Tick() {
    std::vector<std::pair<std::uint64_t, HttpServerResponse>> replies;
    {
      const std::lock_guard lock(mutex_);
      EndWhatIsDue();
      const std::int64_t now = SteadyMs();
      for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (ends_.empty() && now < hold->second.until) {
          ++hold;
          continue;
        }
        replies.emplace_back(hold->first, Lists());
        hold = holds_.erase(hold);
      }
    }
    for (auto& [id, reply] : replies) server_.Respond(id, std::move(reply));
    timer_.After(kTick, [this] { Tick(); });
  }

  const Options options_;
  const std::string id_;
  const std::int64_t capacity_cpu_;
  const std::int64_t max_hold_;
  const std::int64_t born_;
  const std::int64_t started_at_;
  EventLog log_;
  std::mutex mutex_;
  std::map<std::string, Run> runs_;                  // by task
  std::map<std::string, std::uint64_t> ended_runs_;  // highest ended or stopped
  std::vector<End> ends_;                            // not taken note of
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t fence_ = 0;
  std::uint64_t seen_ = 0;
  std::uint64_t listed_ = 0;  // newest end that a list has held
  std::uint64_t last_end_ = 0;
  std::uint64_t seq_ = 0;
  std::int64_t lease_until_ = 0;
  bool lapse_logged_ = false;
  std::int64_t used_cpu_ = 0;
  chivewing::HttpServer server_;
  chivewing::HttpClient client_;
  chivewing::TimerThread timer_;
};

}  // namespace

int RunWorker(const Options& options) {
  Worker worker(options);
  if (!worker.Start()) {
    std::cerr << "worker: cannot listen\n";
    return 2;
  }
  worker.Report("ready", 0);
  WaitForStop();
  // A planned shutdown: it serves on for a while after its report.
  const std::int64_t drain_ms = options.Number("drain-ms", 0);
  if (drain_ms > 0) {
    worker.Report("draining", drain_ms);
    std::this_thread::sleep_for(milliseconds(drain_ms));
  }
  worker.Stop();
  return 0;
}

}  // namespace review
