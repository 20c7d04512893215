#include "http/http_server.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "base/time.h"
#include "http/http_server_loop.h"
#include "http/listen_socket.h"

namespace chivewing {
namespace {

constexpr int kUnauthorisedStatus = 401;
constexpr int kTooLargeStatus = 413;
constexpr int kNotRunStatus = 503;
constexpr int kUnknownStatus = 504;
constexpr std::string_view kBearer = "Bearer ";
// A body over the limit is read and discarded up to this many times the limit,
// so that the sender receives the 413 response. Beyond that the connection is
// closed.
constexpr std::size_t kDrainFactor = 8;
// Time limit of Stop for writing the last responses.
constexpr std::chrono::milliseconds kStopFlushTimeout{2000};
constexpr std::chrono::milliseconds kMinSweepInterval{20};
constexpr int kSweepsPerTimeout = 4;
constexpr std::size_t kBlockBytes = 16384;  // per read of a truncated body

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

// Compares in a time that depends only on the length of `given`, so that timing
// reveals nothing about the key.
bool EqualInConstantTime(std::string_view given, std::string_view key) {
  unsigned difference = given.size() == key.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    const char expected = key.empty() ? '\0' : key[i % key.size()];
    difference |= static_cast<unsigned char>(given[i] ^ expected);
  }
  return difference == 0;
}

HttpServerResponse ErrorReply(int status, std::string_view outcome,
                              ResultCode code) {
  std::string body = "{\"outcome\":\"" + std::string(outcome) +
                     "\",\"code\":" + std::to_string(static_cast<int>(code)) +
                     ",\"name\":\"" + std::string(Name(code)) + "\"}";
  return {.status = status, .body = std::move(body)};
}

HttpServerResponse NotRunReply(int status, ResultCode code) {
  return ErrorReply(status, "not_run", code);
}

// An accepted connection. `since` is the time at which the current wait for a
// request began.
struct Connection {
  std::uint64_t number = 0;
  int fd = -1;
  std::atomic<TimePoint> since{};
  std::atomic<bool> receiving{true};
};

// A request that is being received, awaits its response, or is being responded
// to.
struct Exchange {
  HttpServerRequest call;
  HttpServerResponse reply;
  std::size_t received = 0;
  // True when `reply` is sent without calling the handler.
  bool refused = false;
  bool handed_over = false;
  MHD_Connection* connection = nullptr;
};

// A body that ends before its Content-Length.
struct TruncatedBody {
  std::string body;
  std::size_t truncate_after = 0;
};

ssize_t ReadTruncatedBody(void* state, std::uint64_t position, char* out,
                          std::size_t room) {
  const auto* const cut = static_cast<TruncatedBody*>(state);
  if (position >= cut->truncate_after) return MHD_CONTENT_READER_END_WITH_ERROR;
  const std::size_t count = std::min(room, cut->truncate_after - position);
  cut->body.copy(out, count, position);
  return static_cast<ssize_t>(count);
}

void FreeTruncatedBody(void* state) {
  delete static_cast<TruncatedBody*>(state);
}

MHD_Response* MakeResponse(const HttpServerResponse& reply) {
  if (reply.truncate_body_after > 0 &&
      reply.truncate_body_after < reply.body.size()) {
    auto* const cut = new TruncatedBody{
        .body = reply.body, .truncate_after = reply.truncate_body_after};
    return MHD_create_response_from_callback(reply.body.size(), kBlockBytes,
                                             &ReadTruncatedBody, cut,
                                             &FreeTruncatedBody);
  }
  // The exchange owns both, so the body outlives the response.
  return MHD_create_response_from_buffer(reply.body.size(),
                                         const_cast<char*>(reply.body.data()),
                                         MHD_RESPMEM_PERSISTENT);
}

MHD_Result AddHeader(void* out, MHD_ValueKind /*kind*/, const char* name,
                     const char* value) {
  auto* const headers = static_cast<decltype(HttpServerRequest::headers)*>(out);
  (*headers)[LowerCase(name)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddQuery(void* out, MHD_ValueKind /*kind*/, const char* name,
                    const char* value) {
  auto* const query = static_cast<decltype(HttpServerRequest::query)*>(out);
  query->emplace(name, value == nullptr ? "" : value);
  return MHD_YES;
}

}  // namespace

std::string_view HttpServerRequest::Header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view{} : found->second;
}

std::string_view HttpServerRequest::Query(std::string_view name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string_view{} : found->second;
}

class HttpServer::Daemon {
 public:
  explicit Daemon(HttpServerOptions options) : options_(std::move(options)) {}
  ~Daemon() { Stop(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  Status Start(Handler handler);
  void Answer(std::uint64_t id, HttpServerResponse reply);
  void StopAccepting();
  void Stop();
  std::uint16_t port() const { return port_; }
  HttpServerCounters counts() const;

 private:
  Exchange* BeginExchange(MHD_Connection* connection, const char* url,
                          const char* method);
  void CheckRefusal(Exchange& exchange);
  MHD_Result TakeBody(Exchange& exchange, const char* data, std::size_t size);
  MHD_Result HandOver(Exchange& exchange);
  MHD_Result QueueReply(Exchange& exchange);
  void MarkReceived(MHD_Connection* connection);
  void EndCall();
  void AnswerWaiting();
  void Sweep();
  void CloseTimedOut(TimePoint now);
  MHD_Daemon* StartDaemon();
  void CloseLoops();

  static MHD_Result OnRequest(void* self, MHD_Connection* connection,
                              const char* url, const char* method,
                              const char* version, const char* data,
                              std::size_t* size, void** state);
  static void OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);
  static void OnConnection(void* self, MHD_Connection* connection,
                           void** socket_state,
                           MHD_ConnectionNotificationCode code);

  const HttpServerOptions options_;
  Handler handler_;
  std::vector<std::unique_ptr<HttpServerLoop>> loops_;
  std::uint16_t port_ = 0;
  // Stays open until Stop, because a loop may use the descriptor until then.
  int listen_fd_ = -1;
  std::atomic<bool> accepting_{false};
  std::atomic<bool> stopping_{false};

  std::mutex calls_mutex_;
  std::condition_variable calls_done_;
  std::unordered_map<std::uint64_t, Exchange*> waiting_;
  // Requests passed to the handler whose response is not yet written.
  std::size_t unfinished_ = 0;
  std::uint64_t last_call_ = 0;

  std::mutex connections_mutex_;
  std::condition_variable sweep_wake_;
  std::unordered_set<Connection*> connections_;
  std::uint64_t last_connection_ = 0;
  std::thread sweeper_;

  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<std::uint64_t> timed_out_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> accepted_{0};
  std::atomic<std::uint64_t> open_{0};
  std::atomic<std::uint64_t> most_open_{0};
};

Status HttpServer::Daemon::Start(Handler handler) {
  Result<ListenSocket> socket = OpenListenSocket(options_.address);
  if (!socket) return socket.error();
  port_ = socket.value().port;
  listen_fd_ = socket.value().fd;
  handler_ = std::move(handler);
  accepting_ = true;
  for (unsigned i = 0; i < options_.threads; ++i) {
    MHD_Daemon* const daemon = StartDaemon();
    if (daemon != nullptr) {
      loops_.push_back(std::make_unique<HttpServerLoop>(daemon));
    }
    if (daemon == nullptr || !loops_.back()->IsUsable()) {
      CloseLoops();
      return Error{
          ResultCode::kInternal,
          "HTTP server threads could not be started on " + options_.address};
    }
  }
  for (const auto& loop : loops_) loop->Start();
  sweeper_ = std::thread([this] { Sweep(); });
  return Ok();
}

// Starts a daemon without threads of its own on the listening socket.
MHD_Daemon* HttpServer::Daemon::StartDaemon() {
  const unsigned most =
      std::max(options_.max_connections / options_.threads, 1U);
  // Space for the header fields as text and as libmicrohttpd's parsed list.
  const std::size_t memory = 2 * options_.max_header_bytes + 4096;
  return MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port_, nullptr, nullptr,
      &Daemon::OnRequest, this, MHD_OPTION_LISTEN_SOCKET, listen_fd_,
      MHD_OPTION_CONNECTION_LIMIT, most, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      memory, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_NOTIFY_COMPLETED,
      &Daemon::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &Daemon::OnConnection, this, MHD_OPTION_END);
}

MHD_Result HttpServer::Daemon::OnRequest(void* self, MHD_Connection* connection,
                                         const char* url, const char* method,
                                         const char* /*version*/,
                                         const char* data, std::size_t* size,
                                         void** state) {
  auto* const daemon = static_cast<Daemon*>(self);
  if (*state == nullptr) {
    *state = daemon->BeginExchange(connection, url, method);
    return MHD_YES;
  }
  Exchange& exchange = *static_cast<Exchange*>(*state);
  if (*size > 0) {
    const std::size_t count = std::exchange(*size, 0);
    return daemon->TakeBody(exchange, data, count);
  }
  if (exchange.refused || exchange.handed_over) {
    return daemon->QueueReply(exchange);
  }
  return daemon->HandOver(exchange);
}

Exchange* HttpServer::Daemon::BeginExchange(MHD_Connection* connection,
                                            const char* url,
                                            const char* method) {
  auto* const exchange = new Exchange;
  exchange->connection = connection;
  exchange->call.method = method;
  exchange->call.path = url;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                            &exchange->call.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                            &exchange->call.query);
  CheckRefusal(*exchange);
  return exchange;
}

