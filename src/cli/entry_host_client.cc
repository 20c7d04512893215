#include "cli/entry_host_client.h"

#include <utility>

#include "schema/field_reader.h"
#include "schema/text_file.h"

namespace chivewing {
namespace {

constexpr long kDefaultTimeoutMs = 15000;
constexpr long kLongestTimeoutMs = 3'600'000;
constexpr std::size_t kLargestAnswerBytes = std::size_t{64} << 20;

// Returns the first line of the file without surrounding whitespace.
std::string FirstLine(const std::string& text) {
  const std::string line = text.substr(0, text.find('\n'));
  const std::size_t first = line.find_first_not_of(" \t\r");
  if (first == std::string::npos) return "";
  const std::size_t last = line.find_last_not_of(" \t\r");
  return line.substr(first, last - first + 1);
}

Result<std::string> ReadKey(const Arguments& arguments) {
  if (!arguments.Has("key-file")) return std::string();
  const std::string path = arguments.Value("key-file");
  const ValidationResult<std::string> text = ReadTextFile(path);
  if (!text) return JoinErrors(ResultCode::kBadUsage, text.error());
  std::string key = FirstLine(text.value());
  if (key.empty()) {
    return Error{ResultCode::kBadUsage,
                 path + ": first line is empty, expected the key"};
  }
  return key;
}

Status CheckAddresses(const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return Error{ResultCode::kBadUsage, "--address IP:PORT is needed"};
  }
  for (const std::string& address : addresses) {
    if (IsAddress(address)) continue;
    return Error{ResultCode::kBadUsage,
                 "--address " + address + " is not an IP address and port"};
  }
  return Ok();
}

}  // namespace

EntryHostClient::EntryHostClient(std::vector<std::string> addresses,
                                 std::string key, BlockingHttpCall call)
    : addresses_(std::move(addresses)),
      key_(std::move(key)),
      call_(std::move(call)) {}

HttpResponse EntryHostClient::Send(const HttpRequest& request,
                                   ResendPolicy repeat) const {
  HttpResponse answer;
  bool maybe_sent = false;
  for (const std::string& address : addresses_) {
    answer = SendTo(address, request);
    if (answer.ok()) return answer;
    maybe_sent = maybe_sent || answer.maybe_sent;
    if (answer.maybe_sent && repeat == ResendPolicy::kForbidden) return answer;
  }
  // A read changes nothing, so it is reported as not sent even when it may have
  // arrived.
  answer.maybe_sent = maybe_sent && request.method != "GET";
  return answer;
}

HttpResponse EntryHostClient::SendTo(const std::string& address,
                                     HttpRequest request) const {
  request.url = "http://" + address + request.url;
  request.max_response_bytes = kLargestAnswerBytes;
  if (!key_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + key_});
  }
  return call_(request);
}

std::vector<OptionSpec> CallerOptions() {
  return {{"address", "IP:PORT",
           "an entry host; give several to have the next one tried once when "
           "one is unreachable"},
          {"timeout-ms", "N", "longest wait for an answer (15000)"}};
}

std::vector<OptionSpec> OperatorOptions() {
  std::vector<OptionSpec> options = CallerOptions();
  options.push_back(
      {"key-file", "FILE", "file whose first line is the operators' key"});
  return options;
}

Result<EntryHostClient> MakeClient(const Arguments& arguments,
                                   const CliEnvironment& hooks) {
  const std::vector<std::string> addresses = arguments.Values("address");
  const Status checked = CheckAddresses(addresses);
  if (!checked) return checked.error();
  const Result<std::chrono::milliseconds> timeout = TimeoutOf(arguments);
  if (!timeout) return timeout.error();
  const Result<std::string> key = ReadKey(arguments);
  if (!key) return key.error();
  const auto call = [send = hooks.call,
                     limit = timeout.value()](HttpRequest request) {
    request.timeout = limit;
    return send(request);
  };
  return EntryHostClient(addresses, key.value(), call);
}

Result<std::chrono::milliseconds> TimeoutOf(const Arguments& arguments) {
  if (!arguments.Has("timeout-ms")) {
    return std::chrono::milliseconds(kDefaultTimeoutMs);
  }
  const Result<long> value = ParseInteger(
      "timeout-ms", arguments.Value("timeout-ms"), 1, kLongestTimeoutMs);
  if (!value) return value.error();
  return std::chrono::milliseconds(value.value());
}

}  // namespace chivewing
