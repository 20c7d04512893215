#include "entry/caller_codec.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorised = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

std::string_view WordFor(OutcomeState state) {
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
      return kHttpTooLarge;
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
  return unknown ? kHttpGatewayTimeout : kHttpUnavailable;
}

HttpServerResponse MakeCallerResponse(const Outcome& outcome,
                                      std::string_view detail,
                                      const std::string& request) {
  HttpServerResponse reply;
  reply.headers.push_back({"X-Outcome", std::string(WordFor(outcome.state))});
  if (!request.empty()) reply.headers.push_back({"X-Request-Id", request});
  if (outcome.state == OutcomeState::kDone) {
    reply.status = outcome.status;
    reply.body = outcome.body;
    reply.content_type = "application/octet-stream";
    return reply;
  }
  reply.status = HttpStatusOf(outcome.code);
  const Json body = {{"outcome", WordFor(outcome.state)},
                     {"code", static_cast<int>(outcome.code)},
                     {"name", Name(outcome.code)},
                     {"detail", detail}};
  reply.body = body.dump();
  return reply;
}

HttpServerResponse MakeErrorResponse(const Error& error) {
  HttpServerResponse reply;
  reply.status = HttpStatusOf(error.code);
  const Json body = {{"code", static_cast<int>(error.code)},
                     {"name", Name(error.code)},
                     {"detail", error.detail}};
  reply.body = body.dump();
  return reply;
}

}  // namespace chivewing