void HttpServer::Daemon::CheckRefusal(Exchange& exchange) {
  if (options_.bearer_key.empty()) return;
  std::string_view given = exchange.call.Header("authorization");
  const bool is_bearer = given.starts_with(kBearer);
  if (is_bearer) given.remove_prefix(kBearer.size());
  if (EqualInConstantTime(given, options_.bearer_key) && is_bearer) return;
  exchange.refused = true;
  exchange.reply = NotRunReply(kUnauthorisedStatus, ResultCode::kUnauthorised);
}

MHD_Result HttpServer::Daemon::TakeBody(Exchange& exchange, const char* data,
                                        std::size_t size) {
  exchange.received += size;
  bytes_received_ += size;
  if (exchange.received > options_.max_body_bytes) {
    if (exchange.received / kDrainFactor > options_.max_body_bytes) {
      return MHD_NO;
    }
    if (!exchange.refused) {
      exchange.refused = true;
      exchange.reply = NotRunReply(kTooLargeStatus, ResultCode::kBodyTooLarge);
    }
    exchange.call.body.clear();
  }
  if (!exchange.refused) exchange.call.body.append(data, size);
  return MHD_YES;
}

void HttpServer::Daemon::MarkReceived(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  static_cast<Connection*>(info->socket_context)->receiving = false;
}

