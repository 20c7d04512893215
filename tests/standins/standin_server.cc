#include "standins/standin_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kUnansweredCloseDelay{20};

}  // namespace

StandinServer::StandinServer(HttpServerOptions options)
    : ip_(options.address.substr(0, options.address.rfind(':'))),
      server_(std::move(options)) {}

StandinServer::~StandinServer() { Stop(); }

Status StandinServer::Start(Handler handler, FaultHandler on_fault) {
  handler_ = std::move(handler);
  on_fault_ = std::move(on_fault);
  return server_.Start(
      [this](HttpServerRequest call) { OnCall(std::move(call)); });
}

void StandinServer::Stop() {
  timer_.Stop();
  server_.Stop();
}

std::string StandinServer::address() const {
  return ip_ + ":" + std::to_string(port());
}

void StandinServer::OnCall(HttpServerRequest call) {
  if (call.path == "/fault") {
    const bool understood = InjectFaults(call.body);
    server_.Respond(call.id, {.status = understood ? 204 : 400});
    return;
  }
  switch (ChooseFaultAction(call)) {
    case FaultAction::kPass:
      handler_(std::move(call));
      break;
    case FaultAction::kRefuse:
      Respond(call.id, {.status = 503});
      break;
    case FaultAction::kLeaveUnanswered:
      LeaveUnanswered(call.id);
      break;
  }
}

StandinServer::FaultAction StandinServer::ChooseFaultAction(
    const HttpServerRequest& call) {
  const std::lock_guard lock(mutex_);
  const bool is_cut = cut_hosts_.contains(call.Header("x-host"));
  if (silent_ || (is_cut && drop_)) return FaultAction::kLeaveUnanswered;
  return down_ || is_cut ? FaultAction::kRefuse : FaultAction::kPass;
}

void StandinServer::Respond(std::uint64_t id, HttpServerResponse reply,
                            Duration delay) {
  const Duration wait = delay + slow_.load();
  if (wait <= Duration(0)) {
    server_.Respond(id, std::move(reply));
    return;
  }
  timer_.After(wait, [this, id, reply = std::move(reply)] {
    server_.Respond(id, reply);
  });
}

void StandinServer::LeaveUnanswered(std::uint64_t id) {
  timer_.After(kUnansweredCloseDelay, [this, id] {
    server_.Respond(id, {.body = "held", .truncate_body_after = 1});
  });
}

bool StandinServer::InjectFaults(const std::string& json) {
  const Json faults = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!faults.is_object()) return false;
  try {
    const std::lock_guard lock(mutex_);
    down_ = faults.value("down", down_);
    silent_ = faults.value("silent", silent_);
    drop_ = faults.value("drop", drop_);
    if (faults.contains("slow_ms")) {
      slow_ = std::chrono::milliseconds(faults["slow_ms"].get<int>());
    }
    if (faults.contains("cut_hosts")) {
      cut_hosts_ = faults["cut_hosts"].get<decltype(cut_hosts_)>();
    }
  } catch (const Json::exception&) {
    return false;
  }
  return on_fault_(json);
}

}  // namespace chivewing
