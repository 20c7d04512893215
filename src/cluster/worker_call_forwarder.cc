#include "cluster/worker_call_forwarder.h"

#include <algorithm>
#include <chrono>
#include <type_traits>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Added to the timeout of a direct call, for the way to the gateway and back.
constexpr milliseconds kForwardMargin{150};
// A gateway from which nothing has come for so long, though commands wait for
// their responses, counts as failed.
constexpr milliseconds kSilenceLimit{300};
// How often gateways are checked for silence.
constexpr milliseconds kSilenceCheckInterval{25};
// After a pause of the loop longer than this, gateways get the same time to be
// heard.
constexpr milliseconds kLongPause{150};
// Largest calls of one message, in bytes and number; a frame holds 4 MB.
constexpr std::size_t kMaxBatchBytes = 1UL << 20;
constexpr std::size_t kMaxBatchCalls = 2048;
constexpr std::size_t kCallBytes = 200;  // of a call without its texts
// Each incarnation of this host, a time in milliseconds, has its own range of
// call ids, so that responses to the process before are not taken for its own.
constexpr int kCallIdBitsPerIncarnation = 22;

milliseconds TimeLimitOf(const PollWorker& poll) {
  return poll.wait + kWorkerPollTimeoutMargin;
}
template <typename Command>
milliseconds TimeLimitOf(const Command& /*command*/) {
  return kWorkerCommandTimeout;
}

std::size_t TextBytesOf(const StartRun& start) {
  return start.payload.size() + start.saved.size() + start.ticket.size();
}
template <typename Command>
std::size_t TextBytesOf(const Command& /*command*/) {
  return 0;
}

void AddTo(WorkerCalls& calls, std::uint64_t id, const StartRun& command) {
  calls.starts.push_back({id, TimeLimitOf(command), command});
}
void AddTo(WorkerCalls& calls, std::uint64_t id, const StopRun& command) {
  calls.stops.push_back({id, TimeLimitOf(command), command});
}
void AddTo(WorkerCalls& calls, std::uint64_t id, const PaceRun& command) {
  calls.paces.push_back({id, TimeLimitOf(command), command});
}
void AddTo(WorkerCalls& calls, std::uint64_t id, const PollWorker& command) {
  calls.polls.push_back({id, TimeLimitOf(command), command});
}

}  // namespace

WorkerCallForwarder::WorkerCallForwarder(const PlatformInterface& direct,
                                         std::uint64_t incarnation,
                                         Callbacks callbacks)
    : direct_(direct),
      callbacks_(std::move(callbacks)),
      interface_(direct),
      last_id_(incarnation << kCallIdBitsPerIncarnation) {
  interface_.start_run = [this](const StartRun& command, auto done) {
    Queue(command, std::move(done));
  };
  interface_.stop_run = [this](const StopRun& command, auto done) {
    Queue(command, std::move(done));
  };
  interface_.pace_run = [this](const PaceRun& command, auto done) {
    Queue(command, std::move(done));
  };
  interface_.poll_worker = [this](const PollWorker& command, auto done) {
    Call call;
    call.command = command;
    call.poll_done = std::move(done);
    queued_.push_back(std::move(call));
  };
}

void WorkerCallForwarder::Queue(Command command,
                                std::function<void(CommandResponse)> done) {
  Call call;
  call.command = std::move(command);
  call.command_done = std::move(done);
  queued_.push_back(std::move(call));
}

void WorkerCallForwarder::SetGateways(
    const std::vector<GatewayOption>& options) {
  std::set<HostId> listed;
  for (const GatewayOption& option : options) listed.insert(option.host);
  std::vector<HostId> gone;
  for (const auto& [host, gateway] : gateways_) {
    if (!listed.contains(host)) gone.push_back(host);
  }
  assigner_.SetGateways(options);
  for (const HostId& host : gone) {
    EndCallsOf(host);
    gateways_.erase(host);
  }
  for (const GatewayOption& option : options) {
    Gateway& gateway = gateways_[option.host];
    gateway.takes_poll_incarnations = option.takes_poll_incarnations;
    gateway.takes_start_incarnations = option.takes_start_incarnations;
  }
}

bool WorkerCallForwarder::TakesCall(const HostId& gateway,
                                    const Call& call) const {
  const auto* const start = std::get_if<StartRun>(&call.command);
  const bool is_bound =
      start != nullptr && start->incarnation_start.count() > 0;
  return !is_bound || gateways_.at(gateway).takes_start_incarnations;
}

void WorkerCallForwarder::DropAll() {
  const std::vector<Call> queued = std::exchange(queued_, {});
  const std::map<std::uint64_t, Call> open = std::exchange(calls_, {});
  expiries_.clear();
  for (auto& [host, gateway] : gateways_) {
    gateway.commands.clear();
    gateway.polls.clear();
  }
  counts_.dropped += queued.size() + open.size();
  for (const Call& call : queued) EndWithoutResponse(call);
  for (const auto& [id, call] : open) EndWithoutResponse(call);
}