MHD_Result HttpServer::Daemon::HandOver(Exchange& exchange) {
  MarkReceived(exchange.connection);
  const MHD_ConnectionInfo* const info = MHD_get_connection_info(
      exchange.connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  exchange.call.connection =
      static_cast<Connection*>(info->socket_context)->number;
  {
    const std::lock_guard lock(calls_mutex_);
    if (!stopping_) {
      exchange.call.id = ++last_call_;
      exchange.handed_over = true;
      waiting_.emplace(exchange.call.id, &exchange);
      ++unfinished_;
    }
  }
  if (!exchange.handed_over) {
    exchange.refused = true;
    exchange.reply = NotRunReply(kNotRunStatus, ResultCode::kStopping);
    return QueueReply(exchange);
  }
  ++calls_;
  MHD_suspend_connection(exchange.connection);
  handler_(std::move(exchange.call));
  return MHD_YES;
}

MHD_Result HttpServer::Daemon::QueueReply(Exchange& exchange) {
  MarkReceived(exchange.connection);
  if (!exchange.handed_over) ++refused_;
  MHD_Response* const response = MakeResponse(exchange.reply);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          exchange.reply.content_type.c_str());
  for (const HttpHeader& header : exchange.reply.headers) {
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
  }
  if (!accepting_ || exchange.refused) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  bytes_sent_ += exchange.reply.body.size();
  const MHD_Result queued = MHD_queue_response(
      exchange.connection, static_cast<unsigned>(exchange.reply.status),
      response);
  MHD_destroy_response(response);
  return queued;
}

void HttpServer::Daemon::Answer(std::uint64_t id, HttpServerResponse reply) {
  const std::lock_guard lock(calls_mutex_);
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  Exchange& exchange = *found->second;
  waiting_.erase(found);
  exchange.reply = std::move(reply);
  MHD_Daemon* const daemon =
      MHD_get_connection_info(exchange.connection, MHD_CONNECTION_INFO_DAEMON)
          ->daemon;
  MHD_resume_connection(exchange.connection);
  for (const auto& loop : loops_) {
    if (loop->daemon() == daemon) loop->Wake();
  }
}

void HttpServer::Daemon::EndCall() {
  const std::lock_guard lock(calls_mutex_);
  --unfinished_;
  calls_done_.notify_all();
}

