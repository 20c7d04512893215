#include "http/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "base/ring.h"
#include "base/time.h"
#include "http/connection_trust.h"
#include "http/curl_event_loop.h"
#include "http/http_transfer.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kMaxPollTime{1000};
constexpr std::string_view kScheme = "http://";
// libcurl counts the idle time of a connection in whole seconds.
constexpr std::chrono::seconds kIdleTimeRounding{1};

// Returns the "IP:PORT" part of a URL, by which connections are limited.
std::string HostOf(std::string_view url) {
  if (url.starts_with(kScheme)) url.remove_prefix(kScheme.size());
  return std::string(url.substr(0, url.find('/')));
}

void InitCurlOnce() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(code);
}

}  // namespace

std::string_view Name(HttpError fault) {
  switch (fault) {
    case HttpError::kNone:
      return "none";
    case HttpError::kConnect:
      return "connect";
    case HttpError::kTimeout:
      return "timeout";
    case HttpError::kConnectionLost:
      return "connection_lost";
    case HttpError::kTooLarge:
      return "too_large";
    case HttpError::kStopped:
      return "stopped";
    case HttpError::kRejected:
      return "rejected";
  }
  return "unlisted";
}

std::string_view HttpResponse::Header(std::string_view name) const {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [name](const HttpHeader& header) { return header.name == name; });
  return found == headers.end() ? std::string_view{} : found->value;
}

// Runs the thread of a client. Transfers over the connection limits wait here
// rather than in libcurl, which does not time out transfers that it queues.
class HttpClient::Loop {
 public:
  explicit Loop(HttpClientOptions options);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  bool Push(HttpRequest request, ResponseCallback done);
  void Stop();
  HttpClientCounters counts() const;

 private:
  struct Submission {
    HttpRequest request;
    ResponseCallback done;
    TimePoint deadline;
  };
  struct Host {
    std::size_t active = 0;
    std::deque<std::uint64_t> waiting;
  };

  void Run();
  void TakeSubmissions();
  void TakeFinished();
  void Admit(Submission submission);
  bool Start(Host& host, Submission submission);
  void StartWaiting(const std::string& name);
  bool StartFirst(Host& host);
  void ExpireWaiting();
  std::chrono::milliseconds TimeLeft(TimePoint deadline) const;
  bool MayReuse(const HttpTransfer& transfer, int local_port) const;
  void Restart(HttpTransfer& transfer);
  void JudgeConnection(const HttpTransfer& transfer,
                       const HttpResponse& answer);
  void Finish(HttpTransfer& transfer, HttpResponse answer);
  void Report(const ResponseCallback& done, HttpResponse answer);
  void FailAll();
  std::chrono::milliseconds PollTimeout() const;
  std::unique_ptr<HttpTransfer> TakeTransfer();

  HttpClientOptions options_;
  CurlEventLoop events_;
  ConnectionTrust trust_;
  Ring<Submission> ring_;
  std::vector<Submission> taken_;
  std::unordered_map<std::string, Host> hosts_;
  std::unordered_map<std::uint64_t, Submission> waiting_;
  // Keys of waiting_ by deadline.
  std::multimap<TimePoint, std::uint64_t> deadlines_;
  // Hosts whose transfers wait for max_connections.
  std::deque<std::string> blocked_hosts_;
  std::uint64_t last_waiting_ = 0;
  std::unordered_map<HttpTransfer*, std::unique_ptr<HttpTransfer>> active_;
  std::vector<std::unique_ptr<HttpTransfer>> idle_;
  std::atomic<std::uint64_t> requests_{0};
  std::atomic<std::uint64_t> responses_{0};
  std::atomic<std::uint64_t> errors_{0};
  std::atomic<std::uint64_t> connections_distrusted_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::mutex stop_mutex_;
  std::thread thread_;
};

HttpClient::Loop::Loop(HttpClientOptions options)
    : options_(options),
      trust_(options.max_idle + kIdleTimeRounding),
      ring_(options.ring_capacity, [this] { events_.Wake(); }) {
  CURLM* const multi = events_.multi();
  curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(options_.max_connections_per_host));
  curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    static_cast<long>(options_.max_connections));
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(options_.max_connections));
  curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  thread_ = std::thread([this] { Run(); });
}