void WorkerCallForwarder::EndWithoutResponse(const Call& call) {
  if (call.poll_done) {
    call.poll_done(PollResponse{});
  } else {
    call.command_done(CommandResponse{});
  }
}

TimePoint WorkerCallForwarder::Flush(TimePoint now) {
  if (now - last_flush_ > kLongPause) blameless_until_ = now + kLongPause;
  last_flush_ = now;
  EndOverdueCalls(now);
  FindSilentGateways(now);
  std::map<HostId, Batch> batches;
  std::vector<Call> calls;
  calls.swap(queued_);
  for (Call& call : calls) {
    const WorkerId worker =
        std::visit([](const auto& each) { return each.worker; }, call.command);
    const std::optional<HostId> gateway =
        assigner_.GatewayOf(now, worker, callbacks_.zone_of(worker));
    if (gateway && TakesCall(*gateway, call)) {
      Forward(now, *gateway, std::move(call), batches);
    } else {
      MakeDirectly(std::move(call));
    }
  }
  for (auto& [host, batch] : batches) Send(host, std::move(batch));
  return NextDue();
}

// An older build rejects a message with a field that it does not know.
PollWorker WorkerCallForwarder::ForGateway(const Gateway& gateway,
                                           const PollWorker& poll) {
  PollWorker out = poll;
  if (gateway.takes_poll_incarnations) return out;
  out.incarnation_start = milliseconds(0);
  return out;
}

void WorkerCallForwarder::Forward(TimePoint now, const HostId& gateway,
                                  Call call, std::map<HostId, Batch>& batches) {
  const std::uint64_t id = ++last_id_;
  Batch& batch = batches[gateway];
  Gateway& state = gateways_[gateway];
  const bool is_poll = static_cast<bool>(call.poll_done);
  std::visit(
      [&](const auto& command) {
        AddTo(batch.calls, id, ForGateway(state, command));
        batch.bytes += kCallBytes + TextBytesOf(command);
        call.expires = now + TimeLimitOf(command) + kForwardMargin;
      },
      call.command);
  batch.ids.push_back(id);
  call.gateway = gateway;
  call.sent_at = now;
  expiries_.emplace(call.expires, id);
  (is_poll ? state.polls : state.commands).insert(id);
  calls_.emplace(id, std::move(call));
  if (batch.bytes < kMaxBatchBytes && batch.ids.size() < kMaxBatchCalls) return;
  Send(gateway, std::move(batch));
  batches.erase(gateway);
}

void WorkerCallForwarder::Send(const HostId& gateway, Batch batch) {
  counts_.forwarded += batch.ids.size();
  if (callbacks_.send(gateway, PeerMessage(std::move(batch.calls)))) return;
  LogWarning(LogPart::kPeer,
             "gateway does not take calls; making them directly host=" +
                 gateway.value());
  for (const std::uint64_t id : batch.ids) MakeDirectly(TakeCall(id));
}

void WorkerCallForwarder::MakeDirectly(Call call) {
  ++counts_.direct;
  if (const auto* start = std::get_if<StartRun>(&call.command)) {
    direct_.start_run(*start, call.command_done);
  } else if (const auto* stop = std::get_if<StopRun>(&call.command)) {
    direct_.stop_run(*stop, call.command_done);
  } else if (const auto* pace = std::get_if<PaceRun>(&call.command)) {
    direct_.pace_run(*pace, call.command_done);
  } else if (const auto* poll = std::get_if<PollWorker>(&call.command)) {
    direct_.poll_worker(*poll, call.poll_done);
  }
}

// A poll that failed on its way through a gateway says nothing about the
// worker. The retry does not wait for an end, so that it adds little time.
void WorkerCallForwarder::RetryPollDirectly(Call call) {
  ++counts_.retried;
  std::get<PollWorker>(call.command).wait = milliseconds(0);
  MakeDirectly(std::move(call));
}

WorkerCallForwarder::Call WorkerCallForwarder::TakeCall(std::uint64_t id) {
  const auto found = calls_.find(id);
  Call call = std::move(found->second);
  calls_.erase(found);
  expiries_.erase({call.expires, id});
  const auto gateway = gateways_.find(call.gateway);
  if (gateway != gateways_.end()) {
    gateway->second.commands.erase(id);
    gateway->second.polls.erase(id);
  }
  return call;
}

bool WorkerCallForwarder::IsFrom(std::uint64_t id, const HostId& from) const {
  const auto found = calls_.find(id);
  return found != calls_.end() && found->second.gateway == from;
}