void HttpServer::Daemon::OnCompleted(void* self, MHD_Connection* connection,
                                     void** state,
                                     MHD_RequestTerminationCode /*code*/) {
  if (*state == nullptr) return;
  auto* const daemon = static_cast<Daemon*>(self);
  auto* const exchange = static_cast<Exchange*>(*state);
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto* const socket = static_cast<Connection*>(info->socket_context);
  socket->since = BootClock::now();
  socket->receiving = true;
  if (exchange->handed_over) daemon->EndCall();
  delete exchange;
  *state = nullptr;
}

void HttpServer::Daemon::OnConnection(void* self, MHD_Connection* connection,
                                      void** socket_state,
                                      MHD_ConnectionNotificationCode code) {
  auto* const daemon = static_cast<Daemon*>(self);
  const std::lock_guard lock(daemon->connections_mutex_);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    auto* const closed = static_cast<Connection*>(*socket_state);
    daemon->connections_.erase(closed);
    daemon->open_ = daemon->connections_.size();
    delete closed;
    return;
  }
  auto* const opened = new Connection;
  opened->number = ++daemon->last_connection_;
  opened->fd =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  opened->since = BootClock::now();
  daemon->connections_.insert(opened);
  ++daemon->accepted_;
  const std::uint64_t open = daemon->connections_.size();
  daemon->open_ = open;
  if (open > daemon->most_open_) daemon->most_open_ = open;
  *socket_state = opened;
}

// Closes connections that exceed the idle timeout. libmicrohttpd's own timeout
// restarts at each byte, so a slow sender could hold a connection for ever;
// this one runs until a request is complete.
void HttpServer::Daemon::Sweep() {
  const auto period =
      std::max(options_.idle_timeout / kSweepsPerTimeout, kMinSweepInterval);
  std::unique_lock lock(connections_mutex_);
  while (!stopping_) {
    sweep_wake_.wait_for(lock, period);
    CloseTimedOut(BootClock::now());
  }
}

void HttpServer::Daemon::CloseTimedOut(TimePoint now) {
  for (Connection* const connection : connections_) {
    if (!connection->receiving) continue;
    if (now - connection->since.load() < options_.idle_timeout) continue;
    connection->receiving = false;
    ++timed_out_;
    shutdown(connection->fd, SHUT_RDWR);
  }
}

void HttpServer::Daemon::StopAccepting() {
  if (!accepting_.exchange(false)) return;
  for (const auto& loop : loops_) loop->StopAccepting();
  // Rejects new connections at once and wakes the loops.
  shutdown(listen_fd_, SHUT_RDWR);
}

void HttpServer::Daemon::AnswerWaiting() {
  std::vector<std::uint64_t> ids;
  {
    const std::lock_guard lock(calls_mutex_);
    for (const auto& [id, exchange] : waiting_) ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    Answer(id, ErrorReply(kUnknownStatus, "unknown", ResultCode::kTimedOut));
  }
}

void HttpServer::Daemon::Stop() {
  if (loops_.empty()) return;
  StopAccepting();
  {
    const std::scoped_lock lock(calls_mutex_, connections_mutex_);
    stopping_ = true;
  }
  AnswerWaiting();
  {
    std::unique_lock lock(calls_mutex_);
    calls_done_.wait_for(lock, kStopFlushTimeout,
                         [this] { return unfinished_ == 0; });
  }
  sweep_wake_.notify_all();
  sweeper_.join();
  CloseLoops();
}

void HttpServer::Daemon::CloseLoops() {
  loops_.clear();
  close(listen_fd_);
  listen_fd_ = -1;
}

HttpServerCounters HttpServer::Daemon::counts() const {
  return {.connections = accepted_,
          .open_connections = open_,
          .peak_connections = most_open_,
          .calls = calls_,
          .refused = refused_,
          .timed_out = timed_out_,
          .bytes_received = bytes_received_,
          .bytes_sent = bytes_sent_};
}

HttpServer::HttpServer(HttpServerOptions options)
    : daemon_(std::make_unique<Daemon>(std::move(options))) {}

HttpServer::~HttpServer() = default;

Status HttpServer::Start(Handler handler) {
  return daemon_->Start(std::move(handler));
}

void HttpServer::Respond(std::uint64_t id, HttpServerResponse reply) {
  daemon_->Answer(id, std::move(reply));
}

void HttpServer::StopAccepting() { daemon_->StopAccepting(); }

void HttpServer::Stop() { daemon_->Stop(); }

std::uint16_t HttpServer::port() const { return daemon_->port(); }

HttpServerCounters HttpServer::counts() const { return daemon_->counts(); }

}  // namespace chivewing
