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
constexpr std::string_view kPlainInUrl = "-._~/";
constexpr int kOkStatus = 200;
constexpr int kFirstClientError = 400;
constexpr int kConflictStatus = 409;
constexpr int kFirstServerError = 500;
constexpr int kNotTakenStatus = 503;

std::string PercentEncode(const std::string& text) {
  std::string out;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 ||
        kPlainInUrl.find(static_cast<char>(c)) != std::string_view::npos) {
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
bool IsNotTaken(const HttpResponse& answer) {
  if (!answer.ok()) return !answer.maybe_sent;
  const bool refused =
      answer.status >= kFirstClientError && answer.status < kFirstServerError;
  return refused || answer.status == kNotTakenStatus;
}

CommitResponse CommitAnswerOf(const HttpResponse& answer) {
  if (answer.ok() && answer.status == kOkStatus) {
    const auto revision = DecodeCommitted(answer.body);
    if (!revision) return {.status = CommitStatus::kUnknown};
    return {.status = CommitStatus::kCommitted, .revision = *revision};
  }
  if (answer.ok() && answer.status == kConflictStatus) {
    auto rows = DecodeConflict(answer.body);
    if (!rows) return {.status = CommitStatus::kUnknown};
    return {.status = CommitStatus::kConflict, .rows = std::move(*rows)};
  }
  return {.status = IsNotTaken(answer) ? CommitStatus::kNotApplied
                                       : CommitStatus::kUnknown};
}

// The decoded body of a response with status 200, or a T with `ok` false.
template <typename T>
T DecodeOk(const HttpResponse& answer,
           std::optional<T> (*decode)(const std::string&)) {
  if (!answer.ok() || answer.status != kOkStatus) return {};
  return decode(answer.body).value_or(T{});
}

}  // namespace

// Sends requests, and repeats one at the next address if it certainly did not
// reach the previous one. Thread-safe.
class TableClient::Caller : public std::enable_shared_from_this<Caller> {
 public:
  using Done = std::function<void(HttpResponse)>;

  Caller(HttpClient& http, TableClientOptions options)
      : http_(http), options_(std::move(options)) {}

  void Read(std::string method, std::string path, std::string body, Done done) {
    ++reads_;
    Try({std::move(method), std::move(path), std::move(body), std::move(done)},
        options_.addresses.size());
  }

  void Write(std::string path, std::string body, Done done) {
    ++writes_;
    Try({"POST", std::move(path), std::move(body), std::move(done)},
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

  HttpRequest RequestOf(const Attempt& attempt, std::size_t address) const {
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

  void Try(Attempt attempt, std::size_t tries_left) {
    if (tries_left == 0) {
      attempt.done({.error = HttpError::kConnect});
      return;
    }
    const std::size_t address = current_ % options_.addresses.size();
    bytes_sent_ += attempt.body.size();
    HttpRequest request = RequestOf(attempt, address);
    auto shared = std::make_shared<Attempt>(std::move(attempt));
    auto on_answer = [self = shared_from_this(), shared, address,
                      tries_left](HttpResponse answer) {
      self->OnAnswer(std::move(*shared), address, tries_left,
                     std::move(answer));
    };
    if (http_.Send(std::move(request), std::move(on_answer))) return;
    shared->done({.error = HttpError::kStopped});
  }

  void OnAnswer(Attempt attempt, std::size_t address, std::size_t tries_left,
                HttpResponse answer) {
    bytes_received_ += answer.body.size();
    if (!answer.ok() && answer.error != HttpError::kStopped) {
      LeaveAddress(address);
      if (!answer.maybe_sent && tries_left > 1) {
        Try(std::move(attempt), tries_left - 1);
        return;
      }
    }
    attempt.done(std::move(answer));
  }

  // Makes later requests start at the address after the failed one.
  void LeaveAddress(std::size_t address) {
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
    : caller_(std::make_shared<Caller>(http, std::move(options))) {}

TableClient::~TableClient() = default;

void TableClient::Commit(const TableTransaction& transaction,
                         std::function<void(CommitResponse)> done) {
  caller_->Write("/table/commit", EncodeCommit(transaction),
                 [caller = caller_,
                  done = std::move(done)](const HttpResponse& http_answer) {
                   CommitResponse answer = CommitAnswerOf(http_answer);
                   const bool usable =
                       answer.status == CommitStatus::kCommitted ||
                       answer.status == CommitStatus::kConflict;
                   if (!usable) caller->CountFailure();
                   done(std::move(answer));
                 });
}

void TableClient::Read(const std::vector<std::string>& keys,
                       std::function<void(ReadResponse)> done) {
  caller_->Read("POST", "/table/read", EncodeRead(keys),
                [caller = caller_,
                 done = std::move(done)](const HttpResponse& http_answer) {
                  ReadResponse answer = DecodeOk(http_answer, &DecodeRead);
                  if (!answer.ok) caller->CountFailure();
                  done(std::move(answer));
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
  caller_->Read("GET", path, "",
                [caller = caller_,
                 done = std::move(done)](const HttpResponse& http_answer) {
                  ChangesResponse answer =
                      DecodeOk(http_answer, &DecodeChanges);
                  if (!answer.ok) caller->CountFailure();
                  done(std::move(answer));
                });
}

void TableClient::Hosts(std::function<void(HostListResponse)> done) {
  caller_->Read("GET", "/hosts", "",
                [caller = caller_,
                 done = std::move(done)](const HttpResponse& http_answer) {
                  HostListResponse answer = DecodeOk(http_answer, &DecodeHosts);
                  if (!answer.ok) caller->CountFailure();
                  done(std::move(answer));
                });
}

TableClientCounts TableClient::counts() const { return caller_->counts(); }

}  // namespace chivewing
