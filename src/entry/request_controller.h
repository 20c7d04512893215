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
  // Maximum of requests in progress; further ones of callers are refused with
  // kOverloaded and are not run.
  std::size_t max_in_progress = 8192;
  // Deadlines further away than this are shortened to it.
  std::chrono::milliseconds max_request_duration{10000};
};

// Counts since the process started, for the state dump. Requests that peers
// forwarded are counted only in `forwarded_in`.
struct RequestCounters {
  std::uint64_t arrived = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forwarded_in = 0;
};

// Handles each request from arrival to response: validates it, acquires an
// execution permit (claim or ticket) if its entry is not idempotent, lets the
// router choose an instance, and responds to the caller or to the peer that
// forwarded it. Takes RequestEvents with the current time and acts only through
// its RequestCallbacks; reads no clock and does no I/O itself. Not thread-safe:
// it runs on the event loop thread for requests.
class RequestController {
 public:
  RequestController(RequestControllerSettings settings,
                    RequestCallbacks callbacks);

  void HandleEvent(TimePoint now, RequestEvent& event);
  void Tick(TimePoint now);
  // When Tick is next due; nullopt when no timer is pending.
  std::optional<TimePoint> NextWakeTime() const;

  // True when a planned stop may complete: no request is in progress and every
  // outcome has been recorded.
  bool IsIdle() const;
  std::size_t in_progress() const { return records_.size(); }
  const RequestCounters& counters() const { return counters_; }
  // The state as a JSON object, for the operator API.
  std::string DumpState(TimePoint now) const;

 private:
  struct Service {
    CatalogueEntry entry;
    LatencyHistogram latency;  // from arrival to response
  };

  void OnEvent(TimePoint now, CallerRequestReceived& event);
  void OnEvent(TimePoint now, DispatchCompleted& event);
  void OnEvent(TimePoint now, ProbeCompleted& event);
  void OnEvent(TimePoint now, ClaimCommitCompleted& event);
  void OnEvent(TimePoint now, InstanceUsable& event);
  void OnEvent(TimePoint now, InstanceUnusable& event);
  void OnEvent(TimePoint now, ServicesChanged& event);
  void OnEvent(TimePoint now, PeerEvent& event);
  void OnEvent(TimePoint now, StopRequests& event);
  void OnEvent(TimePoint now, StateDumpRequested& event);

  void OnPeerEvent(TimePoint now, PeerMessageReceived& event);
  void OnPeerEvent(TimePoint now, PeerUp& event);
  void OnPeerEvent(TimePoint now, PeerDown& event);
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

  void IssueTicket(TimePoint now, const HttpServerRequest& request);
  void Admit(TimePoint now, HttpServerRequest& request);
  // The code with which the request is refused; kOk when it is accepted.
  ResultCode CheckRequest(const HttpServerRequest& request,
                          const Service* service) const;
  RequestRecord MakeRecord(TimePoint now, HttpServerRequest& request,
                           const CatalogueEntry& entry) const;
  void AcquirePermit(TimePoint now, const RequestId& id);
  void Route(TimePoint now, const RequestId& id);
  void ForwardToTicketHost(TimePoint now, const RequestId& id,
                           const HostId& host);
  void OnTicketResponse(TimePoint now, ForwardResponse& message);
  void OnTicketHostLost(TimePoint now, const HostId& host);

  // Removes the request, records its outcome if it runs under a claim or a
  // ticket of this host, and sends the response.
  void CompleteRequest(TimePoint now, const RequestId& id,
                       const Outcome& outcome);
  void CompleteWithCode(TimePoint now, const RequestId& id, ResultCode code);
  void RecordOutcome(TimePoint now, const RequestId& id,
                     const RequestRecord& record, const Outcome& outcome);
  void SendCallerResponse(const RequestRecord& record, const Outcome& outcome);
  void SendPeerResponse(const RequestRecord& record, const Outcome& outcome);
  void CountOutcome(TimePoint now, const RequestRecord& record,
                    const Outcome& outcome);

  void ApplyEffects(TimePoint now, RouterEffects& effects);
  void ApplyEffect(TimePoint now, Dispatch& effect);
  void ApplyEffect(TimePoint now, ForwardToPeer& effect);
  void ApplyEffect(TimePoint now, RespondToCaller& effect);
  void ApplyEffect(TimePoint now, RespondToPeer& effect);
  void ApplyEffect(TimePoint now, SendLoadReport& effect);
  void ApplyEffect(TimePoint now, ProbeInstance& effect);
  void ApplyEffect(TimePoint now, CloseConnections& effect);
  void ApplyEffect(TimePoint now, NotifyInstanceDrained& effect);

  void ApplyEffects(TimePoint now, ClaimManager::Effects& effects);
  void ApplyEffects(TimePoint now, TicketManager::Effects& effects);
  void ApplyEffect(TimePoint now, CommitClaims& effect);
  void ApplyEffect(TimePoint now, ClaimGranted& effect);
  void ApplyEffect(TimePoint now, ClaimRefused& effect);
  void ApplyEffect(TimePoint now, ClaimOutcomeReplayed& effect);
  void ApplyEffect(TimePoint now, QueryClaimHolder& effect);
  void ApplyEffect(TimePoint now, SendClaimStatus& effect);
  void ApplyEffect(TimePoint now, ForwardToTicketIssuer& effect);

  RequestId NextRequestId();
  Service* FindService(const EntryName& entry);
  const Service* FindService(const EntryName& entry) const;

  RequestControllerSettings settings_;
  RequestCallbacks callbacks_;
  Router router_;
  ClaimManager claims_;
  TicketManager tickets_;
  std::unordered_map<EntryName, Service> services_;
  std::set<OwnerId> out_of_use_;
  std::unordered_map<RequestId, RequestRecord> records_;
  std::unordered_map<DispatchId, RequestId> dispatches_;
  struct InFlightForward {
    HostId peer;
    RequestId request;
  };
  std::unordered_map<ForwardId, InFlightForward> forwards_;
  std::unordered_map<std::uint64_t, RequestId> ticket_forwards_;
  // Idle connections to these instances may be dead: requests open new
  // connections until this time.
  std::unordered_map<InstanceId, TimePoint> force_new_connections_until_;
  std::uint64_t next_request_number_ = 1;
  std::uint64_t next_ticket_forward_id_;
  bool stopping_ = false;
  RequestCounters counters_;
};

}  // namespace chivewing
