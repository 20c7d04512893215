#include "peer/peer_mesh_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "base/log.h"
#include "peer/message_codec.h"

namespace chivewing {
namespace {

constexpr std::uint64_t kListenerId = 1;
constexpr std::uint64_t kWakeId = 2;
constexpr std::uint64_t kFirstConnectionId = 3;
constexpr std::uint64_t kProtocol = 1;
constexpr std::size_t kMaxHelloBytes = 4096;
constexpr std::size_t kWriteAheadBytes = 256UL * 1024;
constexpr std::size_t kMaxEchoBytes = 64UL * 1024;
constexpr int kMaxEventsPerWait = 64;
constexpr int kMaxWaitMs = 1000;
// Accepted connections get a longer idle timeout than dialled ones, so that the
// dialling host, which sends the heartbeats, times out first.
constexpr int kAcceptedIdleFactor = 2;

// Compares in time independent of the position of the first difference.
bool IsSameKey(const std::string& a, const std::string& b) {
  std::size_t difference = a.size() ^ b.size();
  for (std::size_t i = 0; i < a.size(); ++i) {
    const char other = b.empty() ? '\0' : b[i % b.size()];
    difference |= static_cast<unsigned char>(a[i] ^ other);
  }
  return difference == 0;
}

// For epoll_wait: rounded up, so that it does not wake up too early.
int MillisecondsUntil(TimePoint due) {
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(due - BootClock::now());
  return static_cast<int>(std::max<std::int64_t>(wait.count(), 0));
}

void AddToEpoll(const UniqueFd& epoll, const UniqueFd& fd, std::uint64_t id,
                std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = id;
  epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd.get(), &event);
}

}  // namespace

PeerMeshLoop::PeerMeshLoop(PeerMeshSettings settings, PeerEventHandler handler,
                           UniqueFd listener)
    : settings_(std::move(settings)),
      handler_(std::move(handler)),
      listener_(std::move(listener)),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      send_queues_(settings_.max_queued_bytes),
      next_connection_(kFirstConnectionId),
      address_changes_(settings_.peers) {
  AddToEpoll(epoll_, listener_, kListenerId, EPOLLIN);
  AddToEpoll(epoll_, wake_, kWakeId, EPOLLIN);
  thread_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) Run();
  });
}

PeerMeshLoop::~PeerMeshLoop() {
  thread_.request_stop();
  Wake();
  thread_.join();
}

PeerMeshCounters PeerMeshLoop::counters() const {
  const std::lock_guard lock(mutex_);
  PeerMeshCounters copy = counters_;
  copy.refused_full = send_queues_.refused_full();
  return copy;
}

bool PeerMeshLoop::Send(const HostId& to, const PeerMessage& message) {
  const std::string payload = Encode(message);
  if (payload.size() > settings_.max_frame_bytes) return false;
  const bool queued = send_queues_.Push(to, MakeFrame(payload));
  if (queued) Wake();
  return queued;
}

std::size_t PeerMeshLoop::Broadcast(const PeerMessage& message) {
  const std::string payload = Encode(message);
  if (payload.size() > settings_.max_frame_bytes) return 0;
  const std::size_t queued = send_queues_.PushAll(MakeFrame(payload));
  if (queued > 0) Wake();
  return queued;
}

std::size_t PeerMeshLoop::SendToEach(const std::vector<HostId>& to,
                                     const PeerMessage& message) {
  const std::string payload = Encode(message);
  if (payload.size() > settings_.max_frame_bytes) return 0;
  const std::string frame = MakeFrame(payload);
  const auto queued = static_cast<std::size_t>(std::count_if(
      to.begin(), to.end(),
      [&](const HostId& host) { return send_queues_.Push(host, frame); }));
  if (queued > 0) Wake();
  return queued;
}

void PeerMeshLoop::SetPeerAddress(const PeerAddress& peer) {
  {
    const std::lock_guard lock(mutex_);
    address_changes_.push_back(peer);
  }
  Wake();
}

