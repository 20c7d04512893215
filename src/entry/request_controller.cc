#include "entry/request_controller.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "entry/caller_codec.h"
#include "entry/peer_message_conversion.h"
#include "entry/request_state.h"
#include "entry/target_codec.h"

namespace chivewing {
namespace {

constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr std::string_view kTicketsPath = "/v1/tickets";
constexpr std::size_t kBytesPerKb = 1024;
// A forward id holds the low bits of the incarnation above a counter, so that
// no response meant for an earlier process of this host matches. The highest
// bit of the counter is set in forwards of tickets and clear in those of the
// router.
constexpr unsigned kForwardCounterBits = 36;
constexpr std::uint64_t kTicketForwardBit = std::uint64_t{1}
                                            << (kForwardCounterBits - 1);

std::uint64_t FirstTicketForwardId(std::uint64_t incarnation) {
  return (incarnation << kForwardCounterBits) | kTicketForwardBit;
}

bool IsTicketForward(std::uint64_t forward_id) {
  return (forward_id & kTicketForwardBit) != 0;
}

// The HTTP client does not reuse idle connections older than this.
constexpr std::chrono::seconds kMaxIdleConnectionAge{20};

RequestClass ToRequestClass(const CatalogueEntry& entry) {
  RequestClass out;
  out.entry = entry.name;
  out.service = ServiceOf(entry);
  out.owner = entry.owner;
  out.priority = entry.policy.priority;
  out.default_deadline = entry.policy.deadline;
  out.timeout = entry.policy.request_timeout;
  out.longest_run = entry.policy.longest_run;
  out.idempotent = entry.policy.idempotent;
  out.retry_budget_percent = entry.policy.retry_budget_percent;
  out.queue_bound = static_cast<std::uint32_t>(entry.limits.queue);
  return out;
}

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  std::int64_t value = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return {};
  return std::chrono::milliseconds(std::max<std::int64_t>(value, 0));
}

}  // namespace

