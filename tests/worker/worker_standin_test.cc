#include "standins/worker_standin.h"

#include <gtest/gtest.h>

#include <thread>

#include "standins/blocking_http.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

bool Contains(const HttpResponse& answer, const std::string& text) {
  return answer.body.find(text) != std::string::npos;
}

std::string StartBody(int epoch, const std::string& task,
                      const std::string& more, int lease_ms = 60000) {
  return R"({"epoch":)" + std::to_string(epoch) + R"(,"lease_ms":)" +
         std::to_string(lease_ms) + R"(,"tasks":[{"task":")" + task + "\"," +
         more + "}]}";
}

class WorkerStandinTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(worker_.Start());
    url_ = "http://" + worker_.address();
  }

  HttpResponse Send(const std::string& path, const std::string& body) {
    return Post(url_ + path, body);
  }

  // Waits until the list of tasks contains `text`.
  void WaitForList(const std::string& text) {
    while (!Contains(Get(url_ + "/tasks"), text)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  WorkerStandin worker_{{.processors_milli = 1000, .memory_mb = 100}};
  std::string url_;
};

TEST_F(WorkerStandinTest, RefusesAndCountsStartsOverCapacity) {
  const std::string size = R"("processors_milli":600,"memory_mb":10)";
  EXPECT_TRUE(Contains(Send("/tasks/start", StartBody(1, "a", size)),
                       R"("status":"started")"));
  EXPECT_TRUE(Contains(Send("/tasks/start", StartBody(1, "a", size)),
                       R"("status":"exists")"));
  EXPECT_TRUE(Contains(Send("/tasks/start", StartBody(1, "b", size)),
                       R"("status":"no_room")"));
  EXPECT_EQ(worker_.counts().overcommits, 1U);
  EXPECT_TRUE(Contains(
      Send("/tasks/stop", R"({"epoch":1,"mode":"checkpoint","tasks":["a"]})"),
      R"("stopped":["a"])"));
  EXPECT_TRUE(Contains(Send("/tasks/start", StartBody(1, "b", size)),
                       R"("status":"started")"));
}

TEST_F(WorkerStandinTest, RefusesALowerEpoch) {
  Send("/tasks/renew", R"({"epoch":5,"lease_ms":100,"tasks":[]})");
  const HttpResponse old =
      Send("/tasks/start", StartBody(4, "a", R"("slots":1)"));
  EXPECT_EQ(old.status, 412);
  EXPECT_TRUE(Contains(old, R"("epoch":5)"));
  EXPECT_TRUE(worker_.running().empty());
}

TEST_F(WorkerStandinTest, EndsTasksByLeaseAndByRunTime) {
  Send("/tasks/start", StartBody(1, "a", R"("run_ms":0)", 20));
  WaitForList(R"("lapsed")");
  Send("/tasks/start", StartBody(1, "b", R"("run_ms":20)"));
  WaitForList(R"("done")");
  const HttpResponse renewed =
      Send("/tasks/renew", R"({"epoch":1,"lease_ms":9,"tasks":["a","b"]})");
  EXPECT_TRUE(Contains(renewed, R"("unknown":["a","b"])"));
}

TEST_F(WorkerStandinTest, ServiceTaskServesAndStopsWhenItsWorkHasEnded) {
  Send("/tasks/start", StartBody(1, "s", R"("service":true,"slots":1)"));
  const auto target = worker_.Target("s");
  ASSERT_NE(target, nullptr);
  const std::string run = "http://" + target->address() + "/run";
  HttpResponse whole;
  std::thread running([&] {
    whole = Post(run, "text", {{"X-Request-Id", "r1"}, {"X-Work-Ms", "300"}});
  });
  while (target->running() == 0) std::this_thread::yield();
  const HttpResponse second = Post(run, "text", {{"X-Request-Id", "r2"}});
  EXPECT_EQ(second.status, 429);
  EXPECT_EQ(second.Header("x-not-run"), "slots");
  const std::string stop = R"({"epoch":1,"mode":"stop","tasks":["s"]})";
  EXPECT_TRUE(Contains(Send("/tasks/stop", stop), R"("stopped":[])"));
  EXPECT_EQ(Post(run, "late").Header("x-not-run"), "leaving");
  running.join();
  EXPECT_EQ(whole.Header("x-request-id"), "r1");
  EXPECT_TRUE(Contains(whole, R"("body":"text")"));
  EXPECT_TRUE(Contains(whole, R"("request":"r1")"));
  WaitForList(R"("stopped")");
  EXPECT_EQ(target->ran(), (std::map<std::string, int>{{"r1", 1}}));
}

TEST_F(WorkerStandinTest, FailAllFaultFailsEveryStart) {
  Send("/fault", R"({"fail_all":true})");
  EXPECT_TRUE(Contains(Send("/tasks/start", StartBody(1, "a", R"("slots":1)")),
                       R"("status":"failed")"));
}

struct TargetFaultCase {
  const char* name;
  const char* faults;
  HttpError fault;
  int status;
  int ran;      // number of runs of the request
  bool is_own;  // true: the response is complete and matches the request
};

class TargetFaultTest : public testing::TestWithParam<TargetFaultCase> {};

TEST_P(TargetFaultTest, ClientSeesTheFault) {
  TargetStandin target;
  ASSERT_TRUE(target.Start());
  HttpClient client;
  HttpRequest request{.method = "POST",
                      .url = "http://" + target.address() + "/run",
                      .headers = {{"X-Request-Id", "r0"}},
                      .timeout = milliseconds(300)};
  ASSERT_TRUE(SendAndWait(client, request).ok());
  ASSERT_TRUE(target.SetFaults(GetParam().faults));
  request.headers = {{"X-Request-Id", "r1"}};
  const HttpResponse answer = SendAndWait(client, request);
  EXPECT_EQ(answer.error, GetParam().fault);
  EXPECT_EQ(answer.status, GetParam().status);
  EXPECT_EQ(target.ran()["r1"], GetParam().ran);
  const bool is_own = answer.ok() && answer.Header("x-request-id") == "r1";
  EXPECT_EQ(is_own, GetParam().is_own);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, TargetFaultTest,
    testing::Values(TargetFaultCase{"None", "{}", HttpError::kNone, 200, 1,
                                    true},
                    TargetFaultCase{"SilentOpen", R"({"silent_open":true})",
                                    HttpError::kTimeout, 0, 0, false},
                    TargetFaultCase{"Late", R"({"late_ms":5000})",
                                    HttpError::kTimeout, 0, 1, false},
                    TargetFaultCase{"Crossed", R"({"crossed":true})",
                                    HttpError::kNone, 200, 1, false},
                    TargetFaultCase{"Truncated", R"({"truncate":true})",
                                    HttpError::kConnectionLost, 200, 1, false},
                    TargetFaultCase{"Leaving", R"({"leaving":true})",
                                    HttpError::kNone, 503, 0, false},
                    TargetFaultCase{"Refusing", R"({"refuse":true})",
                                    HttpError::kNone, 429, 0, false}),
    [](const auto& each) { return each.param.name; });

TEST(TargetStandinTest, NewConnectionsWorkWhileOpenOnesAreSilent) {
  TargetStandin target;
  ASSERT_TRUE(target.Start());
  HttpClient client;
  HttpRequest request{.method = "POST",
                      .url = "http://" + target.address() + "/run"};
  ASSERT_TRUE(SendAndWait(client, request).ok());
  target.SetFaults(R"({"silent_open":true})");
  request.force_new_connection = true;
  EXPECT_TRUE(SendAndWait(client, request).ok());
}

}  // namespace
}  // namespace chivewing
