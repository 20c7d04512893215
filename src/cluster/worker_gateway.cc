#include "cluster/worker_gateway.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

// How long the first response of a message waits for others.
constexpr std::chrono::milliseconds kGatherTime{2};
// Most poll responses of one message, so that its frame is not too large.
constexpr std::size_t kMaxPolls = 50;

}  // namespace

void WorkerGateway::OnCalls(TimePoint now, TimePoint received_at,
                            const HostId& from, const WorkerCalls& calls) {
  const Duration waited = now - received_at;
  for (const ForwardedStop& call : calls.stops) {
    MakeCommand(from, call, waited >= call.time_limit, platform_.stop_run);
  }
  for (const ForwardedStart& call : calls.starts) {
    MakeCommand(from, call, waited >= call.time_limit, platform_.start_run);
  }
  for (const ForwardedPace& call : calls.paces) {
    MakeCommand(from, call, waited >= call.time_limit, platform_.pace_run);
  }
  for (const ForwardedPoll& call : calls.polls) {
    MakePoll(from, call, waited >= call.time_limit);
  }
}

template <typename Call>
void WorkerGateway::MakeCommand(
    const HostId& from, const Call& call, bool late,
    const std::function<void(const decltype(Call::command)&,
                             std::function<void(CommandResponse)>)>& make) {
  const auto finish = [this, from,
                       id = call.call_id](const CommandResponse& response) {
    callbacks_.post([this, from, id, response](TimePoint now) {
      Add(now, from, ForwardedCommandResponse{id, response});
    });
  };
  if (late) {
    finish(CommandResponse{.outcome = CommandOutcome::kNotSent});
    return;
  }
  make(call.command, finish);
}

void WorkerGateway::MakePoll(const HostId& from, const ForwardedPoll& call,
                             bool late) {
  const auto finish = [this, from,
                       id = call.call_id](const PollResponse& response) {
    callbacks_.post([this, from, id, response](TimePoint now) {
      Add(now, from, ForwardedPollResponse{id, response});
    });
  };
  if (late) {
    finish(PollResponse{.outcome = CommandOutcome::kNotSent});
    return;
  }
  platform_.poll_worker(call.command, finish);
}

void WorkerGateway::Add(TimePoint now, const HostId& to,
                        ForwardedCommandResponse response) {
  OutboxOf(now, to).responses.commands.push_back(response);
}

void WorkerGateway::Add(TimePoint now, const HostId& to,
                        ForwardedPollResponse response) {
  Outbox& outbox = OutboxOf(now, to);
  outbox.responses.polls.push_back(std::move(response));
  if (outbox.responses.polls.size() < kMaxPolls) return;
  Send(to, outbox);
  outboxes_.erase(to);
}

WorkerGateway::Outbox& WorkerGateway::OutboxOf(TimePoint now,
                                               const HostId& to) {
  const auto [found, added] = outboxes_.try_emplace(to);
  if (added) found->second.due = now + kGatherTime;
  return found->second;
}

TimePoint WorkerGateway::Tick(TimePoint now) {
  TimePoint next = TimePoint::max();
  for (auto it = outboxes_.begin(); it != outboxes_.end();) {
    Outbox& outbox = it->second;
    if (now < outbox.due) {
      next = std::min(next, outbox.due);
      ++it;
      continue;
    }
    Send(it->first, outbox);
    it = outboxes_.erase(it);
  }
  return next;
}

void WorkerGateway::Send(const HostId& to, Outbox& outbox) {
  if (callbacks_.send(to, PeerMessage(std::move(outbox.responses)))) return;
  LogWarning(LogPart::kPeer,
             "responses of workers could not be sent to the dispatching host; "
             "it repeats the calls host=" +
                 to.value());
}

}  // namespace chivewing
