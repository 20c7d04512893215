// Load of the HTTP client by the number of requests that wait for a response.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <thread>

#include "base/time.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "standins/blocking_http.h"

namespace chivewing {
namespace {

constexpr std::size_t kHeldRequests = 600;
constexpr std::size_t kHeldAtOnce = 50;  // connections opened at once
constexpr int kQuickRequests = 200;
constexpr int kRounds = 5;

std::chrono::duration<double> ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

class HttpClientLoadTest : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerOptions options;
    options.max_connections = 2 * kHeldRequests;
    quick_ = std::make_unique<HttpServer>(options);
    ASSERT_TRUE(quick_->Start([this](const HttpServerRequest& request) {
      quick_->Respond(request.id, {.body = "{}"});
    }));
    holding_ = std::make_unique<HttpServer>(options);
    ASSERT_TRUE(holding_->Start([this](const HttpServerRequest&) { ++held_; }));
  }
  static HttpRequest RequestTo(const HttpServer& server) {
    return {.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/",
            .timeout = std::chrono::seconds(60)};
  }
  // The least of several rounds, since other processes disturb single ones.
  std::chrono::duration<double> TimeOfQuickRequests() {
    std::chrono::duration<double> least = std::chrono::hours(1);
    for (int round = 0; round < kRounds; ++round) {
      const auto before = ProcessorTime();
      for (int i = 0; i < kQuickRequests; ++i) {
        EXPECT_TRUE(SendAndWait(client_, RequestTo(*quick_)).ok());
      }
      least = std::min(least, ProcessorTime() - before);
    }
    return least;
  }

  std::atomic<std::size_t> held_{0};
  std::unique_ptr<HttpServer> quick_;
  std::unique_ptr<HttpServer> holding_;
  HttpClient client_{{.max_connections_per_host = 2 * kHeldRequests}};
};

TEST_F(HttpClientLoadTest, APromptResponseIsReportedAtOnce) {
  Duration longest{0};
  for (int i = 0; i < kQuickRequests * kRounds; ++i) {
    const TimePoint sent = BootClock::now();
    ASSERT_TRUE(SendAndWait(client_, RequestTo(*quick_)).ok());
    longest = std::max(longest, BootClock::now() - sent);
  }
  // A response that is overlooked shows after the client's longest wait.
  EXPECT_LT(longest, std::chrono::seconds(1));
}

TEST_F(HttpClientLoadTest, AResponseCostsTheSameHoweverManyRequestsWait) {
  const auto alone = TimeOfQuickRequests();
  for (std::size_t i = 1; i <= kHeldRequests; ++i) {
    ASSERT_TRUE(client_.Send(RequestTo(*holding_), [](const HttpResponse&) {}));
    if (i % kHeldAtOnce != 0) continue;
    while (held_ < i) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const auto beside_held_requests = TimeOfQuickRequests();
  EXPECT_LT(beside_held_requests.count(), 2 * alone.count());
  client_.Stop();
}

}  // namespace
}  // namespace chivewing