HttpClient::Loop::~Loop() {
  Stop();
  idle_.clear();
}

bool HttpClient::Loop::Push(HttpRequest request, ResponseCallback done) {
  const TimePoint deadline = BootClock::now() + request.timeout;
  return ring_.Push({std::move(request), std::move(done), deadline});
}

void HttpClient::Loop::Stop() {
  ring_.Close();
  const std::lock_guard lock(stop_mutex_);
  if (thread_.joinable()) thread_.join();
}

HttpClientCounters HttpClient::Loop::counts() const {
  return {.requests = requests_,
          .responses = responses_,
          .errors = errors_,
          .connections_distrusted = connections_distrusted_,
          .bytes_sent = bytes_sent_,
          .bytes_received = bytes_received_};
}

void HttpClient::Loop::Run() {
  while (!ring_.closed()) {
    TakeSubmissions();
    ExpireWaiting();
    events_.RunOnce(PollTimeout());
    TakeFinished();
  }
  FailAll();
}

std::chrono::milliseconds HttpClient::Loop::PollTimeout() const {
  if (deadlines_.empty()) return kMaxPollTime;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadlines_.begin()->first - BootClock::now());
  return std::clamp(left, std::chrono::milliseconds(0), kMaxPollTime);
}

void HttpClient::Loop::TakeSubmissions() {
  ring_.PopAll(taken_, std::chrono::nanoseconds(0));
  for (Submission& submission : taken_) Admit(std::move(submission));
  taken_.clear();
}

void HttpClient::Loop::Admit(Submission submission) {
  ++requests_;
  bytes_sent_ += submission.request.body.size();
  const std::string name = HostOf(submission.request.url);
  Host& host = hosts_[name];
  const bool full = active_.size() >= options_.max_connections;
  const bool host_full = host.active >= options_.max_connections_per_host;
  if (!full && !host_full && host.waiting.empty()) {
    Start(host, std::move(submission));
    return;
  }
  const std::uint64_t id = ++last_waiting_;
  deadlines_.emplace(submission.deadline, id);
  waiting_.emplace(id, std::move(submission));
  host.waiting.push_back(id);
  if (!host_full) blocked_hosts_.push_back(name);
}

// Starts the transfer. Returns false, after reporting kTimeout, when the
// deadline of the submission has passed.
bool HttpClient::Loop::Start(Host& host, Submission submission) {
  const std::chrono::milliseconds left = TimeLeft(submission.deadline);
  if (left.count() <= 0) {
    Report(submission.done, {.error = HttpError::kTimeout});
    return false;
  }
  ++host.active;
  std::unique_ptr<HttpTransfer> transfer = TakeTransfer();
  transfer->Prepare(std::move(submission.request), std::move(submission.done),
                    submission.deadline, left);
  curl_multi_add_handle(events_.multi(), transfer->handle());
  HttpTransfer* const key = transfer.get();
  active_.emplace(key, std::move(transfer));
  return true;
}

std::chrono::milliseconds HttpClient::Loop::TimeLeft(TimePoint deadline) const {
  return std::chrono::ceil<std::chrono::milliseconds>(deadline -
                                                      BootClock::now());
}

std::unique_ptr<HttpTransfer> HttpClient::Loop::TakeTransfer() {
  if (!idle_.empty()) {
    std::unique_ptr<HttpTransfer> transfer = std::move(idle_.back());
    idle_.pop_back();
    return transfer;
  }
  auto transfer = std::make_unique<HttpTransfer>(
      [this](const HttpTransfer& asking, int local_port) {
        return MayReuse(asking, local_port);
      });
  curl_easy_setopt(transfer->handle(), CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options_.max_idle.count()));
  return transfer;
}

void HttpClient::Loop::TakeFinished() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(events_.multi(), &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    void* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    auto* const done = static_cast<HttpTransfer*>(transfer);
    if (done->reuse_rejected()) {
      Restart(*done);
      continue;
    }
    HttpResponse answer = done->TakeResponse(message->data.result);
    JudgeConnection(*done, answer);
    Finish(*done, std::move(answer));
  }
}

