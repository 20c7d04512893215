#include "cli/report.h"

#include <cstdint>
#include <optional>
#include <ostream>

#include "schema/json_parser.h"

namespace chivewing {
namespace {

constexpr int kHundred = 100;

// Maps the HTTP status of a response without a readable body to a result code.
ResultCode CodeOfStatus(int status) {
  switch (status) {
    case 401:
    case 403:
      return ResultCode::kUnauthorised;
    case 404:
      return ResultCode::kNotFound;
    case 409:
      return ResultCode::kConflict;
    case 413:
      return ResultCode::kBodyTooLarge;
    case 504:
      return ResultCode::kTimedOut;
    default:
      break;
  }
  return status < 500 ? ResultCode::kBadRequest : ResultCode::kInternal;
}

std::optional<ResultCode> ListedCode(std::int64_t number) {
  for (const ResultCodeInfo& row : ResultCodes()) {
    if (static_cast<std::int64_t>(row.code) == number) return row.code;
  }
  return std::nullopt;
}

std::string Meaning(ResultCode code) {
  for (const ResultCodeInfo& row : ResultCodes()) {
    if (row.code == code) return std::string(row.meaning);
  }
  return "unknown result code";
}

std::optional<Error> ErrorInBody(const std::string& body) {
  const ValidationResult<JsonNode> root = ParseJson(body, "answer");
  if (!root) return std::nullopt;
  const JsonNode* number = root.value().Find("code");
  if (number == nullptr) return std::nullopt;
  const std::optional<ResultCode> code = ListedCode(number->integer);
  if (!code) return std::nullopt;
  const JsonNode* detail = root.value().Find("detail");
  return Error{*code, detail == nullptr ? "" : detail->text};
}

}  // namespace

ExitStatus ToExitStatus(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return ExitStatus::kOk;
    case ResultCode::kConflict:
      return ExitStatus::kConflict;
    case ResultCode::kWriteInDoubt:
      return ExitStatus::kUnknown;
    case ResultCode::kPeerUnreachable:
      return ExitStatus::kUnreachable;
    case ResultCode::kUnauthorised:
      return ExitStatus::kFailed;
    default:
      break;
  }
  switch (static_cast<int>(code) / kHundred) {
    case 1:
      return ExitStatus::kBadInput;
    case 3:
      return ExitStatus::kUnknown;
    default:
      return ExitStatus::kFailed;
  }
}

ExitStatus ReportError(const Error& error, const CliEnvironment& hooks) {
  *hooks.err << "chivewing: " << error.detail << " ["
             << static_cast<int>(error.code) << " " << Name(error.code)
             << "]\n";
  return ToExitStatus(error.code);
}

ExitStatus ReportValidationErrors(ResultCode code,
                                  const ValidationErrors& faults,
                                  const CliEnvironment& hooks) {
  for (const ValidationError& fault : faults) {
    ReportError(Error{code, Describe(fault)}, hooks);
  }
  return ToExitStatus(code);
}

bool IsSuccess(const HttpResponse& answer) {
  return answer.ok() && answer.status / kHundred == 2;
}

Error ResponseError(const HttpResponse& answer) {
  if (!answer.ok() && !answer.maybe_sent) {
    return {ResultCode::kPeerUnreachable, "no address answered"};
  }
  if (!answer.ok()) {
    return {
        ResultCode::kTimedOut,
        "request sent, but no complete response received; it may have taken "
        "effect"};
  }
  const std::optional<Error> error = ErrorInBody(answer.body);
  const ResultCode code = error ? error->code : CodeOfStatus(answer.status);
  const bool is_told = error && !error->detail.empty();
  if (is_told && error->detail != Name(code)) return *error;
  return {code, Meaning(code) + " (HTTP status " +
                    std::to_string(answer.status) + ")"};
}

ExitStatus ReportFailedResponse(const HttpResponse& answer,
                                const CliEnvironment& hooks) {
  return ReportError(ResponseError(answer), hooks);
}

}  // namespace chivewing
