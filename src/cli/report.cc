#include "cli/report.h"

#include <cstdint>
#include <optional>
#include <ostream>

#include "schema/json_parser.h"

namespace chivewing {
namespace {

constexpr int kHundred = 100;

// Answers without a readable body are judged by their status.
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
  for (const ResultCodeRow& row : ResultCodes()) {
    if (static_cast<std::int64_t>(row.code) == number) return row.code;
  }
  return std::nullopt;
}

std::optional<Error> ErrorInBody(const std::string& body) {
  const Checked<JsonNode> root = ParseJson(body, "answer");
  if (!root) return std::nullopt;
  const JsonNode* number = root.value().Find("code");
  if (number == nullptr) return std::nullopt;
  const std::optional<ResultCode> code = ListedCode(number->integer);
  if (!code) return std::nullopt;
  const JsonNode* detail = root.value().Find("detail");
  return Error{*code, detail == nullptr ? "" : detail->text};
}

}  // namespace

ExitStatus StatusOf(ResultCode code) {
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

ExitStatus ReportError(const Error& error, const CliHooks& hooks) {
  *hooks.err << "chivewing: " << error.detail << " ["
             << static_cast<int>(error.code) << " " << Name(error.code)
             << "]\n";
  return StatusOf(error.code);
}

ExitStatus ReportFaults(ResultCode code, const Faults& faults,
                        const CliHooks& hooks) {
  for (const Fault& fault : faults) {
    ReportError(Error{code, Describe(fault)}, hooks);
  }
  return StatusOf(code);
}

bool IsSuccess(const HttpAnswer& answer) {
  return answer.ok() && answer.status / kHundred == 2;
}

Error ErrorOf(const HttpAnswer& answer) {
  if (!answer.ok() && !answer.maybe_sent) {
    return {ResultCode::kPeerUnreachable, "no address answered"};
  }
  if (!answer.ok()) {
    return {ResultCode::kTimedOut,
            "sent, but no whole answer came; it may have taken effect"};
  }
  std::optional<Error> error = ErrorInBody(answer.body);
  if (error && !error->detail.empty()) return *error;
  const ResultCode code = error ? error->code : CodeOfStatus(answer.status);
  return {code, "the answer has HTTP status " + std::to_string(answer.status)};
}

ExitStatus ReportAnswer(const HttpAnswer& answer, const CliHooks& hooks) {
  return ReportError(ErrorOf(answer), hooks);
}

}  // namespace chivewing
