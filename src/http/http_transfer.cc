#include "http/http_transfer.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace chivewing {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

}  // namespace

HttpTransfer::HttpTransfer(MayReuse may_reuse)
    : may_reuse_(std::move(may_reuse)), handle_(curl_easy_init()) {
  SetFixedOptions();
}

HttpTransfer::~HttpTransfer() {
  curl_easy_cleanup(handle_);
  curl_slist_free_all(header_list_);
}

void HttpTransfer::SetFixedOptions() {
  curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle_, CURLOPT_PROXY, "");
  curl_easy_setopt(handle_, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle_, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnBody);
  curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
  curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &HttpTransfer::OnConnected);
  curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
}

void HttpTransfer::Prepare(HttpRequest request,
                           HttpClient::ResponseCallback done,
                           TimePoint deadline,
                           std::chrono::milliseconds remaining) {
  request_ = std::move(request);
  done_ = std::move(done);
  deadline_ = deadline;
  answer_ = HttpResponse{};
  received_ = 0;
  written_ = false;
  reused_connection_ = false;
  reuse_rejected_ = false;
  new_rejected_ = false;
  local_port_ = 0;
  too_large_ = false;
  curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
  SetRemaining(remaining);
  curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request_.connect_timeout.count()));
  curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT,
                   request_.force_new_connection ? 1L : 0L);
  SetMethod();
  SetHeaders();
}

void HttpTransfer::PrepareAgain(std::chrono::milliseconds remaining) {
  reuse_rejected_ = false;
  SetRemaining(remaining);
}

void HttpTransfer::SetRemaining(std::chrono::milliseconds remaining) {
  curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(remaining.count()));
}

void HttpTransfer::SetMethod() {
  curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, nullptr);
  curl_easy_setopt(handle_, CURLOPT_HTTPGET, 1L);
  if (request_.method == "GET" && request_.body.empty()) return;
  if (request_.method == "HEAD") {
    curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    return;
  }
  if (request_.method == "POST" || !request_.body.empty()) {
    curl_easy_setopt(handle_, CURLOPT_POST, 1L);
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
  }
  curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void HttpTransfer::SetHeaders() {
  curl_slist_free_all(header_list_);
  header_list_ = curl_slist_append(nullptr, "Expect:");
  bool has_type = false;
  for (const HttpHeader& header : request_.headers) {
    has_type = has_type || LowerCase(header.name) == "content-type";
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  if (!has_type) {
    header_list_ = curl_slist_append(header_list_, "Content-Type:");
  }
  curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, header_list_);
}

bool HttpTransfer::Admit(std::size_t bytes) {
  received_ += bytes;
  too_large_ = received_ > request_.max_response_bytes;
  return !too_large_;
}

std::size_t HttpTransfer::OnBody(char* data, std::size_t size,
                                 std::size_t count, void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::size_t bytes = size * count;
  if (!transfer->Admit(bytes)) return 0;
  transfer->answer_.body.append(data, bytes);
  return bytes;
}

std::size_t HttpTransfer::OnHeader(char* data, std::size_t size,
                                   std::size_t count, void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::size_t bytes = size * count;
  if (!transfer->Admit(bytes)) return 0;
  return transfer->AddHeaderLine({data, bytes}) ? bytes : 0;
}

bool HttpTransfer::AddHeaderLine(std::string_view line) {
  // A status line starts a new header block: an interim (1xx) response may
  // precede the final one.
  if (line.starts_with("HTTP/")) {
    answer_.headers.clear();
    return true;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return true;
  answer_.headers.push_back({LowerCase(line.substr(0, colon)),
                             std::string(Trim(line.substr(colon + 1)))});
  return true;
}

// libcurl has taken the address and the size of the body by then, so the other
// body is copied into its place.
bool HttpTransfer::ChooseBody() {
  if (!request_.on_connection) return true;
  const ConnectionUse use =
      request_.on_connection(local_port_, !reused_connection_);
  if (use == ConnectionUse::kNothing) return false;
  if (use == ConnectionUse::kBody) return true;
  std::copy_n(request_.body_elsewhere.begin(),
              std::min(request_.body.size(), request_.body_elsewhere.size()),
              request_.body.begin());
  return true;
}

// Called each time before libcurl writes the request to a connection. When a
// reused connection closes without a response, libcurl would write the request
// again to another one; the second call prevents that, because the server may
// have run the request.
int HttpTransfer::OnConnected(void* self, char* /*remote_ip*/,
                              char* /*local_ip*/, int /*remote_port*/,
                              int local_port) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  if (transfer->written_) return CURL_PREREQFUNC_ABORT;
  long opened = 0;
  curl_easy_getinfo(transfer->handle_, CURLINFO_NUM_CONNECTS, &opened);
  transfer->reused_connection_ = opened == 0;
  if (transfer->reused_connection_ &&
      !transfer->may_reuse_(*transfer, local_port)) {
    transfer->reuse_rejected_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->local_port_ = local_port;
  if (!transfer->ChooseBody()) {
    transfer->local_port_ = 0;
    (transfer->reused_connection_ ? transfer->reuse_rejected_
                                  : transfer->new_rejected_) = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->written_ = true;
  return CURL_PREREQFUNC_OK;
}

// Returns true when a truncated response can be detected. A response delimited
// only by the end of its connection may be truncated unnoticed, so a
// Content-Length or chunked encoding is required.
bool HttpTransfer::HasVerifiableLength() const {
  if (request_.method == "HEAD") return true;
  if (answer_.status == kNoContent || answer_.status == kNotModified) {
    return true;
  }
  return !answer_.Header("content-length").empty() ||
         LowerCase(answer_.Header("transfer-encoding")) == "chunked";
}

HttpError HttpTransfer::ToHttpError(CURLcode code) const {
  if (too_large_) return HttpError::kTooLarge;
  if (code == CURLE_OK) {
    const bool whole =
        answer_.status >= kFirstFinalStatus && HasVerifiableLength();
    return whole ? HttpError::kNone : HttpError::kConnectionLost;
  }
  if (new_rejected_) return HttpError::kRejected;
  if (!written_) return HttpError::kConnect;
  if (code == CURLE_OPERATION_TIMEDOUT) return HttpError::kTimeout;
  return HttpError::kConnectionLost;
}

HttpResponse HttpTransfer::TakeResponse(CURLcode code) {
  long status = 0;
  curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
  answer_.status = static_cast<int>(status);
  answer_.error = ToHttpError(code);
  answer_.maybe_sent = written_;
  answer_.reused_connection = reused_connection_;
  answer_.local_port = local_port_;
  return std::move(answer_);
}

HttpResponse HttpTransfer::TakeStoppedResponse() {
  answer_.error = HttpError::kStopped;
  answer_.maybe_sent = written_;
  answer_.reused_connection = reused_connection_;
  return std::move(answer_);
}

}  // namespace chivewing
