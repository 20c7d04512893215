#include "entry/control_plane_controller.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "entry/caller_codec.h"
#include "entry/job_row.h"
#include "entry/task_row.h"

namespace chivewing {
namespace {

constexpr std::string_view kCatalogueKeyPrefix = "catalogue/";
constexpr std::string_view kShareKeyPrefix = "share/";
constexpr std::string_view kTaskKeyPrefix = "task/";
// Names of the parts that a state dump waits for, next to that of this duty.
constexpr std::array<std::string_view, 3> kStateParts = {"requests", "placer",
                                                         "traffic"};

std::vector<std::string> CachedPrefixes(const ZoneId& zone) {
  return {std::string(kCatalogueKeyPrefix),
          "placer/",
          "singleton/",
          std::string(kJobRowPrefix),
          std::string(kJobStatusRowPrefix),
          "task/" + zone.value() + "/",
          "share/" + zone.value() + "/"};
}

std::string ProcessName(const ControlPlaneSettings& settings) {
  return settings.host.value() + "." + std::to_string(settings.incarnation);
}

AssignmentManagerSettings KeeperSettings(const ControlPlaneSettings& settings) {
  AssignmentManagerSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = settings.incarnation;
  return out;
}

CatalogueRequestCallbacks CataloguePorts(
    const ControlPlaneCallbacks& ports,
    std::function<void(const std::vector<TableRow>&)> publish) {
  CatalogueRequestCallbacks out;
  out.read_rows = ports.read_rows;
  out.commit = [commit = ports.commit](const TableTransaction& transaction) {
    commit(CommitOrigin::kCatalogue, transaction);
  };
  out.answer = ports.respond_to_operator;
  out.publish_committed_rows = std::move(publish);
  out.wall_time = ports.wall_time;
  return out;
}

JobRequestCallbacks JobPorts(
    const ControlPlaneCallbacks& ports,
    std::function<void(const std::vector<TableRow>&)> publish) {
  JobRequestCallbacks out;
  out.commit = [commit = ports.commit](const TableTransaction& transaction) {
    commit(CommitOrigin::kJobs, transaction);
  };
  out.answer = ports.respond_to_caller;
  out.publish_committed_rows = std::move(publish);
  out.wall_time = ports.wall_time;
  return out;
}

JobRequestHandlerSettings DeskSettings(const ControlPlaneSettings& settings) {
  JobRequestHandlerSettings out;
  out.name = ProcessName(settings);
  out.zone = settings.zone;
  return out;
}

HostListState ToListed(HostState state) {
  if (state == HostState::kGone) return HostListState::kGone;
  if (state == HostState::kLeaving) return HostListState::kLeaving;
  return HostListState::kLive;
}

}  // namespace

ControlPlaneController::ControlPlaneController(ControlPlaneSettings settings,
                                               ControlPlaneCallbacks ports)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      feed_(CachedPrefixes(settings_.zone), settings_.poll_interval),
      keeper_(KeeperSettings(settings_)),
      catalogue_request_handler_(
          ProcessName(settings_),
          CataloguePorts(
              ports_,
              [this](const std::vector<TableRow>& rows) { Keep(rows); })),
      job_request_handler_(
          DeskSettings(settings_),
          JobPorts(ports_,
                   [this](const std::vector<TableRow>& rows) { Keep(rows); })) {
  for (const ConfiguredHost& each : settings_.peers) {
    keeper_.directory().AddConfigured(each.host, each.zone, each.address);
  }
}

void ControlPlaneController::HandleEvent(TimePoint now,
                                         ControlPlaneEvent& event) {
  std::visit([this, now](auto& each) { On(now, each); }, event);
  FlushPublished(now);
}

void ControlPlaneController::Keep(const std::vector<TableRow>& rows) {
  published_.insert(published_.end(), rows.begin(), rows.end());
}

void ControlPlaneController::FlushPublished(TimePoint now) {
  if (published_.empty()) return;
  RowsCommitted event{std::exchange(published_, {})};
  On(now, event);
}

void ControlPlaneController::Tick(TimePoint now) {
  RowCacheUpdater::Effects row_cache_effects;
  feed_.Tick(now, row_cache_effects);
  Apply(now, row_cache_effects);
  if (!hosts_open_ && now >= next_hosts_) {
    hosts_open_ = true;
    ports_.fetch_host_list();
  }
  AssignmentManager::Effects effects;
  keeper_.Tick(now, effects);
  Apply(now, effects);
  catalogue_request_handler_.Tick(now);
  job_request_handler_.Tick(now);
  FlushPublished(now);
  if (std::exchange(services_changed_, false)) TellServices();
  if (std::exchange(views_changed_, false)) RefreshViews();
  FlushPlacerRows();
  TellRank();
  std::vector<std::uint64_t> late;
  for (const auto& [call, open] : open_states_) {
    if (now >= open.give_up) late.push_back(call);
  }
  for (const std::uint64_t call : late) AnswerState(call);
}

// --- Rows ---

void ControlPlaneController::On(TimePoint now, ChangesReceived& event) {
  RowCacheUpdater::Effects effects;
  feed_.OnChanges(now, event.answer, effects);
  Apply(now, effects);
}

void ControlPlaneController::On(TimePoint now, RowsCommitted& event) {
  RowCacheUpdater::Effects effects;
  feed_.OnRows(event.rows, effects);
  Apply(now, effects);
  PushRows(std::move(event.rows));
}

void ControlPlaneController::PushRows(std::vector<TableRow> rows) {
  RowsPush zone;
  RowsPush region;
  for (TableRow& row : rows) {
    const bool local = row.key.starts_with(kTaskKeyPrefix);
    (local ? zone : region).rows.push_back(std::move(row));
  }
  if (!region.rows.empty()) ports_.broadcast(region);
  if (zone.rows.empty()) return;
  for (const HostId& host : keeper_.directory().LiveHostsInZone()) {
    if (host != settings_.host) ports_.send_peer(host, zone);
  }
}

void ControlPlaneController::On(TimePoint /*now*/, RefreshRequested& event) {
  feed_.Refresh(event.token);
}

void ControlPlaneController::Apply(TimePoint now,
                                   RowCacheUpdater::Effects& effects) {
  for (RowCacheEffect& effect : effects) {
    if (auto* ask = std::get_if<FetchChanges>(&effect)) {
      ports_.fetch_changes(ask->since, ask->prefixes);
    } else if (auto* changed = std::get_if<RowChanged>(&effect)) {
      OnRowChanged(now, changed->row);
    } else if (auto* done = std::get_if<RefreshCompleted>(&effect)) {
      FlushPlacerRows();
      ports_.post_placer_event(PlacerRefreshCompleted{done->token});
    } else if (std::holds_alternative<InitialSyncCompleted>(effect)) {
      keeper_.SetInitialRowsRead();
    } else if (auto* send = std::get_if<SendToPeer>(&effect)) {
      ports_.send_peer(send->peer, send->message);
    }
  }
}

void ControlPlaneController::OnRowChanged(TimePoint now, const TableRow& row) {
  if (row.key.starts_with(kCatalogueKeyPrefix)) {
    OnCatalogueRow(row);
  } else if (row.key.starts_with(kTaskKeyPrefix)) {
    OnTaskRow(now, row);
  } else if (row.key.starts_with(kShareKeyPrefix)) {
    AssignmentManager::Effects effects;
    keeper_.OnAssignmentRow(now, row, effects);
    Apply(now, effects);
    return;
  }
  placer_rows_.push_back(row);
}

void ControlPlaneController::OnCatalogueRow(const TableRow& row) {
  const Result<ApplyRowResult> applied =
      catalogue_.Apply(row.key, row.value, row.version);
  if (!applied) {
    LogError(LogPart::kCatalogue,
             "row " + row.key + " cannot be read: " + applied.error().detail);
    return;
  }
  services_changed_ = true;
  views_changed_ = true;
}

void ControlPlaneController::OnTaskRow(TimePoint now, const TableRow& row) {
  std::optional<TaskRow> task;
  if (row.value) {
    Result<TaskRow> decoded = DecodeTaskRow(row.key, *row.value);
    if (decoded) task = std::move(decoded).value();
  }
  const TaskId id(row.key.substr(row.key.rfind('/') + 1));
  const InstanceId instance(id.value());
  AssignmentManager::Effects effects;
  switch (instances_.OnTaskRow(id, task, catalogue_)) {
    case InstanceDirectory::Change::kNone:
      return;
    case InstanceDirectory::Change::kAdded:
      keeper_.AddInstance(now, instance, task->entry);
      return;
    case InstanceDirectory::Change::kChanged:
      if (held_.contains(instance)) TellView(instance, false);
      return;
    case InstanceDirectory::Change::kRemoved:
      keeper_.RemoveInstance(now, instance, effects);
      if (held_.erase(instance) > 0) {
        ports_.post_request_event(InstanceUnusable{instance});
      }
      // The task has ended, so nothing runs there any more.
      keeper_.OnDrained(now, instance, effects);
      Apply(now, effects);
      draining_.erase(instance);
      return;
  }
}

void ControlPlaneController::FlushPlacerRows() {
  if (placer_rows_.empty()) return;
  ports_.post_placer_event(RowsUpdated{std::exchange(placer_rows_, {})});
}

void ControlPlaneController::TellServices() {
  ServicesChanged event;
  catalogue_.ForEach([this, &event](const CatalogueRecord& record) {
    const CatalogueEntry& entry = *record.entry;
    if (AcceptsRequests(entry)) event.entries.push_back(entry);
    if (catalogue_.IsOutOfUse(SubjectKind::kOwner, entry.owner.value())) {
      event.out_of_use.insert(entry.owner);
    }
  });
  ports_.post_request_event(std::move(event));
}

// --- Shares ---

void ControlPlaneController::Apply(TimePoint /*now*/,
                                   AssignmentManager::Effects& effects) {
  for (AssignmentEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitAssignments>(&effect)) {
      ports_.commit(CommitOrigin::kShares, commit->transaction);
    } else if (auto* gained = std::get_if<AssignmentAcquired>(&effect)) {
      held_[gained->instance] = gained->epoch;
      draining_.erase(gained->instance);
      TellView(gained->instance, gained->slots_unconfirmed);
    } else if (auto* lost = std::get_if<AssignmentLost>(&effect)) {
      held_.erase(lost->instance);
      draining_.erase(lost->instance);
      ports_.post_request_event(InstanceUnusable{lost->instance});
    } else if (auto* drain = std::get_if<DrainInstance>(&effect)) {
      draining_.insert(drain->instance);
      TellView(drain->instance, false);
    }
  }
}

