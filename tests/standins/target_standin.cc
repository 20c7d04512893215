#include "standins/target_standin.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace chivewing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kWorkInBody = "work_ms=";

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpServerResponse NotRun(int status, const std::string& reason) {
  return {.status = status, .headers = {{"X-Not-Run", reason}}};
}

milliseconds WorkTime(const HttpServerRequest& call) {
  std::string_view text = call.Header("x-work-ms");
  const auto in_body = call.body.find(kWorkInBody);
  if (text.empty() && in_body != std::string::npos) {
    text = std::string_view(call.body).substr(in_body + kWorkInBody.size());
  }
  int value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return milliseconds(value);
}

}  // namespace

TargetStandin::TargetStandin(TargetStandinOptions options)
    : options_(std::move(options)), server_({.address = options_.listen}) {}

TargetStandin::~TargetStandin() { Stop(); }

Status TargetStandin::Start() {
  return server_.Start(
      [this](HttpServerRequest call) { OnCall(std::move(call)); },
      [this](const std::string& json) { return OnFault(json); });
}

std::uint64_t TargetStandin::most_connections() const {
  return server_.counts().peak_connections;
}

std::map<std::string, int> TargetStandin::ran() {
  const std::lock_guard lock(mutex_);
  return ran_;
}

bool TargetStandin::OnFault(const std::string& json) {
  const Json faults = Json::parse(json);
  try {
    late_ms_ = faults.value("late_ms", late_ms_.load());
    is_crossed_ = faults.value("crossed", is_crossed_.load());
    is_truncated_ = faults.value("truncate", is_truncated_.load());
    is_leaving_ = faults.value("leaving", is_leaving_.load());
    is_refusing_ = faults.value("refuse", is_refusing_.load());
    if (faults.value("silent_open", false)) {
      silent_up_to_ = server_.counts().connections;
    }
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

void TargetStandin::OnCall(HttpServerRequest call) {
  if (call.connection <= silent_up_to_) {
    server_.LeaveUnanswered(call.id);
    return;
  }
  if (call.path == "/run") {
    OnRun(std::move(call));
  } else if (call.path == "/status") {
    server_.Respond(call.id, ReplyToStatus());
  } else if (call.path == "/ran") {
    server_.Respond(call.id, ReplyToRan());
  } else {
    server_.Respond(call.id, {.status = 404});
  }
}

bool TargetStandin::TakeSlot() {
  const int taken = ++running_;
  if (is_refusing_ || taken > options_.slots) {
    --running_;
    return false;
  }
  int most = most_running_;
  while (taken > most && !most_running_.compare_exchange_weak(most, taken)) {
  }
  return true;
}

void TargetStandin::OnRun(HttpServerRequest call) {
  if (is_leaving_ || !TakeSlot()) {
    ++refused_;
    server_.Respond(
        call.id, is_leaving_ ? NotRun(503, "leaving") : NotRun(429, "slots"));
    return;
  }
  Record(call);
  const milliseconds time = WorkTime(call);
  Work work{.call = call.id,
            .connection = call.connection,
            .request = std::string(call.Header("x-request-id")),
            .body = std::move(call.body)};
  if (time.count() == 0) {
    EndWork(work);
    return;
  }
  server_.timer().After(time,
                        [this, work = std::move(work)] { EndWork(work); });
}

void TargetStandin::Record(const HttpServerRequest& call) {
  ++runs_;
  if (!options_.is_recording) return;
  std::string_view id = call.Header("idempotency-key");
  if (id.empty()) id = call.Header("x-request-id");
  const std::lock_guard lock(mutex_);
  ++ran_[std::string(id)];
}

void TargetStandin::EndWork(const Work& work) {
  --running_;
  if (work.connection <= silent_up_to_) {
    server_.LeaveUnanswered(work.call);
    return;
  }
  server_.Respond(work.call, ReplyTo(work), milliseconds(late_ms_));
}

HttpServerResponse TargetStandin::ReplyTo(const Work& work) {
  Work answered = work;
  if (is_crossed_) {
    const std::lock_guard lock(mutex_);
    std::swap(answered, last_);
    if (answered.request.empty()) answered.request = "of-nobody";
  }
  HttpServerResponse reply;
  reply.body = Dump({{"instance", options_.instance},
                     {"request", answered.request},
                     {"body", answered.body}});
  reply.headers.push_back({"X-Request-Id", answered.request});
  if (is_truncated_) reply.truncate_body_after = reply.body.size() / 2;
  return reply;
}

HttpServerResponse TargetStandin::ReplyToStatus() {
  return {.body = Dump({{"running", running_.load()},
                        {"slots", options_.slots},
                        {"connections", server_.counts().open_connections},
                        {"leaving", is_leaving_.load()},
                        {"ran", runs_.load()}})};
}

HttpServerResponse TargetStandin::ReplyToRan() {
  return {.body = Dump({{"ran", ran()},
                        {"most_running", most_running_.load()},
                        {"most_connections", most_connections()},
                        {"refused", refused_.load()}})};
}

}  // namespace chivewing
