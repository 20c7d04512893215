#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/latency_histogram.h"
#include "base/time.h"
#include "catalogue/catalogue_entry.h"
#include "entry/request_callbacks.h"
#include "entry/request_event.h"
#include "entry/request_record.h"
#include "outcome/claim_manager.h"
#include "outcome/ticket_manager.h"
#include "routing/router.h"

namespace chivewing {

struct RequestControllerSettings {
  HostId host;
  std::uint64_t incarnation = 0;
  RouterSettings router;
  // Requests in progress at once; further ones are refused as not run.
  std::size_t max_in_progress = 8192;
  std::chrono::milliseconds max_request_duration{10000};
};

// Counts of ended requests, for the state dump.
struct RequestCounters {
  std::uint64_t arrived = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forwarded_in = 0;
};

// The way of each request through an entry host: checks it, gets the permit to
// run if its entry is not idempotent, lets the router choose an instance, and
// answers its caller or the peer that forwarded it. Reads no clock and does no
// I/O but through its ports. Not thread-safe.
class RequestController {
 public:
  RequestController(RequestControllerSettings settings, RequestCallbacks ports);

  void Handle(TimePoint now, RequestEvent& event);
  void Tick(TimePoint now);
  // When Tick is next due; nothing while there is nothing to do.
  std::optional<TimePoint> NextWakeTime() const;

  // Whether a planned stop may end: nothing in progress, all outcomes kept.
  bool IsIdle() const;
  std::size_t in_progress() const { return records_.size(); }
  const RequestCounters& counters() const { return counters_; }
  // JSON object.
  std::string State(TimePoint now) const;

 private:
  struct Service {
    CatalogueEntry entry;
    LatencyHistogram waiting;  // from arrival to the answer
  };

  void On(TimePoint now, CallerRequestReceived& event);
  void On(TimePoint now, DispatchCompleted& event);
  void On(TimePoint now, ProbeCompleted& event);
  void On(TimePoint now, ClaimCommitCompleted& event);
  void On(TimePoint now, InstanceUsable& event);
  void On(TimePoint now, InstanceUnusable& event);
  void On(TimePoint now, ServicesChanged& event);
  void On(TimePoint now, PeerEvent& event);
  void On(TimePoint now, StopRequests& event);
  void On(TimePoint now, StateDumpRequested& event);

  void OnPeer(TimePoint now, PeerMessageReceived& event);
  void OnPeer(TimePoint now, PeerUp& event);
  void OnPeer(TimePoint now, PeerDown& event);
  void OnMessage(TimePoint now, const HostId& from, ForwardRequest& message);
  void OnMessage(TimePoint now, const HostId& from, ForwardResponse& message);
  void OnMessage(TimePoint now, const HostId& from, PeerLoadReport& message);
  void OnMessage(TimePoint now, const HostId& from, ClaimQuery& message);
  void OnMessage(TimePoint now, const HostId& from,
                 ClaimQueryResponse& message);
  void OnMessage(TimePoint now, const HostId& from, Leaving& message);
  template <typename Other>
  void OnMessage(TimePoint /*now*/, const HostId& /*from*/,
                 Other& /*message*/) {}

  void IssueTicket(TimePoint now, const HttpServerRequest& call);
  void Admit(TimePoint now, HttpServerRequest& call);
  // The code that refuses a call, or kOk.
  ResultCode CheckCall(const HttpServerRequest& call,
                       const Service* service) const;
  RequestRecord MakeRecord(TimePoint now, HttpServerRequest& call,
                           const CatalogueEntry& entry) const;
  void GetPermit(TimePoint now, const RequestId& id);
  void Route(TimePoint now, const RequestId& id);
  void ForwardTicketTo(TimePoint now, const RequestId& id, const HostId& host);
  void OnTicketAnswer(TimePoint now, ForwardResponse& message);
  void LoseTicketHost(TimePoint now, const HostId& host);

  // Ends the request: keeps its outcome where that is asked for and answers.
  void End(TimePoint now, const RequestId& id, const Outcome& outcome);
  void EndWith(TimePoint now, const RequestId& id, ResultCode code);
  void KeepOutcome(TimePoint now, const RequestId& id,
                   const RequestRecord& record, const Outcome& outcome);
  void Reply(const RequestRecord& record, const Outcome& outcome);
  void ReplyToPeer(const RequestRecord& record, const Outcome& outcome);
  void Count(TimePoint now, const RequestRecord& record,
             const Outcome& outcome);

  void Apply(TimePoint now, RouterEffects& effects);
  void Do(TimePoint now, Dispatch& effect);
  void Do(TimePoint now, ForwardToPeer& effect);
  void Do(TimePoint now, RespondToCaller& effect);
  void Do(TimePoint now, RespondToPeer& effect);
  void Do(TimePoint now, SendLoadReport& effect);
  void Do(TimePoint now, ProbeInstance& effect);
  void Do(TimePoint now, CloseConnections& effect);
  void Do(TimePoint now, NotifyInstanceDrained& effect);

  void Apply(TimePoint now, ClaimManager::Effects& effects);
  void Apply(TimePoint now, TicketManager::Effects& effects);
  void Do(TimePoint now, CommitClaims& effect);
  void Do(TimePoint now, ClaimGranted& effect);
  void Do(TimePoint now, ClaimRefused& effect);
  void Do(TimePoint now, ClaimOutcomeReplayed& effect);
  void Do(TimePoint now, QueryClaimHolder& effect);
  void Do(TimePoint now, SendClaimStatus& effect);
  void Do(TimePoint now, ForwardToTicketIssuer& effect);

  RequestId NextRequestId();
  Service* FindService(const EntryName& entry);
  const Service* FindService(const EntryName& entry) const;

  RequestControllerSettings settings_;
  RequestCallbacks ports_;
  Router router_;
  ClaimManager claims_;
  TicketManager tickets_;
  std::unordered_map<EntryName, Service> services_;
  std::set<OwnerId> out_of_use_;
  std::unordered_map<RequestId, RequestRecord> records_;
  std::unordered_map<DispatchId, RequestId> dispatches_;
  struct Hop {
    HostId peer;
    RequestId request;
  };
  std::unordered_map<ForwardId, Hop> hops_;  // forwards in flight
  std::unordered_map<std::uint64_t, RequestId> ticket_hops_;
  // Connections to these addresses may be silent: open new ones until then.
  std::unordered_map<InstanceId, TimePoint> fresh_until_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_ticket_hop_;
  bool stopping_ = false;
  RequestCounters counters_;
};

}  // namespace chivewing
