#include "entry/target_codec.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

constexpr std::string_view kRequestIdHeader = "x-request-id";
constexpr std::string_view kNotRunHeader = "x-not-run";
constexpr int kMinServerErrorStatus = 500;
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::size_t kMaxResponseBytes = 4UL * 1024 * 1024;

TargetOutcome ClassifyError(const HttpResponse& response) {
  if (response.error == HttpError::kTooLarge) return TargetOutcome::kBadAnswer;
  if (response.error == HttpError::kConnect)
    return TargetOutcome::kConnectFailed;
  if (!response.maybe_sent) return TargetOutcome::kNotSent;
  if (response.error == HttpError::kTimeout) return TargetOutcome::kTimedOut;
  return TargetOutcome::kConnectionLost;
}

}  // namespace

HttpRequest MakeRunRequest(const Dispatch& dispatch, const std::string& body,
                           const std::string& idempotency_key) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + dispatch.address + "/run";
  request.headers = {{"X-Request-Id", dispatch.request.value()},
                     {"X-Share-Epoch", std::to_string(dispatch.share_epoch)}};
  if (!idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  request.body = body;
  request.timeout =
      std::chrono::ceil<std::chrono::milliseconds>(dispatch.timeout);
  request.connect_timeout = std::min(kConnectTimeout, request.timeout);
  request.force_new_connection = dispatch.fresh_connection;
  request.max_response_bytes = kMaxResponseBytes;
  return request;
}

HttpRequest MakeStatusRequest(const ProbeInstance& probe) {
  HttpRequest request;
  request.url = "http://" + probe.address + "/status";
  request.timeout = std::chrono::ceil<std::chrono::milliseconds>(probe.timeout);
  request.connect_timeout = request.timeout;
  request.force_new_connection = true;
  return request;
}

TargetOutcome ClassifyResponse(const RequestId& request,
                               const HttpResponse& response) {
  if (!response.ok()) return ClassifyError(response);
  if (response.Header(kRequestIdHeader) != request.value()) {
    return TargetOutcome::kBadAnswer;
  }
  const std::string_view refusal = response.Header(kNotRunHeader);
  if (refusal == "slots") return TargetOutcome::kRefusedNoSlot;
  if (refusal == "leaving") return TargetOutcome::kRefusedLeaving;
  if (response.status >= kMinServerErrorStatus)
    return TargetOutcome::kDoneWithFault;
  return TargetOutcome::kDone;
}

std::optional<TargetStatus> ParseTargetStatus(const HttpResponse& response) {
  if (!response.ok()) return std::nullopt;
  try {
    const auto json = nlohmann::json::parse(response.body);
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
