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
// Hop ids hold the low bits of the incarnation above a counter, so that no
// answer meant for an earlier process matches. Hops of tickets are told from
// those of the router by the highest bit of the counter.
constexpr unsigned kCounterBits = 36;
constexpr std::uint64_t kTicketBit = std::uint64_t{1} << (kCounterBits - 1);

std::uint64_t FirstTicketHop(std::uint64_t incarnation) {
  return (incarnation << kCounterBits) | kTicketBit;
}

bool IsTicketHop(std::uint64_t hop) { return (hop & kTicketBit) != 0; }

// Idle connections older than this are not used again by the HTTP client.
constexpr std::chrono::seconds kIdleConnectionLife{20};

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
                                     RequestCallbacks ports)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      router_(settings_.router, settings_.incarnation),
      claims_(ClaimManagerSettings{settings_.host, settings_.incarnation}),
      tickets_(TicketManagerSettings{settings_.host, settings_.incarnation}),
      next_ticket_hop_(FirstTicketHop(settings_.incarnation)) {}

void RequestController::Handle(TimePoint now, RequestEvent& event) {
  std::visit([this, now](auto& each) { On(now, each); }, event);
}

void RequestController::Tick(TimePoint now) {
  RouterEffects effects;
  router_.Tick(now, effects);
  Apply(now, effects);
  ClaimManager::Effects claim_effects;
  claims_.Tick(now, claim_effects);
  Apply(now, claim_effects);
  TicketManager::Effects ticket_effects;
  tickets_.Tick(now, ticket_effects);
  Apply(now, ticket_effects);
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
                   std::to_string(next_request_++));
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

void RequestController::On(TimePoint now, CallerRequestReceived& event) {
  if (event.call.path == kTicketsPath) {
    IssueTicket(now, event.call);
    return;
  }
  Admit(now, event.call);
}

void RequestController::IssueTicket(TimePoint now,
                                    const HttpServerRequest& call) {
  if (stopping_) {
    ports_.respond_to_caller(
        call.id,
        MakeErrorResponse({ResultCode::kStopping, "the host is stopping"}));
    return;
  }
  HttpServerResponse reply;
  reply.body = nlohmann::json{{"ticket", tickets_.Issue(now)}}.dump();
  ports_.respond_to_caller(call.id, std::move(reply));
}

ResultCode RequestController::CheckCall(const HttpServerRequest& call,
                                        const Service* service) const {
  if (service == nullptr) return ResultCode::kUnknownEntry;
  const CatalogueEntry& entry = service->entry;
  if (stopping_) return ResultCode::kStopping;
  if (out_of_use_.contains(entry.owner)) return ResultCode::kNoInstance;
  const auto body_max =
      static_cast<std::size_t>(entry.limits.body_kb) * kBytesPerKb;
  if (call.body.size() > body_max) return ResultCode::kBodyTooLarge;
  const bool key_missing = call.Header("idempotency-key").empty();
  if (!entry.policy.idempotent && key_missing) return ResultCode::kKeyMissing;
  if (records_.size() >= settings_.max_in_progress) {
    return ResultCode::kOverloaded;
  }
  return ResultCode::kOk;
}

RequestRecord RequestController::MakeRecord(TimePoint now,
                                            HttpServerRequest& call,
                                            const CatalogueEntry& entry) const {
  RequestRecord record;
  record.call_id = call.id;
  record.caller_request_id = call.Header("x-request-id");
  record.entry = entry.name;
  record.idempotency_key = call.Header("idempotency-key");
  record.body = std::move(call.body);
  record.arrived = now;
  const std::chrono::milliseconds asked =
      ParseMilliseconds(call.Header("x-deadline-ms"))
          .value_or(entry.policy.deadline);
  record.deadline = now + std::min(asked, settings_.max_request_duration);
  return record;
}