RequestController::RequestController(RequestControllerSettings settings,
                                     RequestCallbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      router_(settings_.router, settings_.incarnation),
      claims_(ClaimManagerSettings{settings_.host, settings_.incarnation}),
      tickets_(TicketManagerSettings{settings_.host, settings_.incarnation}),
      next_ticket_forward_id_(FirstTicketForwardId(settings_.incarnation)) {}

void RequestController::HandleEvent(TimePoint now, RequestEvent& event) {
  std::visit([this, now](auto& each) { OnEvent(now, each); }, event);
}

void RequestController::Tick(TimePoint now) {
  RouterEffects effects;
  router_.Tick(now, effects);
  ApplyEffects(now, effects);
  ClaimManager::Effects claim_effects;
  claims_.Tick(now, claim_effects);
  ApplyEffects(now, claim_effects);
  TicketManager::Effects ticket_effects;
  tickets_.Tick(now, ticket_effects);
  ApplyEffects(now, ticket_effects);
}

std::optional<TimePoint> RequestController::NextWakeTime() const {
  const std::optional<TimePoint> router = router_.NextWakeTime();
  const std::optional<TimePoint> claims = claims_.NextWakeTime();
  if (!router) return claims;
  if (!claims) return router;
  return std::min(*router, *claims);
}

bool RequestController::IsIdle() const {
  return records_.empty() && router_.idle() && claims_.IsFlushed();
}

RequestId RequestController::NextRequestId() {
  return RequestId(settings_.host.value() + "." +
                   std::to_string(settings_.incarnation) + "." +
                   std::to_string(next_request_number_++));
}

RequestController::Service* RequestController::FindService(
    const EntryName& entry) {
  const auto found = services_.find(entry);
  return found == services_.end() ? nullptr : &found->second;
}

const RequestController::Service* RequestController::FindService(
    const EntryName& entry) const {
  const auto found = services_.find(entry);
  return found == services_.end() ? nullptr : &found->second;
}

// --- Callers ---

void RequestController::OnEvent(TimePoint now, CallerRequestReceived& event) {
  if (event.request.path == kTicketsPath) {
    IssueTicket(now, event.request);
    return;
  }
  Admit(now, event.request);
}

void RequestController::IssueTicket(TimePoint now,
                                    const HttpServerRequest& request) {
  if (stopping_) {
    callbacks_.respond_to_caller(
        request.id,
        MakeErrorResponse({ResultCode::kStopping, "the host is stopping"}));
    return;
  }
  HttpServerResponse response;
  response.body = nlohmann::json{{"ticket", tickets_.Issue(now)}}.dump();
  callbacks_.respond_to_caller(request.id, std::move(response));
}

ResultCode RequestController::CheckRequest(const HttpServerRequest& request,
                                           const Service* service) const {
  if (service == nullptr) return ResultCode::kUnknownEntry;
  const CatalogueEntry& entry = service->entry;
  if (stopping_) return ResultCode::kStopping;
  if (out_of_use_.contains(entry.owner)) return ResultCode::kNoInstance;
  const auto max_body_bytes =
      static_cast<std::size_t>(entry.limits.body_kb) * kBytesPerKb;
  if (request.body.size() > max_body_bytes) return ResultCode::kBodyTooLarge;
  const bool key_missing = request.Header("idempotency-key").empty();
  if (!entry.policy.idempotent && key_missing) return ResultCode::kKeyMissing;
  if (records_.size() >= settings_.max_in_progress) {
    return ResultCode::kOverloaded;
  }
  return ResultCode::kOk;
}

RequestRecord RequestController::MakeRecord(TimePoint now,
                                            HttpServerRequest& request,
                                            const CatalogueEntry& entry) const {
  RequestRecord record;
  record.call_id = request.id;
  record.caller_request_id = request.Header("x-request-id");
  record.entry = entry.name;
  record.idempotency_key = request.Header("idempotency-key");
  record.body = std::move(request.body);
  record.arrived = now;
  const std::chrono::milliseconds requested =
      ParseMilliseconds(request.Header("x-deadline-ms"))
          .value_or(entry.policy.deadline);
  record.deadline = now + std::min(requested, settings_.max_request_duration);
  return record;
}

void RequestController::Admit(TimePoint now, HttpServerRequest& request) {
  ++counters_.arrived;
  const EntryName name(request.path.substr(kRequestsPath.size()));
  const Service* service = FindService(name);
  const ResultCode code = CheckRequest(request, service);
  if (code != ResultCode::kOk) {
    ++counters_.not_run;
    Outcome outcome{OutcomeState::kNotRun, 0, {}, code};
    callbacks_.respond_to_caller(
        request.id,
        MakeCallerResponse(outcome, Name(code),
                           std::string(request.Header("x-request-id"))));
    return;
  }
  const RequestId id = NextRequestId();
  records_.emplace(id, MakeRecord(now, request, service->entry));
  if (service->entry.policy.idempotent) {
    Route(now, id);
    return;
  }
  AcquirePermit(now, id);
}

void RequestController::AcquirePermit(TimePoint now, const RequestId& id) {
  RequestRecord& record = records_.at(id);
  if (ParseTicket(record.idempotency_key)) {
    record.permit = ExecutionPermit::kTicket;
    TicketManager::Effects effects;
    tickets_.Redeem(now, record.idempotency_key, id, record.deadline, effects);
    ApplyEffects(now, effects);
    return;
  }
  record.permit = ExecutionPermit::kClaim;
  const OwnerId owner = FindService(record.entry)->entry.owner;
  ClaimManager::Effects effects;
  claims_.Claim(now, {id, owner, record.idempotency_key, record.deadline},
                effects);
  ApplyEffects(now, effects);
}

void RequestController::Route(TimePoint now, const RequestId& id) {
  const RequestRecord& record = records_.at(id);
  RouterRequest request;
  request.id = id;
  request.entry = record.entry;
  // A request with a ticket of this host is submitted as a local one: the
  // router then responds through this controller, which records the outcome
  // before it responds to the peer.
  if (record.permit != ExecutionPermit::kTicket) request.origin = record.origin;
  request.claimed = record.permit != ExecutionPermit::kNotNeeded;
  request.remaining = std::max(record.deadline - now, Duration(0));
  RouterEffects effects;
  const Status taken = router_.Submit(now, request, effects);
  ApplyEffects(now, effects);
  if (!taken) CompleteWithCode(now, id, taken.error().code);
}

// --- Completion ---

void RequestController::CompleteWithCode(TimePoint now, const RequestId& id,
                                         ResultCode code) {
  CompleteRequest(now, id, Outcome{OutcomeStateOf(code), 0, {}, code});
}

void RequestController::CompleteRequest(TimePoint now, const RequestId& id,
                                        const Outcome& outcome) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  const RequestRecord record = std::move(found->second);
  records_.erase(found);
  RecordOutcome(now, id, record, outcome);
  CountOutcome(now, record, outcome);
  if (record.origin) {
    SendPeerResponse(record, outcome);
  } else {
    SendCallerResponse(record, outcome);
  }
}