void WorkerCallForwarder::OnResponses(TimePoint now, const HostId& from,
                                      const WorkerCallResponses& responses) {
  const auto gateway = gateways_.find(from);
  if (gateway != gateways_.end()) gateway->second.heard_at = now;
  for (const ForwardedCommandResponse& each : responses.commands) {
    if (IsFrom(each.call_id, from)) {
      OnCommandResponse(now, each.call_id, each.response);
    }
  }
  for (const ForwardedPollResponse& each : responses.polls) {
    if (IsFrom(each.call_id, from)) {
      OnPollResponse(now, each.call_id, each.response);
    }
  }
}

void WorkerCallForwarder::OnCommandResponse(TimePoint now, std::uint64_t id,
                                            const CommandResponse& response) {
  if (!calls_.at(id).command_done) return;
  Call call = TakeCall(id);
  const WorkerId worker =
      std::visit([](const auto& each) { return each.worker; }, call.command);
  const bool not_sent = response.outcome == CommandOutcome::kNotSent;
  if (not_sent || response.outcome == CommandOutcome::kNoResponse) {
    assigner_.OnUnreachedWorker(now, call.gateway, worker);
  }
  if (!not_sent) {
    call.command_done(response);
    return;
  }
  // The command has waited. Whether a start is still wanted is for the
  // dispatcher to say, which repeats a start without a response.
  if (std::holds_alternative<StartRun>(call.command)) {
    call.command_done(CommandResponse{});
    return;
  }
  ++counts_.retried;
  MakeDirectly(std::move(call));
}

void WorkerCallForwarder::OnPollResponse(TimePoint now, std::uint64_t id,
                                         const PollResponse& response) {
  if (!calls_.at(id).poll_done) return;
  Call call = TakeCall(id);
  const bool failed = response.outcome == CommandOutcome::kNotSent ||
                      response.outcome == CommandOutcome::kNoResponse;
  if (failed) {
    assigner_.OnUnreachedWorker(now, call.gateway,
                                std::get<PollWorker>(call.command).worker);
    RetryPollDirectly(std::move(call));
    return;
  }
  call.poll_done(response);
}

// The gateway may have made the call, and may still make it.
void WorkerCallForwarder::EndAsLost(std::uint64_t id) {
  ++counts_.lost;
  Call call = TakeCall(id);
  if (call.poll_done) {
    RetryPollDirectly(std::move(call));
  } else {
    call.command_done(CommandResponse{});
  }
}

void WorkerCallForwarder::EndCallsOf(const HostId& host) {
  const auto found = gateways_.find(host);
  if (found == gateways_.end()) return;
  std::set<std::uint64_t> ids = found->second.commands;
  ids.insert(found->second.polls.begin(), found->second.polls.end());
  for (const std::uint64_t id : ids) EndAsLost(id);
}

void WorkerCallForwarder::EndOverdueCalls(TimePoint now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const std::uint64_t id = expiries_.begin()->second;
    const Call& call = calls_.at(id);
    const HostId gateway = call.gateway;
    const WorkerId worker =
        std::visit([](const auto& each) { return each.worker; }, call.command);
    EndAsLost(id);
    if (now < blameless_until_) continue;
    // A gateway that responds to other calls may have met a silent worker.
    if (now < gateways_[gateway].heard_at + kSilenceLimit) {
      assigner_.OnUnreachedWorker(now, gateway, worker);
      continue;
    }
    if (!assigner_.IsAvailable(now, gateway)) continue;
    LogWarning(
        LogPart::kPeer,
        "gateway has not responded to a call in time host=" + gateway.value());
    assigner_.OnGatewayFailure(now, gateway);
  }
}

void WorkerCallForwarder::FindSilentGateways(TimePoint now) {
  if (now < blameless_until_ || now < next_silence_check_) return;
  next_silence_check_ = now + kSilenceCheckInterval;
  for (const auto& [host, gateway] : gateways_) {
    if (gateway.commands.empty()) continue;
    const TimePoint oldest = calls_.at(*gateway.commands.begin()).sent_at;
    const TimePoint quiet_since = std::max(oldest, gateway.heard_at);
    if (now < quiet_since + kSilenceLimit) continue;
    LogWarning(
        LogPart::kPeer,
        "gateway is silent; its workers go to others host=" + host.value());
    assigner_.OnGatewayFailure(now, host);
    EndCallsOf(host);
  }
}

std::string WorkerCallForwarder::LoadSummary() const {
  return "gateways=" + std::to_string(gateways_.size()) +
         " calls_forwarded=" + std::to_string(counts_.forwarded) +
         " calls_direct=" + std::to_string(counts_.direct) +
         " calls_retried=" + std::to_string(counts_.retried) +
         " calls_lost=" + std::to_string(counts_.lost) +
         " calls_dropped=" + std::to_string(counts_.dropped) +
         " calls_open=" + std::to_string(calls_.size());
}

TimePoint WorkerCallForwarder::NextDue() const {
  if (expiries_.empty()) return TimePoint::max();
  return std::min(expiries_.begin()->first,
                  std::max(next_silence_check_, blameless_until_));
}

}  // namespace chivewing
