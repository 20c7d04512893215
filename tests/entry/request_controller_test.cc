#include "entry/request_controller.h"

#include <gtest/gtest.h>

#include <optional>

namespace chivewing {
namespace {

const HostId kPeer("entry-b");

// A controller that has no instances of its own: the only free slots are at a
// peer, so every request is forwarded. Guards against forward ids that break
// when the incarnation fills their high bits.
class ForwardTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  ForwardTest() : controller_(Settings(), Callbacks()) {
    CatalogueEntry entry;
    entry.name = EntryName("hint-reveal");
    entry.policy.idempotent = true;
    HandleEvent(ServicesChanged{{entry}, {}});
    HandleEvent(PeerEvent(PeerUp{kPeer, ZoneId("zone"), 1}));
    PeerLoadReport load;
    load.loads.push_back({entry.name, 8, 8, 0});
    ReceiveFromPeer(load);
  }

  static RequestControllerSettings Settings() {
    RequestControllerSettings settings;
    settings.host = HostId("entry-a");
    settings.incarnation = GetParam();
    return settings;
  }

  RequestCallbacks Callbacks() {
    RequestCallbacks callbacks;
    callbacks.send_peer = [this](const HostId&, const PeerMessage& message) {
      if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
        sent_forward_ = *forward;
      }
      return true;
    };
    callbacks.respond_to_caller = [this](std::uint64_t,
                                         const HttpServerResponse& response) {
      caller_response_ = response;
    };
    return callbacks;
  }

  void HandleEvent(RequestEvent event) { controller_.HandleEvent(now_, event); }
  void ReceiveFromPeer(PeerMessage message) {
    HandleEvent(PeerEvent(PeerMessageReceived{kPeer, 1, std::move(message)}));
  }
  void SendRequest() {
    HttpServerRequest request;
    request.id = 1;
    request.method = "POST";
    request.path = "/v1/requests/hint-reveal";
    request.body = "letter";
    HandleEvent(CallerRequestReceived{std::move(request)});
  }

  TimePoint now_{std::chrono::hours(1)};
  std::optional<ForwardRequest> sent_forward_;
  std::optional<HttpServerResponse> caller_response_;
  RequestController controller_;
};

TEST_P(ForwardTest, PeerResponseIsReturnedToCaller) {
  SendRequest();
  ASSERT_TRUE(sent_forward_);
  EXPECT_EQ(sent_forward_->body, "letter");
  ForwardResponse response;
  response.forward_id = sent_forward_->forward_id;
  response.code = ResultCode::kOk;
  response.status = 200;
  response.body = "revealed";
  ReceiveFromPeer(response);
  ASSERT_TRUE(caller_response_);
  EXPECT_EQ(caller_response_->status, 200);
  EXPECT_EQ(caller_response_->body, "revealed");
}

TEST_P(ForwardTest, DoesNotForwardToLeavingPeer) {
  ReceiveFromPeer(Leaving{1});
  SendRequest();
  EXPECT_FALSE(sent_forward_);
}

// With and without the highest bit that forward ids take from the incarnation.
INSTANTIATE_TEST_SUITE_P(Incarnations, ForwardTest,
                         testing::Values(1U, std::uint64_t{1} << 27U,
                                         (std::uint64_t{1} << 28U) - 1));

}  // namespace
}  // namespace chivewing