void PeerMeshLoop::SetDropFilter(
    std::function<bool(const HostId&)> should_drop) {
  const std::lock_guard lock(mutex_);
  drop_filter_ = std::move(should_drop);
}

void PeerMeshLoop::Wake() {
  if (wake_pending_.exchange(true)) return;
  const std::uint64_t one = 1;
  const ssize_t ignored = write(wake_.get(), &one, sizeof(one));
  // Only a full counter fails, and that wakes the loop as well.
  static_cast<void>(ignored);
}

void PeerMeshLoop::Count(std::uint64_t PeerMeshCounters::*counter,
                         std::uint64_t by) {
  const std::lock_guard lock(mutex_);
  counters_.*counter += by;
}

bool PeerMeshLoop::IsDropped(const HostId& host) const {
  std::function<bool(const HostId&)> should_drop;
  {
    const std::lock_guard lock(mutex_);
    should_drop = drop_filter_;
  }
  return should_drop && should_drop(host);
}

void PeerMeshLoop::Run() {
  ApplyAddressChanges();
  RunTimers(BootClock::now());
  FlushSendQueues(BootClock::now());
  Wait();
}

void PeerMeshLoop::Wait() {
  std::array<epoll_event, kMaxEventsPerWait> events;
  const int count = epoll_wait(epoll_.get(), events.data(), kMaxEventsPerWait,
                               MillisecondsUntil(timers_at_));
  const TimePoint now = BootClock::now();
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    if (event.data.u64 == kListenerId) {
      AcceptAll(now);
    } else if (event.data.u64 == kWakeId) {
      std::uint64_t wakes = 0;
      const ssize_t ignored = read(wake_.get(), &wakes, sizeof(wakes));
      static_cast<void>(ignored);
      wake_pending_ = false;
    } else {
      OnReady(now, event.data.u64, event.events);
    }
  }
}

void PeerMeshLoop::ApplyAddressChanges() {
  std::vector<PeerAddress> changes;
  {
    const std::lock_guard lock(mutex_);
    changes.swap(address_changes_);
  }
  for (const PeerAddress& change : changes) {
    if (change.host == settings_.host) continue;
    const auto found = peers_.find(change.host);
    const bool known = found != peers_.end();
    if (known && found->second.address == change.address) continue;
    if (known) RemovePeer(change.host);
    if (change.address.empty()) continue;
    Peer& peer = peers_[change.host];
    peer.address = change.address;
    peer.dial_at = BootClock::now();
    timers_at_ = TimePoint{};
  }
}

void PeerMeshLoop::RemovePeer(const HostId& host) {
  Peer& peer = peers_.at(host);
  const ConnectionId id = std::exchange(peer.connection, 0);
  if (peer.announced) AnnounceDown(host, peer);
  send_queues_.Close(host);
  peers_.erase(host);
  if (id != 0) Close(BootClock::now(), id);
}

std::optional<TimePoint> PeerMeshLoop::TimeoutAt(
    const PeerConnection& connection) const {
  if (connection.stage != Stage::kOpen) {
    return connection.opened_at + settings_.hello_timeout;
  }
  const int factor = connection.dialled ? 1 : kAcceptedIdleFactor;
  return connection.last_read_at + settings_.read_idle_timeout * factor;
}

void PeerMeshLoop::RunTimers(TimePoint now) {
  if (now < timers_at_) return;
  std::vector<ConnectionId> timed_out;
  for (const auto& [id, connection] : connections_) {
    if (now >= *TimeoutAt(connection)) timed_out.push_back(id);
  }
  for (const ConnectionId id : timed_out) {
    Count(&PeerMeshCounters::idle_timeouts);
    Close(now, id);
  }
  for (auto& [host, peer] : peers_) {
    if (peer.connection == 0) {
      if (now >= peer.dial_at) Dial(now, host, peer);
      continue;
    }
    PeerConnection& connection = connections_.at(peer.connection);
    if (connection.stage != Stage::kOpen || now < peer.heartbeat_at) continue;
    peer.heartbeat_at = now + settings_.heartbeat_interval;
    QueueFrame(connection, Heartbeat{++peer.sequence});
    UpdateWriteEvents(peer.connection, connection);
  }
  timers_at_ = NextTimer(now);
}