void ControlPlaneController::TellView(const InstanceId& instance,
                                      bool taken_over) {
  std::optional<InstanceInfo> view = instances_.View(instance, catalogue_);
  const auto held = held_.find(instance);
  if (!view || held == held_.end()) return;
  view->share_epoch = held->second;
  if (draining_.contains(instance)) view->state = InstanceState::kLeaving;
  ports_.post_request_event(InstanceUsable{*view, taken_over});
}

void ControlPlaneController::RefreshViews() {
  for (const auto& [instance, epoch] : held_) TellView(instance, false);
}

void ControlPlaneController::On(TimePoint now, InstanceDrained& event) {
  if (!draining_.contains(event.instance)) return;
  AssignmentManager::Effects effects;
  keeper_.OnDrained(now, event.instance, effects);
  Apply(now, effects);
}

void ControlPlaneController::On(TimePoint now,
                                ControlStopRequested& /*event*/) {
  stopping_ = true;
  AssignmentManager::Effects effects;
  keeper_.Stop(now, effects);
  Apply(now, effects);
}

// --- Hosts and peers ---

void ControlPlaneController::On(TimePoint now, HostListReceived& event) {
  hosts_open_ = false;
  next_hosts_ = now + settings_.host_list_interval;
  if (!event.answer.ok) return;
  HostList list;
  list.lag = event.answer.lag;
  WorkerListReceived workers;
  workers.asked_at = event.asked_at;
  workers.lag = event.answer.lag;
  std::set<WorkerId> leaving;
  for (PlatformHost& host : event.answer.hosts) {
    if (host.kind == HostKind::kEntry) {
      list.hosts.push_back({HostId(host.id), ZoneId(host.zone), host.address,
                            ToListed(host.state)});
      continue;
    }
    if (host.zone != settings_.zone.value()) continue;
    if (host.state != HostState::kLive) leaving.insert(WorkerId(host.id));
    workers.workers.push_back(std::move(host));
  }
  keeper_.directory().OnHostList(event.asked_at, list);
  instances_.set_leaving_workers(std::move(leaving));
  views_changed_ = true;
  ports_.post_placer_event(std::move(workers));
}

