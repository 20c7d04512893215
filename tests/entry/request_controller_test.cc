#include "entry/request_controller.h"

#include <gtest/gtest.h>

#include <optional>

namespace chivewing {
namespace {

const HostId kPeer("entry-b");

// A flow whose only slots are at a peer.
class ForwardTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  ForwardTest() : flow_(Settings(), Ports()) {
    CatalogueEntry entry;
    entry.name = EntryName("hint-reveal");
    entry.policy.idempotent = true;
    Handle(ServicesChanged{{entry}, {}});
    Handle(PeerEvent(PeerUp{kPeer, ZoneId("zone"), 1}));
    PeerLoadReport load;
    load.loads.push_back({entry.name, 8, 8, 0});
    FromPeer(load);
  }

  static RequestControllerSettings Settings() {
    RequestControllerSettings settings;
    settings.host = HostId("entry-a");
    settings.incarnation = GetParam();
    return settings;
  }

  RequestCallbacks Ports() {
    RequestCallbacks ports;
    ports.send_peer = [this](const HostId&, const PeerMessage& message) {
      if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
        forward_ = *forward;
      }
      return true;
    };
    ports.respond_to_caller = [this](std::uint64_t,
                                     const HttpServerResponse& reply) {
      reply_ = reply;
    };
    return ports;
  }

  void Handle(RequestEvent event) { flow_.Handle(now_, event); }
  void FromPeer(PeerMessage message) {
    Handle(PeerEvent(PeerMessageReceived{kPeer, 1, std::move(message)}));
  }
  void Call() {
    HttpServerRequest call;
    call.id = 1;
    call.method = "POST";
    call.path = "/v1/requests/hint-reveal";
    call.body = "letter";
    Handle(CallerRequestReceived{std::move(call)});
  }

  TimePoint now_{std::chrono::hours(1)};
  std::optional<ForwardRequest> forward_;
  std::optional<HttpServerResponse> reply_;
  RequestController flow_;
};

TEST_P(ForwardTest, AnswerOfThePeerReachesTheCaller) {
  Call();
  ASSERT_TRUE(forward_);
  EXPECT_EQ(forward_->body, "letter");
  ForwardResponse answer;
  answer.forward_id = forward_->forward_id;
  answer.code = ResultCode::kOk;
  answer.status = 200;
  answer.body = "revealed";
  FromPeer(answer);
  ASSERT_TRUE(reply_);
  EXPECT_EQ(reply_->status, 200);
  EXPECT_EQ(reply_->body, "revealed");
}

TEST_P(ForwardTest, LeavingPeerGetsNoForward) {
  FromPeer(Leaving{1});
  Call();
  EXPECT_FALSE(forward_);
}

// With and without the highest bit that hop ids take from the incarnation.
INSTANTIATE_TEST_SUITE_P(Incarnations, ForwardTest,
                         testing::Values(1U, std::uint64_t{1} << 27U,
                                         (std::uint64_t{1} << 28U) - 1));

}  // namespace
}  // namespace chivewing
