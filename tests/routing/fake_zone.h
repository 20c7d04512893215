#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "routing/router.h"

namespace chivewing {

// One fault of a fault schedule.
struct Fault {
  enum class Kind : std::uint8_t {
    kKillHost,      // its instances are taken over; a new host replaces it
    kPauseHost,     // handles no events for `length_ms`
    kStopHost,      // planned stop; its instances are handed over
    kCutPeers,      // both sides lose the connection, and reconnect later
    kLoseMessages,  // some messages between peers are lost for a while
    kKillTarget,    // its requests get no responses, connections are refused
    kSilenceConnections,  // open connections never respond again
    kSlowTarget,
    kMisbehavingTarget,  // responses to other requests, and false refusals
    kTargetLeaves,
    kMoveAssignment,  // drained, then assigned to another host
    kCancel,
  };
  static constexpr int kKindCount = 12;
  Kind kind{};
  std::uint32_t at_ms = 0;
  std::uint32_t subject = 0;  // selects the host or target, modulo their number
  std::uint32_t length_ms = 0;
};

// Each toggle set to false disables one mechanism, to show that the checks find
// the violation which it prevents.
struct FaultToggles {
  bool count_abandoned_slots = true;  // when an instance is taken over
  bool notify_leaving = true;         // to the instance's assignee
  bool report_timeouts = true;        // otherwise reported as kNotSent
  bool drain_before_handover = true;
};

// Simulates a zone on one fake clock: several Router objects, their instances
// and a network with delay, loss and reordering. Collects violated invariants
// as sentences.
class FakeZone {
 public:
  FakeZone(std::uint32_t seed, const RouterSettings& settings,
           const FaultToggles& toggles);

  // Runs load with these faults, then without load until nothing is in
  // progress.
  void Run(const std::vector<Fault>& faults);

  const std::set<std::string>& violations() const { return violations_; }
  std::uint64_t run_count() const { return run_count_; }
  std::uint64_t CountAnswered(ResultCode code) const;

 private:
  struct Connection {
    TimePoint opened;
  };
  struct SentDispatch {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    std::size_t target = 0;
    Dispatch effect;
    Connection connection;
  };
  struct Host {
    HostId id;
    Router router;
    std::uint64_t incarnation = 1;
    TimePoint paused_until;
    bool stopping = false;
    std::map<std::size_t, std::vector<Connection>> idle;  // by target index
    std::set<RequestId> open;  // from local callers, without a response
  };
  struct Target {
    InstanceInfo info;
    std::size_t holder = 0;
    std::uint64_t move_number = 0;
    bool moving = false;
    bool dead = false;
    bool leaving_notified = false;
    TimePoint silent_before;
    TimePoint slow_until;
    TimePoint bad_until;
    std::uint32_t running = 0;
  };
  struct LogicalRequest {
    bool idempotent = true;
    std::uint32_t runs = 0;
    std::optional<ResultCode> answer;
  };
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void Schedule(TimePoint at, std::function<void()> action);
  // Runs the action in the host, unless the host was replaced meanwhile; if the
  // host is paused, after the pause.
  void ScheduleAtHost(TimePoint at, std::size_t host, std::uint64_t incarnation,
                      const std::function<void(RouterEffects&)>& action);
  Duration RandomDelay();
  std::uint32_t RandomBelow(std::uint32_t bound);
  void Check(bool holds, const std::string& what);

  void StartHost(std::size_t index);
  void SubmitNextRequest();
  void Inject(const Fault& fault);
  void KillHost(std::size_t index);
  void TakeOver(std::size_t index, bool taken_over);
  void MoveAssignment(std::size_t index);
  void HandOver(std::size_t index);
  void CutPeers(std::size_t a, std::size_t b, Duration length);
  void KillTarget(std::size_t index);
  void SetTargetLeaving(std::size_t index);

  void ApplyEffects(std::size_t host, const RouterEffects& effects);
  void SendDispatch(std::size_t host, const Dispatch& effect);
  void ReachTarget(const SentDispatch& sent);
  void RunAtTarget(const SentDispatch& sent);
  void DeliverOutcome(const SentDispatch& sent, TargetOutcome outcome);
  void SendForward(std::size_t host, const ForwardToPeer& effect);
  void RecordResponse(std::size_t host, const RespondToCaller& effect);
  void SendPeerResponse(std::size_t host, const RespondToPeer& effect);
  void DeliverLoadReport(std::size_t host, const SendLoadReport& effect);
  void SendProbe(std::size_t host, const ProbeInstance& effect);
  std::size_t HostIndex(const HostId& id) const;
  std::size_t TargetIndex(const InstanceId& id) const;
  void ScheduleTick(std::size_t host);

  RouterSettings settings_;
  FaultToggles toggles_;
  std::minstd_rand random_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint load_end_;
  TimePoint lossy_until_;
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_request_ = 0;
  std::vector<Host> hosts_;
  std::vector<Target> targets_;
  std::map<std::string, LogicalRequest> requests_;
  std::map<std::string, std::string>
      dispatched_;  // request by host, incarnation and dispatch
  std::set<std::string> violations_;
  std::uint64_t run_count_ = 0;
};

}  // namespace chivewing