void ControlPlaneController::On(TimePoint now, PeerEvent& event) {
  std::visit([this, now](auto& each) { OnPeer(now, each); }, event);
}

void ControlPlaneController::OnPeer(TimePoint now, PeerMessageReceived& event) {
  RowCacheUpdater::Effects effects;
  if (auto* push = std::get_if<RowsPush>(&event.message)) {
    feed_.OnRows(push->rows, effects);
  } else if (auto* ask = std::get_if<RowsRequest>(&event.message)) {
    feed_.OnRowsRequest(event.from, *ask, effects);
  } else if (std::holds_alternative<Leaving>(event.message)) {
    keeper_.directory().OnPeerLeaving(event.from);
  }
  Apply(now, effects);
}

void ControlPlaneController::OnPeer(TimePoint now, PeerUp& event) {
  keeper_.directory().OnPeerUp(event.host, event.zone, event.incarnation);
  RowCacheUpdater::Effects effects;
  feed_.OnPeerUp(event.host, effects);
  Apply(now, effects);
}

void ControlPlaneController::OnPeer(TimePoint /*now*/, PeerDown& event) {
  keeper_.directory().OnPeerDown(event.host);
}

void ControlPlaneController::TellRank() {
  const std::size_t rank = keeper_.directory().Rank();
  if (told_rank_ == rank) return;
  told_rank_ = rank;
  ports_.post_placer_event(RankChanged{rank});
}