void RequestController::RecordOutcome(TimePoint now, const RequestId& id,
                                      const RequestRecord& record,
                                      const Outcome& outcome) {
  if (record.permit == ExecutionPermit::kClaim) {
    ClaimManager::Effects effects;
    claims_.RecordOutcome(now, id, outcome, effects);
    ApplyEffects(now, effects);
  }
  if (record.permit == ExecutionPermit::kTicket) {
    TicketManager::Effects effects;
    tickets_.RecordOutcome(now, id, outcome, effects);
    ApplyEffects(now, effects);
  }
}

void RequestController::SendCallerResponse(const RequestRecord& record,
                                           const Outcome& outcome) {
  if (!record.call_id) return;
  callbacks_.respond_to_caller(*record.call_id,
                               MakeCallerResponse(outcome, Name(outcome.code),
                                                  record.caller_request_id));
}

void RequestController::SendPeerResponse(const RequestRecord& record,
                                         const Outcome& outcome) {
  ForwardResponse response;
  response.forward_id = static_cast<std::uint64_t>(record.origin->forward_id);
  response.code = outcome.code;
  response.status = static_cast<std::uint64_t>(outcome.status);
  response.body = outcome.body;
  callbacks_.send_peer(record.origin->peer, response);
}

void RequestController::CountOutcome(TimePoint now, const RequestRecord& record,
                                     const Outcome& outcome) {
  if (record.origin) return;
  if (Service* service = FindService(record.entry)) {
    service->latency.Add(now - record.arrived);
  }
  switch (outcome.state) {
    case OutcomeState::kDone:
      ++counters_.done;
      return;
    case OutcomeState::kNotRun:
      ++counters_.not_run;
      return;
    case OutcomeState::kUnknown:
      ++counters_.unknown;
      return;
  }
}

// --- Router ---

void RequestController::ApplyEffects(TimePoint now, RouterEffects& effects) {
  for (RouterEffect& effect : effects) {
    std::visit([this, now](auto& each) { ApplyEffect(now, each); }, effect);
  }
}

void RequestController::ApplyEffect(TimePoint now, Dispatch& effect) {
  const RequestRecord& record = records_.at(effect.request);
  dispatches_.emplace(effect.dispatch, effect.request);
  const auto force_new = force_new_connections_until_.find(effect.instance);
  if (force_new != force_new_connections_until_.end()) {
    effect.fresh_connection = true;
    if (now >= force_new->second) force_new_connections_until_.erase(force_new);
  }
  callbacks_.send_to_target(
      effect.dispatch,
      MakeRunRequest(effect, record.body, record.idempotency_key));
}

void RequestController::ApplyEffect(TimePoint now, ForwardToPeer& effect) {
  const RequestRecord& record = records_.at(effect.request);
  ForwardRequest message;
  message.forward_id = static_cast<std::uint64_t>(effect.forward_id);
  message.request = effect.request;
  message.entry = record.entry;
  message.idempotency_key = record.idempotency_key;
  message.body = record.body;
  message.remaining =
      std::chrono::floor<std::chrono::milliseconds>(effect.remaining);
  message.hop_count = 1;
  message.claimed = effect.claimed;
  if (callbacks_.send_peer(effect.peer, message)) {
    forwards_.emplace(effect.forward_id,
                      InFlightForward{effect.peer, effect.request});
    return;
  }
  RouterEffects effects;
  router_.OnForwardCompleted(now, effect.peer, effect.forward_id,
                             ResultCode::kOverloaded, {}, effects);
  ApplyEffects(now, effects);
}