void RequestController::Admit(TimePoint now, HttpServerRequest& call) {
  ++counters_.arrived;
  const EntryName name(call.path.substr(kRequestsPath.size()));
  const Service* service = FindService(name);
  const ResultCode code = CheckCall(call, service);
  if (code != ResultCode::kOk) {
    ++counters_.not_run;
    Outcome outcome{OutcomeState::kNotRun, 0, {}, code};
    ports_.respond_to_caller(
        call.id, MakeCallerResponse(outcome, Name(code),
                                    std::string(call.Header("x-request-id"))));
    return;
  }
  const RequestId id = NextRequestId();
  records_.emplace(id, MakeRecord(now, call, service->entry));
  if (service->entry.policy.idempotent) {
    Route(now, id);
    return;
  }
  GetPermit(now, id);
}

void RequestController::GetPermit(TimePoint now, const RequestId& id) {
  RequestRecord& record = records_.at(id);
  if (ParseTicket(record.idempotency_key)) {
    record.permit = ExecutionPermit::kTicket;
    TicketManager::Effects effects;
    tickets_.Redeem(now, record.idempotency_key, id, record.deadline, effects);
    Apply(now, effects);
    return;
  }
  record.permit = ExecutionPermit::kClaim;
  const OwnerId owner = FindService(record.entry)->entry.owner;
  ClaimManager::Effects effects;
  claims_.Claim(now, {id, owner, record.idempotency_key, record.deadline},
                effects);
  Apply(now, effects);
}

void RequestController::Route(TimePoint now, const RequestId& id) {
  const RequestRecord& record = records_.at(id);
  RouterRequest request;
  request.id = id;
  request.entry = record.entry;
  // The router answers a ticket's request as a local one, so that its outcome
  // is kept here before the peer is answered.
  if (record.permit != ExecutionPermit::kTicket) request.origin = record.origin;
  request.claimed = record.permit != ExecutionPermit::kNotNeeded;
  request.remaining = std::max(record.deadline - now, Duration(0));
  RouterEffects effects;
  const Status taken = router_.Submit(now, request, effects);
  Apply(now, effects);
  if (!taken) EndWith(now, id, taken.error().code);
}

// --- Ends ---

void RequestController::EndWith(TimePoint now, const RequestId& id,
                                ResultCode code) {
  End(now, id, Outcome{OutcomeStateOf(code), 0, {}, code});
}

void RequestController::End(TimePoint now, const RequestId& id,
                            const Outcome& outcome) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  const RequestRecord record = std::move(found->second);
  records_.erase(found);
  KeepOutcome(now, id, record, outcome);
  Count(now, record, outcome);
  if (record.origin) {
    ReplyToPeer(record, outcome);
  } else {
    Reply(record, outcome);
  }
}

void RequestController::KeepOutcome(TimePoint now, const RequestId& id,
                                    const RequestRecord& record,
                                    const Outcome& outcome) {
  if (record.permit == ExecutionPermit::kClaim) {
    ClaimManager::Effects effects;
    claims_.RecordOutcome(now, id, outcome, effects);
    Apply(now, effects);
  }
  if (record.permit == ExecutionPermit::kTicket) {
    TicketManager::Effects effects;
    tickets_.RecordOutcome(now, id, outcome, effects);
    Apply(now, effects);
  }
}

void RequestController::Reply(const RequestRecord& record,
                              const Outcome& outcome) {
  if (!record.call_id) return;
  ports_.respond_to_caller(*record.call_id,
                           MakeCallerResponse(outcome, Name(outcome.code),
                                              record.caller_request_id));
}

void RequestController::ReplyToPeer(const RequestRecord& record,
                                    const Outcome& outcome) {
  ForwardResponse answer;
  answer.forward_id = static_cast<std::uint64_t>(record.origin->forward_id);
  answer.code = outcome.code;
  answer.status = static_cast<std::uint64_t>(outcome.status);
  answer.body = outcome.body;
  ports_.send_peer(record.origin->peer, answer);
}

