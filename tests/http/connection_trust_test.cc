// Which open connections may be reused after a request has timed out.

#include "http/connection_trust.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

using std::chrono::seconds;

class ConnectionTrustTest : public testing::Test {
 protected:
  bool IsTrusted(int port) { return trust_.IsTrusted(now_, address_, port); }

  const std::string address_ = "10.0.0.1:80";
  TimePoint now_{std::chrono::hours(1)};
  ConnectionTrust trust_{seconds(20)};
};

TEST_F(ConnectionTrustTest, ATimeoutConcernsAllConnectionsToItsAddress) {
  EXPECT_TRUE(IsTrusted(1));
  trust_.OnAlive(address_, 1);
  trust_.OnTimeout(now_, address_);
  EXPECT_FALSE(IsTrusted(1));
  EXPECT_FALSE(IsTrusted(2));
  EXPECT_TRUE(trust_.IsTrusted(now_, "10.0.0.2:80", 1));
}

TEST_F(ConnectionTrustTest, AResponseSinceTheTimeoutRestoresTrust) {
  trust_.OnTimeout(now_, address_);
  trust_.OnAlive(address_, 1);
  EXPECT_TRUE(IsTrusted(1));
  EXPECT_FALSE(IsTrusted(2));
  trust_.OnTimeout(now_, address_);
  EXPECT_FALSE(IsTrusted(1));
}

TEST_F(ConnectionTrustTest, ATimeoutIsForgottenWithTheLastIdleConnection) {
  trust_.OnTimeout(now_, address_);
  now_ += seconds(20);
  EXPECT_FALSE(IsTrusted(1));
  now_ += seconds(1);
  EXPECT_TRUE(IsTrusted(1));
}

TEST_F(ConnectionTrustTest, AddressesWithOldTimeoutsTakeNoRoom) {
  for (int i = 0; i < 1000; ++i) {
    trust_.OnTimeout(now_, "10.0.0.1:" + std::to_string(i));
    now_ += seconds(1);
  }
  EXPECT_LE(trust_.suspect_addresses(), 22U);
}

}  // namespace
}  // namespace chivewing
