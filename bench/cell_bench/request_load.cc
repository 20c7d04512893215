#include "cell_bench/request_load.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include "base/time.h"
#include "http/http_client.h"

namespace chivewing {
namespace {

// The requests of one run. Each completed request starts the next one until the
// end time.
class Load {
 public:
  Load(std::string url, bool keyed, TimePoint end)
      : url_(std::move(url)), keyed_(keyed), end_(end) {}

  void Start(int open) {
    {
      const std::lock_guard lock(mutex_);
      open_ = open;
    }
    for (int i = 0; i < open; ++i) Send();
  }

  void Wait() {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return open_ == 0; });
  }

  LoadResult& result() { return result_; }

 private:
  void Send() {
    HttpRequest request;
    request.method = "POST";
    request.url = url_;
    request.body = "letter";
    if (keyed_) {
      const std::lock_guard lock(mutex_);
      request.headers.push_back(
          {"Idempotency-Key", "bench-" + std::to_string(next_key_++)});
    }
    const TimePoint sent = BootClock::now();
    client_.Send(std::move(request), [this, sent](const HttpResponse& answer) {
      OnAnswer(sent, answer);
    });
  }

  void OnAnswer(TimePoint sent, const HttpResponse& answer) {
    const TimePoint now = BootClock::now();
    {
      const std::lock_guard lock(mutex_);
      if (answer.ok() && answer.Header("x-outcome") == "done") {
        ++result_.done;
        result_.latency.Add(now - sent);
      } else {
        ++result_.other;
      }
      if (now >= end_) {
        if (--open_ == 0) ended_.notify_all();
        return;
      }
    }
    Send();
  }

  const std::string url_;
  const bool keyed_;
  const TimePoint end_;
  std::mutex mutex_;
  std::condition_variable ended_;
  LoadResult result_;
  int open_ = 0;
  std::uint64_t next_key_ = 1;
  HttpClient client_;
};

}  // namespace

LoadResult RunLoad(const std::string& caller_address, const std::string& entry,
                   int open, bool keyed, std::chrono::milliseconds time) {
  const TimePoint start = BootClock::now();
  Load load("http://" + caller_address + "/v1/requests/" + entry, keyed,
            start + time);
  load.Start(open);
  load.Wait();
  LoadResult result = std::move(load.result());
  result.seconds =
      std::chrono::duration<double>(BootClock::now() - start).count();
  return result;
}

}  // namespace chivewing
