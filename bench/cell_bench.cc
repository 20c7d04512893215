// Measures a cell of entry-host processes on loopback: requests per second,
// cost of the control plane, time until a catalogue change is in force on all
// hosts, service gap after a host is killed, and rate of task starts of a job.

#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "cell/client_load_generator.h"
#include "cell/test_cell.h"
#include "cell_bench/process_usage.h"
#include "cell_bench/request_load.h"

namespace {

using chivewing::HttpResponse;
using chivewing::LatencyHistogram;
using chivewing::LoadResult;
using chivewing::ProcessUsage;
using chivewing::TestCell;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{60};
constexpr int kChanges = 40;
constexpr int kKills = 5;
constexpr int kOpenRequests = 64;
constexpr int kJobTasks = 2000;
constexpr milliseconds kLoadTime{5000};

constexpr const char* kReveal = R"({"name":"hint-reveal","owner":"puzzles",
  "class":"service","limits":{"processors":2,"memory_mb":512,"instances":9},
  "policy":{"deadline_ms":2000,"request_timeout_ms":500,"longest_run_ms":1000,
            "idempotent":true,"spread_racks":true}})";
constexpr const char* kNotice = R"({"name":"notice-post","owner":"hauliers",
  "class":"service","limits":{"processors":2,"memory_mb":512,"instances":9},
  "policy":{"deadline_ms":3000,"request_timeout_ms":1000,"longest_run_ms":2000,
            "idempotent":false,"spread_racks":true}})";
constexpr const char* kScoring = R"({"name":"scoring","owner":"puzzles",
  "class":"batch","limits":{"processors":0.01,"memory_mb":1,"tasks":100000},
  "policy":{"priority":100}})";

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double SinceMs(Clock::time_point start) {
  return Milliseconds(Clock::now() - start);
}

Json Describe(const LatencyHistogram& histogram) {
  return {{"count", histogram.count()},
          {"mean_ms", Milliseconds(histogram.mean())},
          {"p50_ms", Milliseconds(histogram.Quantile(0.5))},
          {"p99_ms", Milliseconds(histogram.Quantile(0.99))},
          {"p999_ms", Milliseconds(histogram.Quantile(0.999))}};
}

bool ServesEverywhere(TestCell& cell) {
  for (std::size_t i = 0; i < cell.size(); ++i) {
    const auto index = std::to_string(i);
    if (cell.Request(i, "hint-reveal", "warm").status != 200) return false;
    const HttpResponse notice =
        cell.Request(i, "notice-post", "warm", "warm-" + index);
    if (notice.status != 200) return false;
  }
  return true;
}

// CPU, memory and traffic of one entry host during `time`.
Json MeasureCost(TestCell& cell, std::size_t host, milliseconds time) {
  const Json before = cell.State(host);
  const ProcessUsage use_before =
      chivewing::ReadProcessUsage(cell.host(host).pid());
  const Clock::time_point start = Clock::now();
  std::this_thread::sleep_for(time);
  const double elapsed = SinceMs(start) / 1e3;
  const ProcessUsage use = chivewing::ReadProcessUsage(cell.host(host).pid());
  const Json after = cell.State(host);
  const auto rate = [&](const char* part, const char* name) {
    const double sum = after["traffic"][part][name].get<double>() -
                       before["traffic"][part][name].get<double>();
    return sum / elapsed;
  };
  const auto used = use.processor_time - use_before.processor_time;
  return {{"core_share_percent", Milliseconds(used) / elapsed / 10},
          {"resident_mb", static_cast<double>(use.resident_kb) / 1024},
          {"peer_bytes_s", rate("peers", "bytes_sent")},
          {"table_bytes_s",
           rate("table", "bytes_sent") + rate("table", "bytes_received")},
          {"worker_bytes_s",
           rate("workers", "bytes_sent") + rate("workers", "bytes_received")},
          {"table_reads_s", rate("table", "reads")},
          {"table_writes_s", rate("table", "writes")},
          {"placer", after["placer"]["lease_held"]}};
}

Json MeasureLoad(TestCell& cell, const char* entry, bool keyed) {
  const ProcessUsage before = chivewing::ReadProcessUsage(cell.host(0).pid());
  const LoadResult load = chivewing::RunLoad(cell.caller_address(0), entry,
                                             kOpenRequests, keyed, kLoadTime);
  const ProcessUsage after = chivewing::ReadProcessUsage(cell.host(0).pid());
  const double used =
      Milliseconds(after.processor_time - before.processor_time) / 1e3;
  return {{"entry", entry},
          {"open", kOpenRequests},
          {"done", load.done},
          {"other", load.other},
          {"per_second", load.PerSecond()},
          {"cores_per_thousand_a_second",
           used / static_cast<double>(load.done) * 1e3},
          {"latency", Describe(load.latency)}};
}

