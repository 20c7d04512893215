#include "store/table_client.h"

#include <atomic>
#include <cctype>
#include <optional>
#include <utility>

#include "http/http_client.h"
#include "store/table_codec.h"

namespace chivewing {
namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";
constexpr std::string_view kUnescapedUrlChars = "-._~/";
constexpr int kOkStatus = 200;
constexpr int kFirstClientError = 400;
constexpr int kConflictStatus = 409;
constexpr int kFirstServerError = 500;
constexpr int kUnavailableStatus = 503;

std::string PercentEncode(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || kUnescapedUrlChars.find(static_cast<char>(c)) !=
                                    std::string_view::npos) {
      out.push_back(static_cast<char>(c));
      continue;
    }
    out.push_back('%');
    out.push_back(kHexDigits[c / 16]);
    out.push_back(kHexDigits[c % 16]);
  }
  return out;
}

// Whether the request certainly had no effect: it was not sent, or the platform
// rejected it.
bool IsCertainlyNotApplied(const HttpResponse& response) {
  if (!response.ok()) return !response.maybe_sent;
  const bool refused = response.status >= kFirstClientError &&
                       response.status < kFirstServerError;
  return refused || response.status == kUnavailableStatus;
}

CommitResponse ToCommitResponse(const HttpResponse& response) {
  if (response.ok() && response.status == kOkStatus) {
    const auto revision = DecodeCommitted(response.body);
    if (!revision) return {.status = CommitStatus::kUnknown};
    return {.status = CommitStatus::kCommitted, .revision = *revision};
  }
  if (response.ok() && response.status == kConflictStatus) {
    auto rows = DecodeConflict(response.body);
    if (!rows) return {.status = CommitStatus::kUnknown};
    return {.status = CommitStatus::kConflict, .rows = std::move(*rows)};
  }
  return {.status = IsCertainlyNotApplied(response) ? CommitStatus::kNotApplied
                                                    : CommitStatus::kUnknown};
}

// The decoded body of a response with status 200, or a T with `ok` false.
template <typename T>
T DecodeOk(const HttpResponse& response,
           std::optional<T> (*decode)(const std::string&)) {
  if (!response.ok() || response.status != kOkStatus) return {};
  return decode(response.body).value_or(T{});
}

}  // namespace

// Sends requests, and repeats one at the next address if it certainly did not
// reach the previous one. Thread-safe.
class TableClient::RequestSender
    : public std::enable_shared_from_this<RequestSender> {
 public:
  using Done = std::function<void(HttpResponse)>;

  RequestSender(HttpClient& http, TableClientOptions options)
      : http_(http), options_(std::move(options)) {}

  void Read(std::string method, std::string path, std::string body, Done done) {
    ++reads_;
    SendAttempt(
        {std::move(method), std::move(path), std::move(body), std::move(done)},
        options_.addresses.size());
  }

  void Write(std::string path, std::string body, Done done) {
    ++writes_;
    SendAttempt({"POST", std::move(path), std::move(body), std::move(done)},
                options_.addresses.size());
  }

  void CountFailure() { ++failures_; }

  TableClientCounts counts() const {
    return {.reads = reads_,
            .writes = writes_,
            .failures = failures_,
            .bytes_sent = bytes_sent_,
            .bytes_received = bytes_received_};
  }

 private:
  struct Attempt {
    std::string method;
    std::string path;
    std::string body;
    Done done;
  };

  HttpRequest BuildRequest(const Attempt& attempt, std::size_t address) const {
    HttpRequest request;
    request.method = attempt.method;
    request.url = "http://" + options_.addresses.at(address) + attempt.path;
    request.body = attempt.body;
    if (!attempt.body.empty()) {
      request.headers.push_back({"Content-Type", "application/json"});
    }
    if (!options_.host.empty()) {
      request.headers.push_back({"X-Host", options_.host});
    }
    request.connect_timeout = options_.connect_timeout;
    request.timeout = options_.timeout;
    request.max_response_bytes = options_.max_answer_bytes;
    return request;
  }

  void SendAttempt(Attempt attempt, std::size_t tries_left) {
    if (tries_left == 0) {
      attempt.done({.error = HttpError::kConnect});
      return;
    }
    const std::size_t address = current_ % options_.addresses.size();
    bytes_sent_ += attempt.body.size();
    HttpRequest request = BuildRequest(attempt, address);
    auto shared = std::make_shared<Attempt>(std::move(attempt));
    auto on_response = [self = shared_from_this(), shared, address,
                        tries_left](HttpResponse response) {
      self->OnResponse(std::move(*shared), address, tries_left,
                       std::move(response));
    };
    if (http_.Send(std::move(request), std::move(on_response))) return;
    shared->done({.error = HttpError::kStopped});
  }

  void OnResponse(Attempt attempt, std::size_t address, std::size_t tries_left,
                  HttpResponse response) {
    bytes_received_ += response.body.size();
    if (!response.ok() && response.error != HttpError::kStopped) {
      AdvanceAddress(address);
      if (!response.maybe_sent && tries_left > 1) {
        SendAttempt(std::move(attempt), tries_left - 1);
        return;
      }
    }
    attempt.done(std::move(response));
  }

  // Makes later requests start at the address after the failed one.
  void AdvanceAddress(std::size_t address) {
    std::size_t expected = address;
    const std::size_t next = (address + 1) % options_.addresses.size();
    current_.compare_exchange_strong(expected, next);
  }

  HttpClient& http_;
  const TableClientOptions options_;
  std::atomic<std::size_t> current_{0};
  std::atomic<std::uint64_t> reads_{0};
  std::atomic<std::uint64_t> writes_{0};
  std::atomic<std::uint64_t> failures_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
};