void RequestController::ApplyEffect(TimePoint now, RespondToCaller& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  Outcome outcome{OutcomeStateOf(effect.code), 0, {}, effect.code};
  if (outcome.state == OutcomeState::kDone) {
    outcome.status = found->second.status;
    outcome.body = std::move(found->second.response_body);
  }
  CompleteRequest(now, effect.request, outcome);
}

void RequestController::ApplyEffect(TimePoint /*now*/, RespondToPeer& effect) {
  const auto found = records_.find(effect.request);
  ForwardResponse response;
  response.forward_id = static_cast<std::uint64_t>(effect.forward_id);
  response.code = effect.code;
  response.load = ToMessage(effect.load);
  if (found != records_.end()) {
    if (effect.code == ResultCode::kOk) {
      response.status = static_cast<std::uint64_t>(found->second.status);
      response.body = std::move(found->second.response_body);
    }
    records_.erase(found);
  }
  callbacks_.send_peer(effect.peer, response);
}

void RequestController::ApplyEffect(TimePoint /*now*/, SendLoadReport& effect) {
  callbacks_.send_peer(effect.peer, ToMessage(effect.report));
}

void RequestController::ApplyEffect(TimePoint /*now*/, ProbeInstance& effect) {
  callbacks_.probe_target(effect.probe, MakeStatusRequest(effect));
}

void RequestController::ApplyEffect(TimePoint now, CloseConnections& effect) {
  force_new_connections_until_[effect.instance] = now + kMaxIdleConnectionAge;
}

void RequestController::ApplyEffect(TimePoint /*now*/,
                                    NotifyInstanceDrained& effect) {
  callbacks_.notify_instance_drained(effect.instance);
}

