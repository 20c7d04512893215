#include "cluster/incarnation_connections.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

const char* const kAddress = "10.0.0.1:80";
const char* const kOtherAddress = "10.0.0.2:80";
constexpr milliseconds kFirst{1000};
constexpr milliseconds kSecond{2000};
constexpr int kPort = 40000;
constexpr int kManyPorts = 1000;
constexpr std::size_t kMost = 2;

TEST(IncarnationConnections, AConnectionLeadsToTheIncarnationThatAnswered) {
  IncarnationConnections connections(kMost);
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kFirst));
  connections.OnAnswer(kAddress, kPort, kFirst);
  EXPECT_TRUE(connections.LeadsTo(kAddress, kPort, kFirst));
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kSecond));
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort + 1, kFirst));
  EXPECT_FALSE(connections.LeadsTo(kOtherAddress, kPort, kFirst));
}

// The port of a closed connection is used again for one to a later incarnation.
TEST(IncarnationConnections, ANewConnectionOfTheSamePortLeadsNowhereYet) {
  IncarnationConnections connections(kMost);
  connections.OnAnswer(kAddress, kPort, kFirst);
  connections.OnOpened(kAddress, kPort);
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kFirst));
  connections.OnAnswer(kAddress, kPort, kSecond);
  EXPECT_TRUE(connections.LeadsTo(kAddress, kPort, kSecond));
}

TEST(IncarnationConnections, AnAnswerWithoutAnIncarnationIsNotNoted) {
  IncarnationConnections connections(kMost);
  connections.OnAnswer(kAddress, kPort, milliseconds(0));
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, milliseconds(0)));
}

TEST(IncarnationConnections, OldConnectionsOfAnAddressAreForgotten) {
  IncarnationConnections connections(kMost);
  for (int port = kPort; port < kPort + kManyPorts; ++port)
    connections.OnAnswer(kAddress, port, kFirst);
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kFirst));
  EXPECT_TRUE(connections.LeadsTo(kAddress, kPort + kManyPorts - 1, kFirst));
}

TEST(IncarnationConnections, AnIdleConnectionAdmitsARequestOfItsIncarnation) {
  IncarnationConnections connections(kMost);
  EXPECT_FALSE(connections.Admit(kAddress, kFirst));
  connections.OnOpened(kAddress, kPort);
  connections.OnEnded(kAddress, kPort, /*answered=*/true);
  connections.OnAnswer(kAddress, kPort, kFirst);
  EXPECT_FALSE(connections.Admit(kAddress, kSecond));
  EXPECT_TRUE(connections.Admit(kAddress, kFirst));
  EXPECT_FALSE(connections.Admit(kAddress, kFirst)) << "one is on its way";
  connections.OnReused(kAddress, kPort);
  connections.OnArrived(kAddress);
  EXPECT_FALSE(connections.Admit(kAddress, kFirst)) << "it is busy";
  connections.OnEnded(kAddress, kPort, /*answered=*/true);
  EXPECT_TRUE(connections.Admit(kAddress, kFirst));
  connections.OnEnded(kAddress, kPort, /*answered=*/false);
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kFirst)) << "it is closed";
}

TEST(IncarnationConnections, BusyConnectionsAdmitIfThereAreNoOthers) {
  IncarnationConnections connections(kMost);
  for (int port = kPort; port < kPort + static_cast<int>(kMost); ++port) {
    EXPECT_FALSE(connections.Admit(kAddress, kFirst));
    connections.OnOpened(kAddress, port);
    connections.OnAnswer(kAddress, port, kFirst);
  }
  EXPECT_TRUE(connections.Admit(kAddress, kFirst));
}

TEST(IncarnationConnections, ClosedConnectionsAdmitNothing) {
  IncarnationConnections connections(kMost);
  connections.OnAnswer(kAddress, kPort, kFirst);
  connections.OnNoneIdle(kAddress);
  EXPECT_FALSE(connections.Admit(kAddress, kFirst));
  EXPECT_FALSE(connections.LeadsTo(kAddress, kPort, kFirst));
}

}  // namespace
}  // namespace chivewing
