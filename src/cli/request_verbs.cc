// The verbs request and state.

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <utility>

#include "cli/entry_host_client.h"
#include "cli/report.h"
#include "cli/url.h"
#include "cli/verb.h"
#include "schema/text_file.h"

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;
constexpr long kLongestDeadlineMs = 3'600'000;

Result<std::string> RequestBody(const Arguments& arguments) {
  if (!arguments.Has("body-file")) return arguments.Value("body");
  const ValidationResult<std::string> text =
      ReadTextFile(arguments.Value("body-file"));
  if (!text) return JoinErrors(ResultCode::kBadUsage, text.error());
  return text.value();
}

Result<HttpRequest> EntryRequest(const Arguments& arguments) {
  HttpRequest request;
  request.method = "POST";
  request.url = "/v1/requests/" + EscapeUrl(arguments.operands().front());
  const Result<std::string> body = RequestBody(arguments);
  if (!body) return body.error();
  request.body = body.value();
  if (arguments.Has("idempotency-key")) {
    request.headers.push_back(
        {"Idempotency-Key", arguments.Value("idempotency-key")});
  }
  if (arguments.Has("request-id")) {
    request.headers.push_back({"X-Request-Id", arguments.Value("request-id")});
  }
  if (!arguments.Has("deadline-ms")) return request;
  const Result<long> deadline = ParseInteger(
      "deadline-ms", arguments.Value("deadline-ms"), 1, kLongestDeadlineMs);
  if (!deadline) return deadline.error();
  request.headers.push_back(
      {"X-Deadline-Ms", std::to_string(deadline.value())});
  return request;
}

// Returns true when the request certainly was not run: never sent, rejected
// with a code that says so, or not accepted as a request. Any other request may
// have run.
bool IsCertainlyNotRun(const HttpResponse& answer) {
  if (!answer.ok()) return !answer.maybe_sent;
  if (IsNotRun(ResponseError(answer).code)) return true;
  return answer.status >= 400 && answer.status < 500;
}

// Writes the outcome of a request as one JSON object.
void WriteOutcome(const HttpResponse& answer, const CliEnvironment& hooks) {
  Json json = Json::object();
  if (IsSuccess(answer)) {
    json["outcome"] = "done";
    json["body"] = answer.body;
  } else {
    const Error error = ResponseError(answer);
    json["outcome"] = IsCertainlyNotRun(answer) ? "not_run" : "unknown";
    json["code"] = static_cast<int>(error.code);
    json["name"] = std::string(Name(error.code));
    json["detail"] = error.detail;
  }
  // Bytes that are not valid UTF-8 are written as replacement characters.
  *hooks.out << json.dump(-1, ' ', false, Json::error_handler_t::replace)
             << "\n";
}

// With an idempotency key the request may be sent again, because the entry
// hosts run it at most once. Without a key it is never sent twice.
ExitStatus SendRequest(const Arguments& arguments,
                       const CliEnvironment& hooks) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return ReportError(client.error(), hooks);
  const Result<HttpRequest> request = EntryRequest(arguments);
  if (!request) return ReportError(request.error(), hooks);
  const HttpResponse answer =
      client.value().Send(request.value(), ResendPolicy::kForbidden);
  const bool is_json = arguments.Has("json");
  if (is_json) WriteOutcome(answer, hooks);
  if (IsSuccess(answer)) {
    if (!is_json) *hooks.out << answer.body << "\n";
    return ExitStatus::kOk;
  }
  const ExitStatus status = ReportFailedResponse(answer, hooks);
  return IsCertainlyNotRun(answer) ? status : ExitStatus::kUnknown;
}

Json StateOf(const HttpResponse& answer) {
  Json state = Json::parse(answer.body, nullptr, false);
  return state.is_discarded() ? Json(answer.body) : state;
}

// Queries every address given, because each process has its own state.
ExitStatus ShowState(const Arguments& arguments, const CliEnvironment& hooks) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return ReportError(client.error(), hooks);
  ExitStatus status = ExitStatus::kOk;
  for (const std::string& address : client.value().addresses()) {
    HttpRequest request;
    request.url = "/v1/state";
    const HttpResponse answer = client.value().SendTo(address, request);
    if (!IsSuccess(answer)) {
      const Error error = ResponseError(answer);
      status = ReportError({error.code, address + ": " + error.detail}, hooks);
      continue;
    }
    const Json dump = {{"address", address}, {"state", StateOf(answer)}};
    *hooks.out << dump.dump(arguments.Has("json") ? -1 : kIndent) << "\n";
  }
  return status;
}

Verb RequestVerb() {
  Verb verb;
  verb.name = "request";
  verb.operands = "ENTRY";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary = "Sends one request to an entry and writes the answer.";
  verb.options =
      With(CallerOptions(),
           {{"body", "TEXT", "body of the request"},
            {"body-file", "FILE", "file with the body"},
            {"idempotency-key", "KEY",
             "needed when the entry is not idempotent; the same key runs at "
             "most once"},
            {"request-id", "ID", "id of the request, for the logs"},
            {"deadline-ms", "N", "time for the whole request"},
            kJsonOption});
  verb.examples =
      "  chivewing request route-check --body 'A104 Mlolongo' --address "
      "127.0.0.1:7001\n"
      "  chivewing request notice-post --body 'load 17' --idempotency-key "
      "load-17-notice-1 --address 127.0.0.1:7001\n";
  verb.run = SendRequest;
  return verb;
}

Verb StateVerb() {
  Verb verb;
  verb.name = "state";
  verb.summary =
      "Dumps the state of the process at each address: queues, leases, "
      "shares, peers, workers, targets, catalogue and histograms.";
  verb.options = With(OperatorOptions(), {kJsonOption});
  verb.examples =
      "  chivewing state --address 127.0.0.1:7002 --address 127.0.0.1:7102 "
      "--key-file key\n";
  verb.run = ShowState;
  return verb;
}

}  // namespace

std::vector<Verb> RequestVerbs() { return {RequestVerb(), StateVerb()}; }

}  // namespace chivewing
