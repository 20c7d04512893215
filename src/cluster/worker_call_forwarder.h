#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "cluster/gateway_assigner.h"
#include "cluster/platform_interface.h"
#include "peer/messages.h"

namespace chivewing {

// Totals since construction, for the log.
struct ForwarderCounts {
  std::uint64_t forwarded = 0;  // calls sent to a gateway
  std::uint64_t direct = 0;     // calls made by this host
  std::uint64_t retried = 0;    // of them, after a gateway's failure
  std::uint64_t lost = 0;       // ended without a response of the gateway
  std::uint64_t dropped = 0;    // ended with their dispatcher
};

// Sends the dispatcher's calls to workers through other hosts, the gateways:
// all calls of one turn of the loop for one gateway in one message. Calls to
// workers without a gateway are made directly. Each call ends exactly once,
// though a gateway may be lost. Runs on the thread of its owner.
class WorkerCallForwarder {
 public:
  struct Callbacks {
    // Returns false if the message was certainly not sent.
    std::function<bool(const HostId&, const PeerMessage&)> send{};
    std::function<ZoneId(const WorkerId&)> zone_of{};
  };

  // `direct` must outlive the forwarder. `incarnation` is that of this process;
  // it rises with each process of the host.
  WorkerCallForwarder(const PlatformInterface& direct,
                      std::uint64_t incarnation, Callbacks callbacks);
  WorkerCallForwarder(const WorkerCallForwarder&) = delete;
  WorkerCallForwarder& operator=(const WorkerCallForwarder&) = delete;

  // The platform, with calls to workers that wait for the next Flush.
  const PlatformInterface& interface() const { return interface_; }

  // Replaces the hosts that may serve. Calls to others end as lost.
  void SetGateways(const std::vector<GatewayOption>& options);
  // Ends all calls as without a response and makes none of them again. Called
  // when the dispatcher that made them ends.
  void DropAll();
  void OnResponses(TimePoint now, const HostId& from,
                   const WorkerCallResponses& responses);
  // Ends overdue calls and sends the calls made since the last Flush. Called at
  // the end of each turn of the loop; returns when it is to be called again.
  TimePoint Flush(TimePoint now);

  const ForwarderCounts& counts() const { return counts_; }
  // The counts and the open calls, for the log.
  std::string LoadSummary() const;
  // Calls sent to gateways that have not ended.
  std::size_t outstanding() const { return calls_.size(); }

 private:
  using Command = std::variant<StartRun, StopRun, PaceRun, PollWorker>;
  struct Call {
    Command command{};
    std::function<void(CommandResponse)> command_done{};  // null for a poll
    std::function<void(PollResponse)> poll_done{};
    HostId gateway{};
    TimePoint sent_at{};
    TimePoint expires{};
  };
  struct Gateway {
    TimePoint heard_at{};
    std::set<std::uint64_t> commands{};  // outstanding, oldest first
    std::set<std::uint64_t> polls{};     // outstanding
    bool takes_poll_incarnations = false;
    bool takes_start_incarnations = false;
  };
  // Calls of one message to a gateway, and their ids.
  struct Batch {
    WorkerCalls calls{};
    std::vector<std::uint64_t> ids{};
    std::size_t bytes = 0;  // estimate
  };

  // False if the gateway would send the start to any incarnation.
  bool TakesCall(const HostId& gateway, const Call& call) const;
  static void EndWithoutResponse(const Call& call);
  void Queue(Command command, std::function<void(CommandResponse)> done);
  void MakeDirectly(Call call);
  void RetryPollDirectly(Call call);
  template <typename Command>
  static const Command& ForGateway(const Gateway& /*gateway*/,
                                   const Command& command) {
    return command;
  }
  static PollWorker ForGateway(const Gateway& gateway, const PollWorker& poll);
  void Forward(TimePoint now, const HostId& gateway, Call call,
               std::map<HostId, Batch>& batches);
  void Send(const HostId& gateway, Batch batch);
  Call TakeCall(std::uint64_t id);
  void OnCommandResponse(TimePoint now, std::uint64_t id,
                         const CommandResponse& response);
  void OnPollResponse(TimePoint now, std::uint64_t id,
                      const PollResponse& response);
  void EndAsLost(std::uint64_t id);
  void EndCallsOf(const HostId& host);
  void EndOverdueCalls(TimePoint now);
  void FindSilentGateways(TimePoint now);
  TimePoint NextDue() const;
  bool IsFrom(std::uint64_t id, const HostId& from) const;

  const PlatformInterface& direct_;
  Callbacks callbacks_;
  PlatformInterface interface_;
  GatewayAssigner assigner_;
  std::vector<Call> queued_;
  std::map<std::uint64_t, Call> calls_;  // sent to gateways, by id
  std::set<std::pair<TimePoint, std::uint64_t>> expiries_;  // of calls_
  std::map<HostId, Gateway> gateways_;
  std::uint64_t last_id_;
  // After this host's loop has stood still, responses wait to be read: until
  // then no gateway is blamed.
  TimePoint last_flush_{};
  TimePoint blameless_until_{};
  TimePoint next_silence_check_{};
  ForwarderCounts counts_;
};

}  // namespace chivewing