bool HttpClient::Loop::MayReuse(const HttpTransfer& transfer,
                                int local_port) const {
  return trust_.IsTrusted(BootClock::now(), HostOf(transfer.request().url),
                          local_port);
}

void HttpClient::Loop::Restart(HttpTransfer& transfer) {
  ++connections_distrusted_;
  curl_multi_remove_handle(events_.multi(), transfer.handle());
  transfer.PrepareAgain(
      std::max(TimeLeft(transfer.deadline()), std::chrono::milliseconds(1)));
  curl_multi_add_handle(events_.multi(), transfer.handle());
}

// A request that was written and got no response in time leaves it open whether
// the other connections to its address still work.
void HttpClient::Loop::JudgeConnection(const HttpTransfer& transfer,
                                       const HttpResponse& answer) {
  const std::string address = HostOf(transfer.request().url);
  if (answer.error == HttpError::kTimeout) {
    trust_.OnTimeout(BootClock::now(), address);
  } else if (answer.ok()) {
    trust_.OnAlive(address, transfer.local_port());
  }
}

void HttpClient::Loop::Finish(HttpTransfer& transfer, HttpResponse answer) {
  curl_multi_remove_handle(events_.multi(), transfer.handle());
  const std::string name = HostOf(transfer.request().url);
  const ResponseCallback done = transfer.TakeDone();
  auto node = active_.extract(&transfer);
  idle_.push_back(std::move(node.mapped()));
  --hosts_[name].active;
  Report(done, std::move(answer));
  StartWaiting(name);
}

void HttpClient::Loop::Report(const ResponseCallback& done,
                              HttpResponse answer) {
  if (answer.ok()) {
    ++responses_;
    bytes_received_ += answer.body.size();
  } else {
    ++errors_;
  }
  done(std::move(answer));
}

// Starts a waiting transfer, first of host `name`, in the place of one to that
// host that has ended.
void HttpClient::Loop::StartWaiting(const std::string& name) {
  const auto found = hosts_.find(name);
  if (found == hosts_.end()) return;
  Host& host = found->second;
  if (StartFirst(host)) return;
  if (host.active == 0 && host.waiting.empty()) hosts_.erase(found);
  while (!blocked_hosts_.empty()) {
    const std::string next = std::move(blocked_hosts_.front());
    blocked_hosts_.pop_front();
    const auto other = hosts_.find(next);
    if (other != hosts_.end() && StartFirst(other->second)) return;
  }
}

bool HttpClient::Loop::StartFirst(Host& host) {
  while (!host.waiting.empty() &&
         host.active < options_.max_connections_per_host) {
    const auto found = waiting_.find(host.waiting.front());
    host.waiting.pop_front();
    if (found == waiting_.end()) continue;
    Submission submission = std::move(found->second);
    waiting_.erase(found);
    if (Start(host, std::move(submission))) return true;
  }
  return false;
}

void HttpClient::Loop::ExpireWaiting() {
  const TimePoint now = BootClock::now();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    auto node = waiting_.extract(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    if (node.empty()) continue;
    Report(node.mapped().done, {.error = HttpError::kTimeout});
  }
}

void HttpClient::Loop::FailAll() {
  ring_.PopAll(taken_, std::chrono::nanoseconds(0));
  for (const Submission& submission : taken_) {
    Report(submission.done, {.error = HttpError::kStopped});
  }
  taken_.clear();
  for (const auto& [id, submission] : waiting_) {
    Report(submission.done, {.error = HttpError::kStopped});
  }
  waiting_.clear();
  for (const auto& [key, transfer] : active_) {
    curl_multi_remove_handle(events_.multi(), transfer->handle());
    Report(transfer->TakeDone(), transfer->TakeStoppedResponse());
  }
  active_.clear();
}

HttpClient::HttpClient(HttpClientOptions options) {
  InitCurlOnce();
  loop_ = std::make_unique<Loop>(options);
}

HttpClient::~HttpClient() = default;

bool HttpClient::Send(HttpRequest request, ResponseCallback done) {
  return loop_->Push(std::move(request), std::move(done));
}

void HttpClient::Stop() { loop_->Stop(); }

HttpClientCounters HttpClient::counts() const { return loop_->counts(); }

}  // namespace chivewing