TimePoint PeerMeshLoop::NextTimer(TimePoint now) const {
  TimePoint due = now + std::chrono::milliseconds(kMaxWaitMs);
  for (const auto& [id, connection] : connections_) {
    due = std::min(due, *TimeoutAt(connection));
  }
  for (const auto& [host, peer] : peers_) {
    if (peer.connection == 0) {
      due = std::min(due, peer.dial_at);
    } else if (connections_.at(peer.connection).stage == Stage::kOpen) {
      due = std::min(due, peer.heartbeat_at);
    }
  }
  return due;
}

void PeerMeshLoop::Dial(TimePoint now, const HostId& host, Peer& peer) {
  Result<UniqueFd> fd = ConnectTo(peer.address);
  if (!fd) {
    OnDialledClosed(now, host, Stage::kConnecting);
    return;
  }
  PeerConnection connection(std::move(fd).value(), true, kMaxHelloBytes, now);
  connection.host = host;
  peer.connection = Register(std::move(connection));
}

void PeerMeshLoop::AcceptAll(TimePoint now) {
  for (int i = 0; i < kMaxEventsPerWait; ++i) {
    UniqueFd fd = AcceptFrom(listener_);
    if (fd.get() < 0) return;
    if (accepted_ >= settings_.max_accepted) {
      Count(&PeerMeshCounters::closed);
      continue;
    }
    ++accepted_;
    Count(&PeerMeshCounters::accepted);
    Register(PeerConnection(std::move(fd), false, kMaxHelloBytes, now));
  }
}

PeerMeshLoop::ConnectionId PeerMeshLoop::Register(PeerConnection connection) {
  const ConnectionId id = next_connection_++;
  timers_at_ = TimePoint{};
  AddToEpoll(epoll_, connection.fd, id, EPOLLIN | EPOLLOUT);
  connections_.emplace(id, std::move(connection));
  return id;
}