Json MeasureChanges(TestCell& cell) {
  LatencyHistogram in_force;
  std::uint64_t version = 0;
  for (int i = 0; i < kChanges; ++i) {
    Json entry = Json::parse(kScoring);
    entry["note"] = "change " + std::to_string(i);
    const Clock::time_point start = Clock::now();
    const HttpResponse put = cell.Put(static_cast<std::size_t>(i) % cell.size(),
                                      entry.dump(), version);
    version = Json::parse(put.body).value("version", std::uint64_t{0});
    TestCell::WaitUntil(
        [&] {
          for (std::size_t host = 0; host < cell.size(); ++host) {
            const Json state = cell.State(host);
            const auto seen =
                state["control"]["catalogue"]["version"].get<std::uint64_t>();
            if (seen < version) return false;
          }
          return true;
        },
        kLimit);
    in_force.Add(Clock::now() - start);
  }
  return Describe(in_force);
}

// Longest time between two successful responses at a remaining host after
// another one is killed.
Json MeasureKills(TestCell& cell) {
  Json gaps = Json::array();
  for (int i = 0; i < kKills; ++i) {
    const std::size_t victim = 1 + static_cast<std::size_t>(i) % 2;
    cell.host(victim).Kill();
    const Clock::time_point start = Clock::now();
    Clock::time_point last = start;
    double gap = 0;
    while (SinceMs(start) < 4000) {
      if (cell.Request(0, "hint-reveal", "gap").status != 200) continue;
      gap = std::max(gap, SinceMs(last));
      last = Clock::now();
    }
    gaps.push_back(gap);
    cell.StartHost(victim);
    TestCell::WaitUntil([&] { return ServesEverywhere(cell); }, kLimit);
  }
  return gaps;
}

Json MeasureJob(TestCell& cell) {
  const Json job = {{"job", "starts"},
                    {"entry", "scoring"},
                    {"tasks", kJobTasks},
                    {"run_s", 0.5}};
  const auto started = [&cell] {
    std::uint64_t sum = 0;
    for (const auto& worker : cell.workers()) sum += worker->counts().started;
    return sum;
  };
  const std::uint64_t before = started();
  const Clock::time_point start = Clock::now();
  cell.SendClientRequest(0, "POST", "/v1/jobs", job.dump());
  const bool all = TestCell::WaitUntil(
      [&] { return started() - before >= kJobTasks; }, kLimit);
  const double start_s = SinceMs(start) / 1e3;
  const bool done = TestCell::WaitUntil(
      [&] {
        const Json shown = Json::parse(
            cell.SendClientRequest(0, "GET", "/v1/jobs/starts", "").body);
        return shown.value("state", "") == "done";
      },
      kLimit);
  return {{"tasks", kJobTasks},
          {"all_started", all},
          {"starts_per_second", kJobTasks / start_s},
          {"job_done", done},
          {"until_done_s", SinceMs(start) / 1e3}};
}

}  // namespace

int main(int argc, char** argv) {
  chivewing::TestCellOptions options;
  options.workers_per_zone = 9;
  options.poll = milliseconds(1000);
  options.lease = milliseconds(3000);
  options.task_lease = milliseconds(15000);
  TestCell cell(options);
  for (const char* entry : {kReveal, kNotice}) cell.Put(0, entry);
  if (!TestCell::WaitUntil([&] { return ServesEverywhere(cell); }, kLimit)) {
    std::cerr << "cell_bench: the cell does not serve requests within the time "
                 "limit; exiting\n";
    return 1;
  }
  Json out = {{"entry_hosts", cell.size()},
              {"workers", cell.workers().size()},
              {"instances", 18}};
  for (std::size_t i = 0; i < cell.size(); ++i) {
    out["idle"].push_back(MeasureCost(cell, i, seconds(5)));
  }
  out["load"].push_back(MeasureLoad(cell, "hint-reveal", false));
  out["load"].push_back(MeasureLoad(cell, "notice-post", true));
  out["change_in_force"] = MeasureChanges(cell);
  out["job"] = MeasureJob(cell);
  out["longest_gap_after_kill_ms"] = MeasureKills(cell);
  std::cout << out.dump(2) << std::endl;
  if (argc > 1) std::ofstream(argv[1]) << out.dump(2) << "\n";
  return 0;
}