// --- Calls ---

void ControlPlaneController::On(TimePoint now, OperatorRequestReceived& event) {
  const HttpServerRequest& call = event.call;
  if (call.path == "/v1/state") {
    open_states_[call.id].give_up = now + settings_.state_dump_timeout;
    ports_.collect_state(call.id);
    return;
  }
  if (call.path.starts_with("/v1/catalogue")) {
    catalogue_request_handler_.HandleRequest(now, call, catalogue_,
                                             feed_.cache().age(now));
    return;
  }
  ports_.respond_to_operator(
      call.id, MakeErrorResponse({ResultCode::kNotFound, "no such call"}));
}

void ControlPlaneController::On(TimePoint now, JobRequestReceived& event) {
  if (stopping_) {
    ports_.respond_to_caller(event.call.id,
                             MakeErrorResponse({ResultCode::kStopping,
                                                "the entry host is stopping"}));
    return;
  }
  job_request_handler_.HandleRequest(now, event.call, catalogue_,
                                     feed_.cache());
}

void ControlPlaneController::On(TimePoint now, RowReadCompleted& event) {
  catalogue_request_handler_.OnRead(now, event.read, event.answer);
}

void ControlPlaneController::On(TimePoint now, ControlCommitCompleted& event) {
  switch (event.sender) {
    case CommitOrigin::kCatalogue:
      catalogue_request_handler_.OnCommit(now, event.write_id, event.answer);
      return;
    case CommitOrigin::kJobs:
      job_request_handler_.OnCommit(now, event.write_id,
                                    std::move(event.answer));
      return;
    case CommitOrigin::kShares:
      break;
  }
  AssignmentManager::Effects effects;
  keeper_.OnCommit(now, event.write_id, event.answer, effects);
  Apply(now, effects);
}

// --- State ---

void ControlPlaneController::On(TimePoint now, StateDumpRequested& event) {
  event.done(DumpState(now));
}

void ControlPlaneController::On(TimePoint now, StateDumpPart& event) {
  const auto open = open_states_.find(event.call);
  if (open == open_states_.end()) return;
  open->second.parts["control"] = DumpState(now);
  open->second.parts[event.name] = std::move(event.json);
  if (open->second.parts.size() > kStateParts.size()) AnswerState(event.call);
}

void ControlPlaneController::AnswerState(std::uint64_t call) {
  const auto open = open_states_.extract(call);
  if (open.empty()) return;
  nlohmann::json out = {{"host", settings_.host.value()},
                        {"zone", settings_.zone.value()},
                        {"incarnation", settings_.incarnation}};
  for (const auto& [name, json] : open.mapped().parts) {
    out[name] = nlohmann::json::parse(json, nullptr, false);
  }
  HttpServerResponse reply;
  reply.body = out.dump();
  ports_.respond_to_operator(call, std::move(reply));
}

std::string ControlPlaneController::DumpState(TimePoint now) const {
  const RowCache& cache = feed_.cache();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(cache.age(now));
  const AssignmentCounters shares = keeper_.counters();
  nlohmann::json out = {
      {"stopping", stopping_},
      {"catalogue",
       {{"version", catalogue_.version()}, {"entries", catalogue_.size()}}},
      {"rows",
       {{"count", cache.row_count()},
        {"revision", cache.revision()},
        {"bytes", cache.memory_bytes()},
        {"complete", feed_.is_complete()}}},
      {"shares",
       {{"held", shares.held},
        {"draining", shares.draining},
        {"free", shares.free},
        {"gained", shares.gained},
        {"lost", shares.lost},
        {"released", shares.released},
        {"conflicts", shares.conflicts}}}};
  out["rows"]["age_ms"] = cache.has_table_response()
                              ? nlohmann::json(age.count())
                              : nlohmann::json();
  nlohmann::json& live = out["live_in_zone"] = nlohmann::json::array();
  for (const HostId& host : keeper_.directory().LiveHostsInZone()) {
    live.push_back(host.value());
  }
  return out.dump();
}

}  // namespace chivewing