void PeerMeshLoop::OnReady(TimePoint now, ConnectionId id,
                           std::uint32_t events) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool writable = (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0;
  if (writable && !OnWritable(now, found->second)) {
    Close(now, id);
    return;
  }
  const bool readable = (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0;
  if (readable && !OnReadable(now, id)) {
    Close(now, id);
    return;
  }
  Flush(now, id);
}

bool PeerMeshLoop::OnWritable(TimePoint now, PeerConnection& connection) {
  if (connection.stage != Stage::kConnecting) return true;
  if (!IsConnected(connection.fd)) return false;
  connection.stage = Stage::kHandshake;
  connection.last_read_at = now;
  QueueFrame(connection,
             Hello{settings_.host, settings_.zone, settings_.incarnation,
                   settings_.key, kProtocol});
  return true;
}

bool PeerMeshLoop::OnReadable(TimePoint now, ConnectionId id) {
  PeerConnection& connection = connections_.at(id);
  std::size_t count = 0;
  const bool open = connection.Read(count);
  Count(&PeerMeshCounters::bytes_received, count);
  if (count > 0 && !IsDropped(connection.host)) connection.last_read_at = now;
  while (true) {
    const Result<std::optional<std::string>> frame = connection.frames.Next();
    if (!frame) {
      Count(&PeerMeshCounters::bad_frames);
      return false;
    }
    if (!frame.value()) return open;
    Count(&PeerMeshCounters::frames_received);
    if (!OnFrame(now, id, *frame.value())) return false;
  }
}

bool PeerMeshLoop::OnFrame(TimePoint now, ConnectionId id,
                           const std::string& payload) {
  PeerConnection& connection = connections_.at(id);
  if (IsDropped(connection.host)) return true;
  Result<PeerMessage> message = Decode(payload);
  if (!message) {
    Count(&PeerMeshCounters::bad_frames);
    LogWarning(LogPart::kPeer, "closing connection: bad frame from " +
                                   connection.host.value() + ": " +
                                   message.error().detail);
    return false;
  }
  if (connection.stage == Stage::kOpen) {
    return OnMessage(connection, std::move(message).value());
  }
  const Hello* hello = std::get_if<Hello>(&message.value());
  if (hello == nullptr) {
    Count(&PeerMeshCounters::unauthorised);
    return false;
  }
  if (IsDropped(hello->host)) return true;
  return OnHello(now, id, *hello);
}

bool PeerMeshLoop::IsAuthorised(const PeerConnection& connection,
                                const Hello& hello) const {
  if (!IsSameKey(settings_.key, hello.key)) return false;
  if (hello.protocol != kProtocol || hello.host.empty()) return false;
  if (hello.host == settings_.host) return false;
  return !connection.dialled || hello.host == connection.host;
}

bool PeerMeshLoop::OnHello(TimePoint now, ConnectionId id, const Hello& hello) {
  PeerConnection& connection = connections_.at(id);
  if (!IsAuthorised(connection, hello)) {
    Count(&PeerMeshCounters::unauthorised);
    LogWarning(LogPart::kPeer,
               "closing connection: Hello has a wrong key, host or protocol "
               "version");
    return false;
  }
  connection.stage = Stage::kOpen;
  timers_at_ = TimePoint{};
  connection.host = hello.host;
  connection.incarnation = hello.incarnation;
  connection.frames.set_max_payload(settings_.max_frame_bytes);
  if (!connection.dialled) return OnAcceptedHello(now, id, hello);
  OnDialledHello(now, id, hello);
  return true;
}

void PeerMeshLoop::OnDialledHello(TimePoint now, ConnectionId id,
                                  const Hello& hello) {
  Peer& peer = peers_.at(connections_.at(id).host);
  const bool replaced = peer.announced && peer.incarnation != hello.incarnation;
  if (replaced) AnnounceDown(hello.host, peer);
  peer.backoff = Duration(0);
  peer.heartbeat_at = now;
  peer.zone = hello.zone;
  peer.incarnation = hello.incarnation;
  send_queues_.Open(hello.host);
  if (std::exchange(peer.announced, true)) return;
  LogInfo(LogPart::kPeer, "host " + hello.host.value() +
                              " is up, incarnation " +
                              std::to_string(hello.incarnation));
  handler_(PeerUp{hello.host, hello.zone, hello.incarnation});
}

bool PeerMeshLoop::OnAcceptedHello(TimePoint now, ConnectionId id,
                                   const Hello& hello) {
  if (!CloseOlderAccepted(id, hello)) return false;
  QueueFrame(connections_.at(id),
             Hello{settings_.host, settings_.zone, settings_.incarnation,
                   settings_.key, kProtocol});
  // The Hello came from a new process: the connection dialled to the old
  // process is dead.
  const auto found = peers_.find(hello.host);
  if (found == peers_.end()) return true;
  const Peer& peer = found->second;
  if (peer.announced && peer.incarnation < hello.incarnation &&
      peer.connection != 0) {
    Close(now, peer.connection);
  }
  return true;
}

// Closes older accepted connections of the same host. Returns false if a
// connection of a newer process exists.
bool PeerMeshLoop::CloseOlderAccepted(ConnectionId id, const Hello& hello) {
  std::vector<ConnectionId> older;
  for (const auto& [other, connection] : connections_) {
    if (other == id || connection.dialled) continue;
    if (connection.host != hello.host) continue;
    if (connection.incarnation > hello.incarnation) return false;
    older.push_back(other);
  }
  for (const ConnectionId other : older) Close(BootClock::now(), other);
  return true;
}

bool PeerMeshLoop::OnMessage(PeerConnection& connection, PeerMessage message) {
  const bool is_echo = std::holds_alternative<HeartbeatEcho>(message);
  const bool out_of_place =
      connection.dialled != is_echo || std::holds_alternative<Hello>(message);
  if (out_of_place) {
    Count(&PeerMeshCounters::bad_frames);
    return false;
  }
  if (is_echo) return true;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    QueueFrame(connection, HeartbeatEcho{heartbeat->sequence});
    return connection.unsent() <= kMaxEchoBytes;
  }
  handler_(PeerMessageReceived{connection.host, connection.incarnation,
                               std::move(message)});
  return true;
}

