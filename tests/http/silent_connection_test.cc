// The HTTP client when open connections go silent while new ones work.

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <mutex>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "standins/blocking_http.h"
#include "standins/silencing_proxy.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{200};

class SilentConnectionTest : public testing::TestWithParam<std::size_t> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(server_.Start([this](const HttpServerRequest& request) {
      const std::lock_guard lock(mutex_);
      held_.push_back(request.id);
      if (held_.size() < respond_at_) return;
      for (const std::uint64_t id : held_) server_.Respond(id, {.body = "{}"});
      held_.clear();
    }));
    proxy_ = std::make_unique<SilencingProxy>(server_.port());
  }
  HttpRequest Request() const {
    return {.url = LoopbackUrl(proxy_->port(), "/"), .timeout = kTimeout};
  }
  // Opens so many connections, and leaves them idle.
  void OpenConnections(std::size_t count) {
    RespondOnceHeld(count);
    std::vector<std::future<HttpResponse>> responses;
    for (std::size_t i = 0; i < count; ++i) responses.push_back(Send());
    for (auto& response : responses) ASSERT_TRUE(response.get().ok());
    RespondOnceHeld(1);
  }
  std::future<HttpResponse> Send() {
    auto response = std::make_shared<std::promise<HttpResponse>>();
    client_.Send(Request(), [response](HttpResponse received) {
      response->set_value(std::move(received));
    });
    return response->get_future();
  }
  // The server responds to none before it has so many requests, then to all.
  void RespondOnceHeld(std::size_t requests) {
    const std::lock_guard lock(mutex_);
    respond_at_ = requests;
  }

  std::mutex mutex_;
  std::size_t respond_at_ = 1;
  std::vector<std::uint64_t> held_;
  HttpServer server_{{}};
  std::unique_ptr<SilencingProxy> proxy_;
  HttpClient client_;
};

TEST_P(SilentConnectionTest, ATimeoutEndsTheUseOfAllIdleConnections) {
  OpenConnections(GetParam());
  proxy_->SilenceOpenConnections();
  EXPECT_EQ(SendAndWait(client_, Request()).error, HttpError::kTimeout);
  EXPECT_TRUE(SendAndWait(client_, Request()).ok());
  EXPECT_TRUE(SendAndWait(client_, Request()).ok());
  EXPECT_EQ(proxy_->connections(), GetParam() + 1) << "the new one is reused";
}

INSTANTIATE_TEST_SUITE_P(IdleConnections, SilentConnectionTest,
                         testing::Values(1, 2, 3, 5, 20));

using ConnectionReuseTest = SilentConnectionTest;

TEST_F(ConnectionReuseTest, AConnectionThatRespondsAfterATimeoutIsKept) {
  RespondOnceHeld(2);
  std::future<HttpResponse> late = Send();
  std::this_thread::sleep_for(kTimeout / 2);
  HttpRequest unanswered = Request();
  unanswered.timeout = kTimeout / 4;
  unanswered.url = LoopbackUrl(proxy_->port(), "/unanswered");
  std::promise<HttpResponse> timed_out;
  RespondOnceHeld(3);
  client_.Send(std::move(unanswered), [&](HttpResponse response) {
    timed_out.set_value(std::move(response));
  });
  EXPECT_EQ(timed_out.get_future().get().error, HttpError::kTimeout);
  RespondOnceHeld(1);
  EXPECT_TRUE(SendAndWait(client_, Request()).ok());
  EXPECT_TRUE(late.get().ok());
  const std::size_t opened = proxy_->connections();
  OpenConnections(2);
  EXPECT_EQ(proxy_->connections(), opened);
}

}  // namespace
}  // namespace chivewing
