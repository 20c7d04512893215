#include "entry/target_codec.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

constexpr std::string_view kRequestIdHeader = "x-request-id";
constexpr std::string_view kNotRunHeader = "x-not-run";
constexpr int kFirstServerFault = 500;
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::size_t kMaxAnswerBytes = 4UL * 1024 * 1024;

TargetOutcome JudgeFault(const HttpResponse& answer) {
  if (answer.error == HttpError::kTooLarge) return TargetOutcome::kBadAnswer;
  if (answer.error == HttpError::kConnect) return TargetOutcome::kConnectFailed;
  if (!answer.maybe_sent) return TargetOutcome::kNotSent;
  if (answer.error == HttpError::kTimeout) return TargetOutcome::kTimedOut;
  return TargetOutcome::kConnectionLost;
}

}  // namespace

HttpRequest MakeRunRequest(const Dispatch& dispatch, const std::string& body,
                           const std::string& idempotency_key) {
  HttpRequest call;
  call.method = "POST";
  call.url = "http://" + dispatch.address + "/run";
  call.headers = {{"X-Request-Id", dispatch.request.value()},
                  {"X-Share-Epoch", std::to_string(dispatch.share_epoch)}};
  if (!idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  call.body = body;
  call.timeout = std::chrono::ceil<std::chrono::milliseconds>(dispatch.timeout);
  call.connect_timeout = std::min(kConnectTimeout, call.timeout);
  call.force_new_connection = dispatch.fresh_connection;
  call.max_response_bytes = kMaxAnswerBytes;
  return call;
}

HttpRequest MakeStatusRequest(const ProbeInstance& probe) {
  HttpRequest call;
  call.url = "http://" + probe.address + "/status";
  call.timeout = std::chrono::ceil<std::chrono::milliseconds>(probe.timeout);
  call.connect_timeout = call.timeout;
  call.force_new_connection = true;
  return call;
}

TargetOutcome ClassifyResponse(const RequestId& request,
                               const HttpResponse& answer) {
  if (!answer.ok()) return JudgeFault(answer);
  if (answer.Header(kRequestIdHeader) != request.value()) {
    return TargetOutcome::kBadAnswer;
  }
  const std::string_view refusal = answer.Header(kNotRunHeader);
  if (refusal == "slots") return TargetOutcome::kRefusedNoSlot;
  if (refusal == "leaving") return TargetOutcome::kRefusedLeaving;
  if (answer.status >= kFirstServerFault) return TargetOutcome::kDoneWithFault;
  return TargetOutcome::kDone;
}

std::optional<TargetStatus> ParseTargetStatus(const HttpResponse& answer) {
  if (!answer.ok()) return std::nullopt;
  try {
    const auto json = nlohmann::json::parse(answer.body);
    TargetStatus status;
    status.running = json.at("running").get<std::uint32_t>();
    status.connections = json.at("connections").get<std::uint32_t>();
    status.leaving = json.at("leaving").get<bool>();
    return status;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace chivewing