void PeerMeshLoop::QueueFrame(PeerConnection& connection,
                              const PeerMessage& message) {
  if (IsDropped(connection.host)) return;
  connection.output.append(MakeFrame(Encode(message)));
  Count(&PeerMeshCounters::frames_sent);
}

// A connection that does not take all frames now is flushed when it becomes
// writable.
void PeerMeshLoop::FlushSendQueues(TimePoint now) {
  for (const HostId& host : send_queues_.TakeFilled()) {
    const auto peer = peers_.find(host);
    if (peer != peers_.end()) Flush(now, peer->second.connection);
  }
}

void PeerMeshLoop::Flush(TimePoint now, ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  PeerConnection& connection = found->second;
  if (connection.stage == Stage::kConnecting) return;
  const bool sends_queue =
      connection.dialled && connection.stage == Stage::kOpen;
  std::size_t count = 0;
  bool good = connection.Write(count);
  while (good && sends_queue && connection.unsent() == 0) {
    std::string frames;
    const std::size_t taken =
        send_queues_.Take(connection.host, kWriteAheadBytes, frames);
    if (taken == 0) break;
    if (IsDropped(connection.host)) continue;
    connection.output = std::move(frames);
    Count(&PeerMeshCounters::frames_sent, taken);
    good = connection.Write(count);
  }
  Count(&PeerMeshCounters::bytes_sent, count);
  if (!good) {
    Close(now, id);
    return;
  }
  UpdateWriteEvents(id, connection);
}

void PeerMeshLoop::UpdateWriteEvents(ConnectionId id,
                                     PeerConnection& connection) {
  const bool wanted = connection.unsent() > 0;
  if (wanted == connection.write_events_enabled) return;
  epoll_event event{};
  event.events = wanted ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event.data.u64 = id;
  epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, connection.fd.get(), &event);
  connection.write_events_enabled = wanted;
}

void PeerMeshLoop::Close(TimePoint now, ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool dialled = found->second.dialled;
  const HostId host = found->second.host;
  const Stage stage = found->second.stage;
  connections_.erase(found);
  Count(&PeerMeshCounters::closed);
  if (dialled) {
    OnDialledClosed(now, host, stage);
    return;
  }
  --accepted_;
  Count(&PeerMeshCounters::accepted, static_cast<std::uint64_t>(-1));
}

// The loss of an open connection does not show that the peer is down: a new
// connection is tried at once, and the peer is reported down only if that
// fails.
void PeerMeshLoop::OnDialledClosed(TimePoint now, const HostId& host,
                                   Stage stage) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.connection = 0;
  timers_at_ = TimePoint{};
  send_queues_.Close(host);
  if (stage == Stage::kOpen) {
    peer.dial_at = now;
    return;
  }
  if (peer.announced) AnnounceDown(host, peer);
  const Duration first = settings_.initial_reconnect_delay;
  const Duration last = settings_.max_reconnect_delay;
  peer.backoff = std::clamp<Duration>(peer.backoff * 2, first, last);
  peer.dial_at = now + peer.backoff;
}

void PeerMeshLoop::AnnounceDown(const HostId& host, Peer& peer) {
  peer.announced = false;
  LogWarning(LogPart::kPeer,
             "host " + host.value() +
                 " reported as down: unreachable, replaced or removed");
  handler_(PeerDown{host, peer.incarnation});
}

}  // namespace chivewing
