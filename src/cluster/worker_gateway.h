#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/id.h"
#include "base/time.h"
#include "cluster/platform_interface.h"
#include "peer/messages.h"

namespace chivewing {

// Makes calls to workers for the dispatching host and sends it the responses,
// gathered for a few milliseconds. Decides nothing: the calls carry the
// dispatcher's fence and deadlines. Runs on the thread of its owner.
class WorkerGateway {
 public:
  struct Callbacks {
    // Runs a function on the owner's thread; called on any thread.
    std::function<void(std::function<void(TimePoint)>)> post{};
    std::function<bool(const HostId&, const PeerMessage&)> send{};
  };

  WorkerGateway(const PlatformInterface& platform, Callbacks callbacks)
      : platform_(platform), callbacks_(std::move(callbacks)) {}

  // Makes the calls. One that has waited for its time limit since `received_at`
  // is not sent, and its response says so.
  void OnCalls(TimePoint now, TimePoint received_at, const HostId& from,
               const WorkerCalls& calls);
  // Sends the responses that are due. Returns when it is to be called again.
  TimePoint Tick(TimePoint now);

 private:
  struct Outbox {
    TimePoint due{};
    WorkerCallResponses responses{};
  };

  template <typename Call>
  void MakeCommand(
      const HostId& from, const Call& call, bool late,
      const std::function<void(const decltype(Call::command)&,
                               std::function<void(CommandResponse)>)>& make);
  void MakePoll(const HostId& from, const ForwardedPoll& call, bool late);
  void Add(TimePoint now, const HostId& to, ForwardedCommandResponse response);
  void Add(TimePoint now, const HostId& to, ForwardedPollResponse response);
  Outbox& OutboxOf(TimePoint now, const HostId& to);
  void Send(const HostId& to, Outbox& outbox);

  const PlatformInterface& platform_;
  Callbacks callbacks_;
  std::map<HostId, Outbox> outboxes_;
};

}  // namespace chivewing
