#include "entry/caller_codec.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorised = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpPayloadTooLarge = 413;
constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

std::string_view OutcomeName(OutcomeState state) {
  switch (state) {
    case OutcomeState::kDone:
      return "done";
    case OutcomeState::kNotRun:
      return "not_run";
    case OutcomeState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

OutcomeState OutcomeStateOf(ResultCode code) {
  if (code == ResultCode::kOk) return OutcomeState::kDone;
  return IsNotRun(code) ? OutcomeState::kNotRun : OutcomeState::kUnknown;
}

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kUnknownEntry:
    case ResultCode::kNotFound:
      return kHttpNotFound;
    case ResultCode::kBodyTooLarge:
      return kHttpPayloadTooLarge;
    case ResultCode::kUnauthorised:
      return kHttpUnauthorised;
    case ResultCode::kConflict:
      return kHttpConflict;
    case ResultCode::kBadRequest:
    case ResultCode::kBadEntry:
    case ResultCode::kKeyMissing:
    case ResultCode::kNeverFits:
      return kHttpBadRequest;
    default:
      break;
  }
  const bool unknown = OutcomeStateOf(code) == OutcomeState::kUnknown &&
                       code >= ResultCode::kTimedOut &&
                       code < ResultCode::kPlatformUnavailable;
  return unknown ? kHttpGatewayTimeout : kHttpServiceUnavailable;
}

HttpServerResponse MakeCallerResponse(const Outcome& outcome,
                                      std::string_view detail,
                                      const std::string& request) {
  HttpServerResponse response;
  response.headers.push_back(
      {"X-Outcome", std::string(OutcomeName(outcome.state))});
  if (!request.empty()) response.headers.push_back({"X-Request-Id", request});
  if (outcome.state == OutcomeState::kDone) {
    response.status = outcome.status;
    response.body = outcome.body;
    response.content_type = "application/octet-stream";
    return response;
  }
  response.status = HttpStatusOf(outcome.code);
  const Json body = {{"outcome", OutcomeName(outcome.state)},
                     {"code", static_cast<int>(outcome.code)},
                     {"name", Name(outcome.code)},
                     {"detail", detail}};
  response.body = body.dump();
  return response;
}

HttpServerResponse MakeErrorResponse(const Error& error) {
  HttpServerResponse response;
  response.status = HttpStatusOf(error.code);
  const Json body = {{"code", static_cast<int>(error.code)},
                     {"name", Name(error.code)},
                     {"detail", error.detail}};
  response.body = body.dump();
  return response;
}

}  // namespace chivewing
