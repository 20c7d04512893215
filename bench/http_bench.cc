// Measures POST requests per second from one HttpClient to one HttpServer over
// loopback.

#include <benchmark/benchmark.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"
#include "standins/timer_thread.h"

namespace chivewing {
namespace {

constexpr std::size_t kBodyBytes = 64;

// Keeps a fixed number of requests in flight and waits until all have ended.
class OpenRequests {
 public:
  OpenRequests(HttpClient& client, std::string url)
      : client_(client), url_(std::move(url)), body_(kBodyBytes, 'x') {}

  void Run(std::size_t requests, std::size_t at_once) {
    left_ = requests;
    unsent_ = static_cast<std::ptrdiff_t>(requests);
    for (std::size_t i = 0; i < at_once; ++i) SendNext();
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return left_ == 0; });
  }

  std::size_t faults() const { return faults_; }

 private:
  void SendNext() {
    if (unsent_.fetch_sub(1) <= 0) return;
    client_.Send({.method = "POST", .url = url_, .body = body_},
                 [this](const HttpResponse& answer) { OnAnswer(answer); });
  }

  void OnAnswer(const HttpResponse& answer) {
    if (!answer.ok()) ++faults_;
    SendNext();
    const std::lock_guard lock(mutex_);
    if (--left_ == 0) ended_.notify_all();
  }

  HttpClient& client_;
  const std::string url_;
  const std::string body_;
  std::atomic<std::ptrdiff_t> unsent_ = 0;
  std::atomic<std::size_t> faults_ = 0;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::size_t left_ = 0;
};

// Arguments: number of requests in flight, and the server's time per request.
void BenchPosts(benchmark::State& state) {
  const auto at_once = static_cast<std::size_t>(state.range(0));
  const std::chrono::milliseconds work(state.range(1));
  constexpr std::size_t requests = 20000;
  TimerThread timer;
  HttpServer server({});
  const Status started = server.Start([&](const HttpServerRequest& call) {
    if (work.count() == 0) {
      server.Respond(call.id, {.body = call.body});
      return;
    }
    timer.After(work, [&server, id = call.id, body = call.body] {
      server.Respond(id, {.body = body});
    });
  });
  if (!started) {
    state.SkipWithError("HTTP server failed to start; benchmark skipped");
    return;
  }
  HttpClient client({.max_connections_per_host = at_once});
  OpenRequests open(
      client, "http://127.0.0.1:" + std::to_string(server.port()) + "/run");
  for (auto _ : state) open.Run(requests, at_once);
  timer.Stop();
  state.SetItemsProcessed(state.iterations() *
                          static_cast<std::int64_t>(requests));
  state.counters["faults"] = static_cast<double>(open.faults());
  state.counters["connections"] =
      static_cast<double>(server.counts().connections);
}

BENCHMARK(BenchPosts)
    ->ArgNames({"open", "work_ms"})
    ->Args({32, 0})
    ->Args({400, 0})
    ->Args({400, 20})
    ->UseRealTime()
    ->MeasureProcessCPUTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace chivewing

BENCHMARK_MAIN();