TableClient::TableClient(HttpClient& http, TableClientOptions options)
    : sender_(std::make_shared<RequestSender>(http, std::move(options))) {}

TableClient::~TableClient() = default;

void TableClient::Commit(const TableTransaction& transaction,
                         std::function<void(CommitResponse)> done) {
  sender_->Write("/table/commit", EncodeCommit(transaction),
                 [sender = sender_,
                  done = std::move(done)](const HttpResponse& http_response) {
                   CommitResponse response = ToCommitResponse(http_response);
                   const bool usable =
                       response.status == CommitStatus::kCommitted ||
                       response.status == CommitStatus::kConflict;
                   if (!usable) sender->CountFailure();
                   done(std::move(response));
                 });
}

void TableClient::Read(const std::vector<std::string>& keys,
                       std::function<void(ReadResponse)> done) {
  sender_->Read("POST", "/table/read", EncodeRead(keys),
                [sender = sender_,
                 done = std::move(done)](const HttpResponse& http_response) {
                  ReadResponse response = DecodeOk(http_response, &DecodeRead);
                  if (!response.ok) sender->CountFailure();
                  done(std::move(response));
                });
}

void TableClient::Changes(std::uint64_t since,
                          const std::vector<std::string>& prefixes,
                          std::size_t limit,
                          std::function<void(ChangesResponse)> done) {
  std::string path = "/table/changes?since=" + std::to_string(since) +
                     "&limit=" + std::to_string(limit);
  for (const std::string& prefix : prefixes) {
    path += "&prefix=" + PercentEncode(prefix);
  }
  sender_->Read("GET", path, "",
                [sender = sender_,
                 done = std::move(done)](const HttpResponse& http_response) {
                  ChangesResponse response =
                      DecodeOk(http_response, &DecodeChanges);
                  if (!response.ok) sender->CountFailure();
                  done(std::move(response));
                });
}

void TableClient::Hosts(std::function<void(HostListResponse)> done) {
  sender_->Read("GET", "/hosts", "",
                [sender = sender_,
                 done = std::move(done)](const HttpResponse& http_response) {
                  HostListResponse response =
                      DecodeOk(http_response, &DecodeHosts);
                  if (!response.ok) sender->CountFailure();
                  done(std::move(response));
                });
}

TableClientCounts TableClient::counts() const { return sender_->counts(); }

}  // namespace chivewing
