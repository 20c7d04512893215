// Clients: hand submissions in, ask for their states, and cancel them.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http/http_client.h"
#include "review/standins/event_log.h"
#include "review/standins/options.h"

namespace review {
namespace {

using chivewing::HttpRequest;
using chivewing::HttpResponse;
using std::chrono::milliseconds;

constexpr int kMaxAttempts = 5;
constexpr milliseconds kTimeout{3000};
constexpr milliseconds kRetryDelay{300};
constexpr milliseconds kAskInterval{250};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> out;
  std::stringstream stream(text);
  for (std::string each; std::getline(stream, each, ',');) out.push_back(each);
  return out;
}

class Client {
 public:
  explicit Client(const Options& options)
      : hosts_(Split(options.Text("hosts", ""))),
        host_header_(options.Text("host", "desk.example")),
        prefix_(options.Text("prefix", "/jobs/")),
        first_(static_cast<std::uint64_t>(options.Number("first", 1))),
        count_(options.Number("count", 1)),
        log_(options.Text("log", "/dev/null"), "client") {}

  std::string JobId(std::int64_t i) const {
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(first_) +
                      static_cast<unsigned long long>(i));
    return text;
  }
  std::int64_t count() const { return count_; }
  EventLog& log() { return log_; }

  std::future<HttpResponse> Call(const std::string& method,
                                 const std::string& job,
                                 const std::string& body, std::size_t host) {
    HttpRequest request;
    request.method = method;
    request.url = "http://" + hosts_[host % hosts_.size()] + prefix_ + job;
    request.headers = {{"Host", host_header_},
                       {"X-Deadline-Ms", std::to_string(kTimeout.count())}};
    if (!body.empty()) {
      request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = body;
    request.timeout = kTimeout;
    auto promise = std::make_shared<std::promise<HttpResponse>>();
    std::future<HttpResponse> response = promise->get_future();
    client_.Send(std::move(request), [promise](HttpResponse answer) {
      promise->set_value(std::move(answer));
    });
    return response;
  }

  // Hands the submissions in one after the other, one each `gap_ms`. "RACK" in
  // the body stands for r1 to rN in turn.
  int SubmitInTurn(const std::string& body, std::int64_t gap_ms,
                   std::int64_t racks) {
    std::vector<std::future<HttpResponse>> calls;
    const std::int64_t from = SteadyMs();
    for (std::int64_t i = 0; i < count_; ++i) {
      std::string own = body;
      const auto at = own.find("RACK");
      if (at != std::string::npos) {
        own.replace(at, 4, "r" + std::to_string(i % racks + 1));
      }
      calls.push_back(Call("POST", JobId(i), own, static_cast<std::size_t>(i)));
      const std::int64_t next = from + (i + 1) * gap_ms;
      std::this_thread::sleep_for(
          milliseconds(std::max<std::int64_t>(0, next - SteadyMs())));
    }
    int refused = 0;
    for (std::int64_t i = 0; i < count_; ++i) {
      const HttpResponse response = calls[static_cast<std::size_t>(i)].get();
      const int status = response.ok() ? response.status : 0;
      log_.Write("SUBMITTED " + JobId(i) + " status=" + std::to_string(status));
      if (status != 200) ++refused;
    }
    return refused == 0 ? 0 : 1;
  }

  // Hands all submissions in at once; repeats those without a definite answer.
  int Submit(const std::string& body) {
    std::vector<std::string> left;
    for (std::int64_t i = 0; i < count_; ++i) left.push_back(JobId(i));
    for (int attempt = 0; attempt < kMaxAttempts && !left.empty(); ++attempt) {
      std::vector<std::future<HttpResponse>> calls;
      for (std::size_t i = 0; i < left.size(); ++i) {
        calls.push_back(
            Call("POST", left[i], body, i + static_cast<std::size_t>(attempt)));
      }
      std::vector<std::string> again;
      for (std::size_t i = 0; i < left.size(); ++i) {
        const HttpResponse response = calls[i].get();
        const int status = response.ok() ? response.status : 0;
        log_.Write("SUBMITTED " + left[i] +
                   " status=" + std::to_string(status));
        if (status != 200) again.push_back(left[i]);
      }
      left = again;
      if (!left.empty()) std::this_thread::sleep_for(kRetryDelay);
    }
    return left.empty() ? 0 : 1;
  }

  // Asks for the states until all are final or the time is over. Returns how
  // many are not `completed`.
  int Wait(std::int64_t for_ms) {
    const std::int64_t until = SteadyMs() + for_ms;
    std::map<std::string, std::string> states;
    std::size_t host = 0;
    std::int64_t open = count_;
    while (open > 0 && SteadyMs() < until) {
      std::vector<std::pair<std::string, std::future<HttpResponse>>> calls;
      for (std::int64_t i = 0; i < count_; ++i) {
        const std::string job = JobId(i);
        if (states[job] == "completed") continue;
        calls.emplace_back(job, Call("GET", job, "", host++));
      }
      for (auto& [job, call] : calls) {
        const HttpResponse response = call.get();
        const int status = response.ok() ? response.status : 0;
        std::string state = "status-" + std::to_string(status);
        if (status == 200) {
          const auto json =
              nlohmann::json::parse(response.body, nullptr, false);
          if (json.is_object()) state = json.value("state", "none");
        }
        if (states[job] == state) continue;
        states[job] = state;
        log_.Write("STATE " + job + " " + state);
        if (state == "completed") --open;
      }
      std::this_thread::sleep_for(kAskInterval);
    }
    for (const auto& [job, state] : states) {
      if (state != "completed") log_.Write("LAST " + job + " " + state);
    }
    log_.Write("OPEN " + std::to_string(open));
    return open == 0 ? 0 : 1;
  }

  int Cancel() {
    int failed = 0;
    for (std::int64_t i = 0; i < count_; ++i) {
      const HttpResponse response =
          Call("DELETE", JobId(i), "", static_cast<std::size_t>(i)).get();
      const int status = response.ok() ? response.status : 0;
      log_.Write("CANCELLED " + JobId(i) + " status=" + std::to_string(status));
      if (status != 200 && status != 410) ++failed;
    }
    return failed == 0 ? 0 : 1;
  }

 private:
  const std::vector<std::string> hosts_;
  const std::string host_header_;
  const std::string prefix_;
  const std::uint64_t first_;
  const std::int64_t count_;
  EventLog log_;
  chivewing::HttpClient client_;
};

// Any call, for the script: prints the body, fails unless the status is 200.
int RunCall(const Options& options) {
  chivewing::HttpClient client;
  HttpRequest request;
  request.method = options.Text("method", "GET");
  request.url = options.Text("url", "");
  request.body = options.Text("body", "");
  std::promise<HttpResponse> promise;
  client.Send(std::move(request), [&promise](HttpResponse answer) {
    promise.set_value(std::move(answer));
  });
  const HttpResponse response = promise.get_future().get();
  std::cout << response.body << "\n";
  return response.ok() && response.status == 200 ? 0 : 1;
}

}  // namespace

int RunClient(const std::string& what, const Options& options) {
  if (what == "call") return RunCall(options);
  Client client(options);
  if (what == "submit") return client.Submit(options.Text("body", ""));
  if (what == "submit-in-turn") {
    return client.SubmitInTurn(options.Text("body", ""),
                               options.Number("gap-ms", 100),
                               options.Number("racks", 1));
  }
  if (what == "wait") return client.Wait(options.Number("for-ms", 30000));
  if (what == "cancel") return client.Cancel();
  std::cerr << "client: submit, wait, cancel or call\n";
  return 2;
}

}  // namespace review