void RequestController::Count(TimePoint now, const RequestRecord& record,
                              const Outcome& outcome) {
  if (record.origin) return;
  if (Service* service = FindService(record.entry)) {
    service->waiting.Add(now - record.arrived);
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

// --- The router ---

void RequestController::Apply(TimePoint now, RouterEffects& effects) {
  for (RouterEffect& effect : effects) {
    std::visit([this, now](auto& each) { Do(now, each); }, effect);
  }
}

void RequestController::Do(TimePoint now, Dispatch& effect) {
  const RequestRecord& record = records_.at(effect.request);
  dispatches_.emplace(effect.dispatch, effect.request);
  const auto fresh = fresh_until_.find(effect.instance);
  if (fresh != fresh_until_.end()) {
    effect.fresh_connection = true;
    if (now >= fresh->second) fresh_until_.erase(fresh);
  }
  ports_.call_target(effect.dispatch, MakeRunRequest(effect, record.body,
                                                     record.idempotency_key));
}

void RequestController::Do(TimePoint now, ForwardToPeer& effect) {
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
  if (ports_.send_peer(effect.peer, message)) {
    hops_.emplace(effect.forward_id, Hop{effect.peer, effect.request});
    return;
  }
  RouterEffects effects;
  router_.OnForwardCompleted(now, effect.peer, effect.forward_id,
                             ResultCode::kOverloaded, {}, effects);
  Apply(now, effects);
}

void RequestController::Do(TimePoint now, RespondToCaller& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  Outcome outcome{OutcomeStateOf(effect.code), 0, {}, effect.code};
  if (outcome.state == OutcomeState::kDone) {
    outcome.status = found->second.status;
    outcome.body = std::move(found->second.response_body);
  }
  End(now, effect.request, outcome);
}

void RequestController::Do(TimePoint /*now*/, RespondToPeer& effect) {
  const auto found = records_.find(effect.request);
  ForwardResponse answer;
  answer.forward_id = static_cast<std::uint64_t>(effect.forward_id);
  answer.code = effect.code;
  answer.load = ToMessage(effect.load);
  if (found != records_.end()) {
    if (effect.code == ResultCode::kOk) {
      answer.status = static_cast<std::uint64_t>(found->second.status);
      answer.body = std::move(found->second.response_body);
    }
    records_.erase(found);
  }
  ports_.send_peer(effect.peer, answer);
}

void RequestController::Do(TimePoint /*now*/, SendLoadReport& effect) {
  ports_.send_peer(effect.peer, ToMessage(effect.report));
}

void RequestController::Do(TimePoint /*now*/, ProbeInstance& effect) {
  ports_.probe_target(effect.probe, MakeStatusRequest(effect));
}

void RequestController::Do(TimePoint now, CloseConnections& effect) {
  fresh_until_[effect.instance] = now + kIdleConnectionLife;
}

void RequestController::Do(TimePoint /*now*/, NotifyInstanceDrained& effect) {
  ports_.notify_instance_drained(effect.instance);
}

void RequestController::On(TimePoint now, DispatchCompleted& event) {
  const auto found = dispatches_.find(event.dispatch);
  if (found == dispatches_.end()) return;
  const RequestId request = std::move(found->second);
  dispatches_.erase(found);
  const TargetOutcome outcome = ClassifyResponse(request, event.answer);
  const auto record = records_.find(request);
  if (record != records_.end() && IsDone(outcome)) {
    record->second.status = event.answer.status;
    record->second.response_body = std::move(event.answer.body);
  }
  RouterEffects effects;
  router_.OnDispatchCompleted(now, event.dispatch, outcome, effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, ProbeCompleted& event) {
  RouterEffects effects;
  router_.OnProbeCompleted(now, event.probe, ParseTargetStatus(event.answer),
                           effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, InstanceUsable& event) {
  RouterEffects effects;
  router_.AddInstance(now, event.view, event.taken_over, effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, InstanceUnusable& event) {
  fresh_until_.erase(event.instance);
  RouterEffects effects;
  router_.RemoveInstance(now, event.instance, effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, ServicesChanged& event) {
  std::unordered_map<EntryName, Service> services;
  std::vector<RequestClass> classes;
  for (CatalogueEntry& entry : event.entries) {
    classes.push_back(ToRequestClass(entry));
    Service service{entry, {}};
    if (Service* before = FindService(entry.name)) {
      service.waiting = std::move(before->waiting);
    }
    services.emplace(entry.name, std::move(service));
  }
  services_ = std::move(services);
  out_of_use_ = std::move(event.out_of_use);
  RouterEffects effects;
  router_.SetClasses(now, classes, effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, StopRequests& /*event*/) {
  stopping_ = true;
  RouterEffects effects;
  router_.BeginStop(now, effects);
  Apply(now, effects);
}

void RequestController::On(TimePoint now, StateDumpRequested& event) {
  event.done(State(now));
}

// --- Claims and tickets ---

void RequestController::Apply(TimePoint now, ClaimManager::Effects& effects) {
  for (ClaimEffect& effect : effects) {
    std::visit([this, now](auto& each) { Do(now, each); }, effect);
  }
}

void RequestController::Apply(TimePoint now, TicketManager::Effects& effects) {
  for (TicketEffect& effect : effects) {
    std::visit([this, now](auto& each) { Do(now, each); }, effect);
  }
}

void RequestController::On(TimePoint now, ClaimCommitCompleted& event) {
  ClaimManager::Effects effects;
  claims_.OnCommit(now, event.write_id, event.answer, effects);
  Apply(now, effects);
}

void RequestController::Do(TimePoint /*now*/, CommitClaims& effect) {
  ports_.commit_claims(effect.transaction);
}

void RequestController::Do(TimePoint now, ClaimGranted& effect) {
  if (!records_.contains(effect.request)) return;
  Route(now, effect.request);
}

void RequestController::Do(TimePoint now, ClaimRefused& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  // The claim was never this request's, so it has no outcome to keep.
  found->second.permit = ExecutionPermit::kNotNeeded;
  EndWith(now, effect.request, effect.code);
}

void RequestController::Do(TimePoint now, ClaimOutcomeReplayed& effect) {
  const auto found = records_.find(effect.request);
  if (found == records_.end()) return;
  found->second.permit = ExecutionPermit::kNotNeeded;
  End(now, effect.request, effect.outcome);
}

void RequestController::Do(TimePoint now, QueryClaimHolder& effect) {
  const ClaimQuery ask{effect.ask, effect.owner, effect.key, effect.remaining};
  if (ports_.send_peer(effect.host, ask)) return;
  ClaimManager::Effects effects;
  claims_.OnClaimStatus(now, ClaimStatusResponse{effect.ask, false, {}},
                        effects);
  Apply(now, effects);
}

void RequestController::Do(TimePoint /*now*/, SendClaimStatus& effect) {
  ports_.send_peer(effect.host, ToMessage(effect.reply));
}

void RequestController::Do(TimePoint now, ForwardToTicketIssuer& effect) {
  ForwardTicketTo(now, effect.request, effect.host);
}

void RequestController::ForwardTicketTo(TimePoint now, const RequestId& id,
                                        const HostId& host) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  RequestRecord& record = found->second;
  // The issuing host keeps the outcome.
  record.permit = ExecutionPermit::kTicketAtPeer;
  record.ticket_host = host;
  ForwardRequest message;
  message.forward_id = next_ticket_hop_++;
  message.request = id;
  message.entry = record.entry;
  message.idempotency_key = record.idempotency_key;
  message.body = record.body;
  message.remaining =
      std::chrono::floor<std::chrono::milliseconds>(record.deadline - now);
  message.hop_count = 1;
  message.ticket = true;
  if (!ports_.send_peer(host, message)) {
    // An earlier try with the same ticket may have run there.
    EndWith(now, id, ResultCode::kTicketHostLost);
    return;
  }
  ticket_hops_.emplace(message.forward_id, id);
}

void RequestController::OnTicketAnswer(TimePoint now,
                                       ForwardResponse& message) {
  const auto found = ticket_hops_.find(message.forward_id);
  if (found == ticket_hops_.end()) return;
  const RequestId id = found->second;
  ticket_hops_.erase(found);
  const Outcome outcome{OutcomeStateOf(message.code),
                        static_cast<int>(message.status),
                        std::move(message.body), message.code};
  End(now, id, outcome);
}

void RequestController::LoseTicketHost(TimePoint now, const HostId& host) {
  std::vector<RequestId> lost;
  for (auto hop = ticket_hops_.begin(); hop != ticket_hops_.end();) {
    const auto record = records_.find(hop->second);
    const bool gone = record == records_.end();
    if (!gone && record->second.ticket_host != host) {
      ++hop;
      continue;
    }
    if (!gone) lost.push_back(hop->second);
    hop = ticket_hops_.erase(hop);
  }
  for (const RequestId& id : lost) {
    EndWith(now, id, ResultCode::kTicketHostLost);
  }
}

// --- Peers ---

void RequestController::On(TimePoint now, PeerEvent& event) {
  std::visit([this, now](auto& each) { OnPeer(now, each); }, event);
}

void RequestController::OnPeer(TimePoint now, PeerMessageReceived& event) {
  std::visit([this, now,
              &event](auto& message) { OnMessage(now, event.from, message); },
             event.message);
}

void RequestController::OnPeer(TimePoint now, PeerUp& event) {
  claims_.OnPeerUp(event.host, event.incarnation);
  RouterEffects effects;
  router_.AddPeer(now, event.host, effects);
  Apply(now, effects);
}

void RequestController::OnPeer(TimePoint now, PeerDown& event) {
  std::erase_if(hops_, [&event](const auto& each) {
    return each.second.peer == event.host;
  });
  RouterEffects effects;
  router_.OnPeerLost(now, event.host, effects);
  Apply(now, effects);
  ClaimManager::Effects claim_effects;
  claims_.OnPeerDown(now, event.host, claim_effects);
  Apply(now, claim_effects);
  LoseTicketHost(now, event.host);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ForwardRequest& message) {
  ++counters_.forwarded_in;
  const ForwardOrigin origin{from, ForwardId{message.forward_id}};
  const Service* service = FindService(message.entry);
  // A request that its host forwards twice is two requests here.
  const RequestId id(message.request.value() + "@" + from.value() + "#" +
                     std::to_string(message.forward_id));
  const bool known = records_.contains(id);
  if (service == nullptr || known || stopping_) {
    ForwardResponse refusal;
    refusal.forward_id = message.forward_id;
    refusal.code =
        service == nullptr ? ResultCode::kUnknownEntry : ResultCode::kStopping;
    ports_.send_peer(from, refusal);
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
    GetPermit(now, id);
    return;
  }
  Route(now, id);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ForwardResponse& message) {
  if (IsTicketHop(message.forward_id)) {
    OnTicketAnswer(now, message);
    return;
  }
  const ForwardId hop{message.forward_id};
  const auto found = hops_.find(hop);
  if (found == hops_.end()) return;
  const auto record = records_.find(found->second.request);
  hops_.erase(found);
  if (record != records_.end() && message.code == ResultCode::kOk) {
    record->second.status = static_cast<int>(message.status);
    record->second.response_body = std::move(message.body);
  }
  RouterEffects effects;
  router_.OnForwardCompleted(now, from, hop, message.code,
                             FromMessage(message.load), effects);
  Apply(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  PeerLoadReport& message) {
  RouterEffects effects;
  router_.OnLoadReport(now, from, FromMessage(message), effects);
  Apply(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& from,
                                  ClaimQuery& message) {
  ClaimManager::Effects effects;
  claims_.OnClaimQuery(now, from,
                       QueryClaimHolder{from, message.query_id, message.owner,
                                        message.key, message.remaining},
                       effects);
  Apply(now, effects);
}

void RequestController::OnMessage(TimePoint now, const HostId& /*from*/,
                                  ClaimQueryResponse& message) {
  ClaimManager::Effects effects;
  claims_.OnClaimStatus(now, FromMessage(message), effects);
  Apply(now, effects);
}

void RequestController::OnMessage(TimePoint /*now*/, const HostId& from,
                                  Leaving& /*message*/) {
  router_.OnPeerLeaving(from);
}

std::string RequestController::State(TimePoint now) const {
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
    out["waiting"][name.value()] = HistogramToJson(service.waiting);
  }
  return out.dump();
}

}  // namespace chivewing
