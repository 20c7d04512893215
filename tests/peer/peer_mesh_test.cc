#include "peer/peer_mesh.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <condition_variable>
#include <deque>
#include <mutex>

#include "peer/frame_buffer.h"
#include "peer/message_codec.h"
#include "peer/peer_send_queues.h"
#include "peer/socket.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
// Reached only if a test fails.
constexpr auto kFailureTimeout = std::chrono::seconds(20);
const char* const kKey = "shared key";

// Collects the events of a mesh for the test's thread.
class EventLog {
 public:
  void Add(PeerEvent event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    ready_.notify_all();
  }

  // Waits for the next event of the type, discarding others.
  template <typename Event>
  std::optional<Event> Next() {
    std::unique_lock lock(mutex_);
    const auto deadline = std::chrono::steady_clock::now() + kFailureTimeout;
    while (true) {
      while (!events_.empty()) {
        const PeerEvent event = std::move(events_.front());
        events_.pop_front();
        if (const auto* wanted = std::get_if<Event>(&event)) return *wanted;
      }
      if (ready_.wait_until(lock, deadline) == std::cv_status::timeout)
        return std::nullopt;
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<PeerEvent> events_;
};

PeerMeshSettings Settings(const std::string& host, std::uint64_t incarnation,
                          std::uint16_t port = 0) {
  PeerMeshSettings settings;
  settings.host = HostId(host);
  settings.zone = ZoneId("z1");
  settings.incarnation = incarnation;
  settings.key = kKey;
  settings.listen_address = "127.0.0.1:" + std::to_string(port);
  settings.heartbeat_interval = milliseconds(50);
  settings.read_idle_timeout = milliseconds(300);
  settings.hello_timeout = milliseconds(300);
  return settings;
}

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A mesh with its events.
struct Node {
  explicit Node(PeerMeshSettings settings)
      : mesh(
            std::move(PeerMesh::Start(std::move(settings), [this](PeerEvent e) {
                        log.Add(std::move(e));
                      }).value())) {}
  EventLog log;
  std::unique_ptr<PeerMesh> mesh;
};

void Join(Node& node, const std::string& host, const Node& other) {
  node.mesh->AddPeer({HostId(host), Local(other.mesh->port())});
}

// Waits until the condition holds, because another thread updates the counters.
bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kFailureTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

class PeerMeshTest : public testing::Test {
 protected:
  PeerMeshTest() : a_(Settings("a", 1)), b_(Settings("b", 1)) {
    Join(a_, "b", b_);
    Join(b_, "a", a_);
  }
  void AwaitUp() {
    ASSERT_TRUE(a_.log.Next<PeerUp>());
    ASSERT_TRUE(b_.log.Next<PeerUp>());
  }
  Node a_;
  Node b_;
};

TEST_F(PeerMeshTest, MessagesArriveWholeAndInOrder) {
  AwaitUp();
  const std::string body(300000, 'x');
  for (std::uint64_t id = 0; id < 20; ++id) {
    ForwardRequest forward;
    forward.forward_id = id;
    forward.body = body;
    ASSERT_TRUE(a_.mesh->Send(HostId("b"), forward));
  }
  for (std::uint64_t id = 0; id < 20; ++id) {
    const auto event = b_.log.Next<PeerMessageReceived>();
    ASSERT_TRUE(event);
    EXPECT_EQ(event->from, HostId("a"));
    EXPECT_EQ(event->incarnation, 1);
    const auto& forward = std::get<ForwardRequest>(event->message);
    EXPECT_EQ(forward.forward_id, id);
    EXPECT_EQ(forward.body, body);
  }
}

TEST_F(PeerMeshTest, HostBehindDropFilterGoesDownAndComesBackUp) {
  AwaitUp();
  a_.mesh->SetDropFilter(
      [](const HostId& host) { return host == HostId("b"); });
  const auto down = a_.log.Next<PeerDown>();
  ASSERT_TRUE(down);
  EXPECT_EQ(down->host, HostId("b"));
  ASSERT_TRUE(b_.log.Next<PeerDown>());
  EXPECT_FALSE(a_.mesh->Send(HostId("b"), RowsRequest{}));
  EXPECT_GE(a_.mesh->counters().idle_timeouts, 1U);
  a_.mesh->SetDropFilter({});
  AwaitUp();
}

TEST_F(PeerMeshTest, RejectsOversizedMessagesAndUnknownPeers) {
  AwaitUp();
  const HostId b("b");
  ForwardRequest forward;
  forward.body = std::string(5UL << 20, 'x');  // exceeds the maximum frame size
  EXPECT_FALSE(a_.mesh->Send(b, forward));
  EXPECT_FALSE(a_.mesh->Send(HostId("nobody"), RowsRequest{}));
  EXPECT_EQ(a_.mesh->Broadcast(RowsRequest{7, {}}), 1U);
  const auto event = b_.log.Next<PeerMessageReceived>();
  ASSERT_TRUE(event);
  EXPECT_EQ(std::get<RowsRequest>(event->message).since, 7);
}

TEST(PeerSendQueuesTest, LimitsQueuedBytesOfEachPeer) {
  PeerSendQueues queues(10);
  const HostId host("b");
  EXPECT_FALSE(queues.Push(host, "early"));
  queues.Open(host);
  EXPECT_TRUE(queues.Push(host, "123456"));
  EXPECT_FALSE(queues.Push(host, "12345"));
  EXPECT_EQ(queues.refused_full(), 1U);
  std::string taken;
  EXPECT_EQ(queues.Take(host, 100, taken), 1U);
  EXPECT_EQ(taken, "123456");
  EXPECT_TRUE(queues.Push(host, "1234567890"));
}

TEST(PeerMeshReplaceTest, NewProcessOfHostReplacesOldOne) {
  Node a(Settings("a", 1));
  auto old = std::make_unique<Node>(Settings("b", 1));
  const std::uint16_t port = old->mesh->port();
  Join(a, "b", *old);
  ASSERT_EQ(a.log.Next<PeerUp>()->incarnation, 1);
  EXPECT_EQ(PeerMesh::Start(Settings("b", 2, port), {}).error().code,
            ResultCode::kAddressInUse);
  old.reset();
  Node fresh(Settings("b", 2, port));
  const auto down = a.log.Next<PeerDown>();
  ASSERT_TRUE(down);
  EXPECT_EQ(down->incarnation, 1);
  const auto up = a.log.Next<PeerUp>();
  ASSERT_TRUE(up);
  EXPECT_EQ(up->incarnation, 2);
}

std::string HelloFrame(const std::string& key) {
  return MakeFrame(Encode(Hello{HostId("x"), ZoneId("z1"), 9, key, 1}));
}

// Accepts the next connection that a mesh dials to the listener.
UniqueFd AcceptDialled(const UniqueFd& listener) {
  UniqueFd fd;
  EXPECT_TRUE(Eventually([&] {
    fd = AcceptFrom(listener);
    return fd.get() >= 0;
  }));
  return fd;
}

// Sends the Hello of host b once and nothing after it.
void SendHello(const UniqueFd& fd, std::uint64_t incarnation) {
  const std::string hello =
      MakeFrame(Encode(Hello{HostId("b"), ZoneId("z1"), incarnation, kKey, 1}));
  EXPECT_EQ(send(fd.get(), hello.data(), hello.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(hello.size()));
}

TEST(PeerMeshSilenceTest, IdleConnectionIsReplacedBeforePeerIsReportedDown) {
  const UniqueFd listener = std::move(ListenOn("127.0.0.1:0").value());
  PeerMeshSettings settings = Settings("a", 1);
  settings.hello_timeout = milliseconds(1500);
  Node a(settings);
  a.mesh->AddPeer({HostId("b"), Local(BoundPort(listener))});
  const UniqueFd first = AcceptDialled(listener);
  SendHello(first, 1);
  const UniqueFd second = AcceptDialled(listener);  // the first timed out
  SendHello(second, 1);
  const UniqueFd third = AcceptDialled(listener);
  EXPECT_EQ(a.log.Next<PeerUp>()->incarnation, 1U);
  // Reported once: no Hello is sent on the third connection.
  EXPECT_TRUE(a.log.Next<PeerDown>());
  EXPECT_GE(a.mesh->counters().idle_timeouts, 3U);
  SendHello(AcceptDialled(listener), 2);
  EXPECT_EQ(a.log.Next<PeerUp>()->incarnation, 2U);
}

struct HostileCase {
  std::string name;
  std::string bytes;
  std::uint64_t PeerMeshCounters::*counter;
};

class HostilePeerTest : public testing::TestWithParam<HostileCase> {};

// Sends raw bytes to a mesh and waits until it closes the connection.
void SendRaw(std::uint16_t port, const std::string& bytes) {
  const UniqueFd fd = std::move(ConnectTo(Local(port)).value());
  timeval timeout{20, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::size_t sent = 0;
  std::array<char, 4096> sink;
  ASSERT_TRUE(Eventually([&] {
    const ssize_t count =
        send(fd.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) sent += static_cast<std::size_t>(count);
    const ssize_t got = recv(fd.get(), sink.data(), sink.size(), 0);
    return got == 0 || (got < 0 && errno == ECONNRESET);
  }));
}

TEST_P(HostilePeerTest, IsCountedAndOnlyItsConnectionIsClosed) {
  Node a(Settings("a", 1));
  Node b(Settings("b", 1));
  Join(a, "b", b);
  Join(b, "a", a);
  ASSERT_TRUE(a.log.Next<PeerUp>());
  ASSERT_TRUE(b.log.Next<PeerUp>());
  SendRaw(a.mesh->port(), GetParam().bytes);
  EXPECT_TRUE(
      Eventually([&] { return a.mesh->counters().*GetParam().counter == 1; }));
  ASSERT_TRUE(b.mesh->Send(HostId("a"), RowsRequest{7, {}}));
  const auto event = a.log.Next<PeerMessageReceived>();
  ASSERT_TRUE(event);
  EXPECT_EQ(std::get<RowsRequest>(event->message).since, 7);
}

std::string Huge() { return std::string("\x7f\xff\xff\xff", 4) + "x"; }

INSTANTIATE_TEST_SUITE_P(
    Frames, HostilePeerTest,
    testing::Values(
        HostileCase{"wrong_key", HelloFrame("other key"),
                    &PeerMeshCounters::unauthorised},
        HostileCase{"prefix_of_key", HelloFrame("shared"),
                    &PeerMeshCounters::unauthorised},
        HostileCase{"no_hello", MakeFrame(Encode(Heartbeat{1})),
                    &PeerMeshCounters::unauthorised},
        HostileCase{"garbage", MakeFrame("GET / HTTP/1.1\r\n"),
                    &PeerMeshCounters::bad_frames},
        HostileCase{"oversized", Huge(), &PeerMeshCounters::bad_frames},
        HostileCase{"truncated", HelloFrame(kKey).substr(0, 9),
                    &PeerMeshCounters::idle_timeouts},
        HostileCase{"nothing", "", &PeerMeshCounters::idle_timeouts},
        HostileCase{"garbage_after_hello", HelloFrame(kKey) + MakeFrame("\xc1"),
                    &PeerMeshCounters::bad_frames},
        HostileCase{"oversized_after_hello", HelloFrame(kKey) + Huge(),
                    &PeerMeshCounters::bad_frames},
        HostileCase{"second_hello", HelloFrame(kKey) + HelloFrame(kKey),
                    &PeerMeshCounters::bad_frames}),
    [](const auto& each) { return each.param.name; });

}  // namespace
}  // namespace chivewing