void RequestController::OnEvent(TimePoint now, DispatchCompleted& event) {
  const auto found = dispatches_.find(event.dispatch);
  if (found == dispatches_.end()) return;
  const RequestId request = std::move(found->second);
  dispatches_.erase(found);
  const TargetOutcome outcome = ClassifyResponse(request, event.response);
  const auto record = records_.find(request);
  if (record != records_.end() && IsDone(outcome)) {
    record->second.status = event.response.status;
    record->second.response_body = std::move(event.response.body);
  }
  RouterEffects effects;
  router_.OnDispatchCompleted(now, event.dispatch, outcome, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, ProbeCompleted& event) {
  RouterEffects effects;
  router_.OnProbeCompleted(now, event.probe, ParseTargetStatus(event.response),
                           effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, InstanceUsable& event) {
  RouterEffects effects;
  router_.AddInstance(now, event.info, event.taken_over, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, InstanceUnusable& event) {
  force_new_connections_until_.erase(event.instance);
  RouterEffects effects;
  router_.RemoveInstance(now, event.instance, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, ServicesChanged& event) {
  std::unordered_map<EntryName, Service> services;
  std::vector<RequestClass> classes;
  for (CatalogueEntry& entry : event.entries) {
    classes.push_back(ToRequestClass(entry));
    Service service{entry, {}};
    if (Service* previous = FindService(entry.name)) {
      service.latency = std::move(previous->latency);
    }
    services.emplace(entry.name, std::move(service));
  }
  services_ = std::move(services);
  out_of_use_ = std::move(event.out_of_use);
  RouterEffects effects;
  router_.SetClasses(now, classes, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, StopRequests& /*event*/) {
  stopping_ = true;
  RouterEffects effects;
  router_.BeginStop(now, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnEvent(TimePoint now, StateDumpRequested& event) {
  event.done(DumpState(now));
}

// --- Claims and tickets ---

void RequestController::ApplyEffects(TimePoint now,
                                     ClaimManager::Effects& effects) {
  for (ClaimEffect& effect : effects) {
    std::visit([this, now](auto& each) { ApplyEffect(now, each); }, effect);
  }
}

void RequestController::ApplyEffects(TimePoint now,
                                     TicketManager::Effects& effects) {
  for (TicketEffect& effect : effects) {
    std::visit([this, now](auto& each) { ApplyEffect(now, each); }, effect);
  }
}

void RequestController::OnEvent(TimePoint now, ClaimCommitCompleted& event) {
  ClaimManager::Effects effects;
  claims_.OnCommit(now, event.write_id, event.response, effects);
  ApplyEffects(now, effects);
}

void RequestController::ApplyEffect(TimePoint /*now*/, CommitClaims& effect) {
  callbacks_.commit_claims(effect.transaction);
}

void RequestController::ApplyEffect(TimePoint now, ClaimGranted& effect) {
  if (!records_.contains(effect.request)) return;
  Route(now, effect.request);
}

void RequestController::ApplyEffect(TimePoint now, ClaimRefused& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  // The request never held the claim, so no outcome is recorded.
  found->second.permit = ExecutionPermit::kNotNeeded;
  CompleteWithCode(now, effect.request, effect.code);
}

void RequestController::ApplyEffect(TimePoint now,
                                    ClaimOutcomeReplayed& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  found->second.permit = ExecutionPermit::kNotNeeded;
  CompleteRequest(now, effect.request, effect.outcome);
}

void RequestController::ApplyEffect(TimePoint now, QueryClaimHolder& effect) {
  const ClaimQuery query{effect.ask, effect.owner, effect.key,
                         effect.remaining};
  if (callbacks_.send_peer(effect.host, query)) return;
  ClaimManager::Effects effects;
  claims_.OnClaimStatus(now, ClaimStatusResponse{effect.ask, false, {}},
                        effects);
  ApplyEffects(now, effects);
}

void RequestController::ApplyEffect(TimePoint /*now*/,
                                    SendClaimStatus& effect) {
  callbacks_.send_peer(effect.host, ToMessage(effect.reply));
}

void RequestController::ApplyEffect(TimePoint now,
                                    ForwardToTicketIssuer& effect) {
  ForwardToTicketHost(now, effect.request, effect.host);
}

void RequestController::ForwardToTicketHost(TimePoint now, const RequestId& id,
                                            const HostId& host) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  RequestRecord& record = found->second;
  // The host that issued the ticket records the outcome.
  record.permit = ExecutionPermit::kTicketAtPeer;
  record.ticket_host = host;
  ForwardRequest message;
  message.forward_id = next_ticket_forward_id_++;
  message.request = id;
  message.entry = record.entry;
  message.idempotency_key = record.idempotency_key;
  message.body = record.body;
  message.remaining =
      std::chrono::floor<std::chrono::milliseconds>(record.deadline - now);
  message.hop_count = 1;
  message.ticket = true;
  if (!callbacks_.send_peer(host, message)) {
    // An earlier attempt with the same ticket may have run there.
    CompleteWithCode(now, id, ResultCode::kTicketHostLost);
    return;
  }
  ticket_forwards_.emplace(message.forward_id, id);
}

void RequestController::OnTicketResponse(TimePoint now,
                                         ForwardResponse& message) {
  const auto found = ticket_forwards_.find(message.forward_id);
  if (found == ticket_forwards_.end()) return;
  const RequestId id = found->second;
  ticket_forwards_.erase(found);
  const Outcome outcome{OutcomeStateOf(message.code),
                        static_cast<int>(message.status),
                        std::move(message.body), message.code};
  CompleteRequest(now, id, outcome);
}

void RequestController::OnTicketHostLost(TimePoint now, const HostId& host) {
  std::vector<RequestId> lost;
  for (auto forward = ticket_forwards_.begin();
       forward != ticket_forwards_.end();) {
    const auto record = records_.find(forward->second);
    const bool gone = record == records_.end();
    if (!gone && record->second.ticket_host != host) {
      ++forward;
      continue;
    }
    if (!gone) lost.push_back(forward->second);
    forward = ticket_forwards_.erase(forward);
  }
  for (const RequestId& id : lost) {
    CompleteWithCode(now, id, ResultCode::kTicketHostLost);
  }
}

// --- Peers ---

void RequestController::OnEvent(TimePoint now, PeerEvent& event) {
  std::visit([this, now](auto& each) { OnPeerEvent(now, each); }, event);
}

void RequestController::OnPeerEvent(TimePoint now, PeerMessageReceived& event) {
  std::visit([this, now,
              &event](auto& message) { OnMessage(now, event.from, message); },
             event.message);
}

void RequestController::OnPeerEvent(TimePoint now, PeerUp& event) {
  claims_.OnPeerUp(event.host, event.incarnation);
  RouterEffects effects;
  router_.AddPeer(now, event.host, effects);
  ApplyEffects(now, effects);
}

void RequestController::OnPeerEvent(TimePoint now, PeerDown& event) {
  std::erase_if(forwards_, [&event](const auto& each) {
    return each.second.peer == event.host;
  });
  RouterEffects effects;
  router_.OnPeerLost(now, event.host, effects);
  ApplyEffects(now, effects);
  ClaimManager::Effects claim_effects;
  claims_.OnPeerDown(now, event.host, claim_effects);
  ApplyEffects(now, claim_effects);
  OnTicketHostLost(now, event.host);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ForwardRequest& message) {
  ++counters_.forwarded_in;
  const ForwardOrigin origin{from, ForwardId{message.forward_id}};
  const Service* service = FindService(message.entry);
  // The forward id makes the id unique: a request that its host forwards twice
  // is two requests here.
  const RequestId id(message.request.value() + "@" + from.value() + "#" +
                     std::to_string(message.forward_id));
  const bool is_duplicate = records_.contains(id);
  if (service == nullptr || is_duplicate || stopping_) {
    ForwardResponse refusal;
    refusal.forward_id = message.forward_id;
    refusal.code =
        service == nullptr ? ResultCode::kUnknownEntry : ResultCode::kStopping;
    callbacks_.send_peer(from, refusal);
    return;
  }
  RequestRecord record;
  record.origin = origin;
  record.entry = message.entry;
  record.idempotency_key = std::move(message.idempotency_key);
  record.body = std::move(message.body);
  record.arrived = now;
  record.deadline = now + message.remaining;
  record.permit = message.claimed ? ExecutionPermit::kTicketAtPeer
                                  : ExecutionPermit::kNotNeeded;
  records_.emplace(id, std::move(record));
  if (message.ticket) {
    AcquirePermit(now, id);
    return;
  }
  Route(now, id);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ForwardResponse& message) {
  if (IsTicketForward(message.forward_id)) {
    OnTicketResponse(now, message);
    return;
  }
  const ForwardId forward_id{message.forward_id};
  const auto found = forwards_.find(forward_id);
  if (found == forwards_.end()) return;
  const auto record = records_.find(found->second.request);
  forwards_.erase(found);
  if (record != records_.end() && message.code == ResultCode::kOk) {
    record->second.status = static_cast<int>(message.status);
    record->second.response_body = std::move(message.body);
  }
  RouterEffects effects;
  router_.OnForwardCompleted(now, from, forward_id, message.code,
                             FromMessage(message.load), effects);
  ApplyEffects(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  PeerLoadReport& message) {
  RouterEffects effects;
  router_.OnLoadReport(now, from, FromMessage(message), effects);
  ApplyEffects(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ClaimQuery& message) {
  ClaimManager::Effects effects;
  claims_.OnClaimQuery(now, from,
                       QueryClaimHolder{from, message.query_id, message.owner,
                                        message.key, message.remaining},
                       effects);
  ApplyEffects(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& /*from*/,
                                  ClaimQueryResponse& message) {
  ClaimManager::Effects effects;
  claims_.OnClaimStatus(now, FromMessage(message), effects);
  ApplyEffects(now, effects);
}

void RequestController::OnMessage(TimePoint /*now*/, const HostId& from,
                                  Leaving& /*message*/) {
  router_.OnPeerLeaving(from);
}

std::string RequestController::DumpState(TimePoint now) const {
  nlohmann::json out = RouterStateToJson(router_.State(now));
  out["in_progress"] = records_.size();
  out["arrived"] = counters_.arrived;
  out["done"] = counters_.done;
  out["not_run"] = counters_.not_run;
  out["unknown"] = counters_.unknown;
  out["forwarded_in"] = counters_.forwarded_in;
  out["claims"] = ClaimCountersToJson(claims_.counters());
  out["tickets_redeemed"] = tickets_.redeemed();
  for (const auto& [name, service] : services_) {
    out["waiting"][name.value()] = HistogramToJson(service.latency);
  }
  return out.dump();
}

}  // namespace chivewing
