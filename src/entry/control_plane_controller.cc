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
constexpr std::string_view kAssignmentKeyPrefix = "share/";
constexpr std::string_view kTaskKeyPrefix = "task/";
// Parts that a state dump waits for, besides that of the control plane.
constexpr std::array<std::string_view, 3> kAwaitedStateParts = {
    "requests", "placer", "traffic"};

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

AssignmentManagerSettings MakeAssignmentSettings(
    const ControlPlaneSettings& settings) {
  AssignmentManagerSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = settings.incarnation;
  return out;
}

CatalogueRequestCallbacks MakeCatalogueCallbacks(
    const ControlPlaneCallbacks& callbacks,
    std::function<void(const std::vector<TableRow>&)> publish) {
  CatalogueRequestCallbacks out;
  out.read_rows = callbacks.read_rows;
  out.commit = [commit =
                    callbacks.commit](const TableTransaction& transaction) {
    commit(CommitOrigin::kCatalogue, transaction);
  };
  out.respond = callbacks.respond_to_operator;
  out.publish_committed_rows = std::move(publish);
  out.wall_time = callbacks.wall_time;
  return out;
}

JobRequestCallbacks MakeJobCallbacks(
    const ControlPlaneCallbacks& callbacks,
    std::function<void(const std::vector<TableRow>&)> publish) {
  JobRequestCallbacks out;
  out.commit = [commit =
                    callbacks.commit](const TableTransaction& transaction) {
    commit(CommitOrigin::kJobs, transaction);
  };
  out.respond = callbacks.respond_to_caller;
  out.publish_committed_rows = std::move(publish);
  out.wall_time = callbacks.wall_time;
  return out;
}

JobRequestHandlerSettings MakeJobHandlerSettings(
    const ControlPlaneSettings& settings) {
  JobRequestHandlerSettings out;
  out.process_name = ProcessName(settings);
  out.home_zone = settings.zone;
  return out;
}

HostListState ToHostListState(HostState state) {
  if (state == HostState::kGone) return HostListState::kGone;
  if (state == HostState::kLeaving) return HostListState::kLeaving;
  return HostListState::kLive;
}

}  // namespace

ControlPlaneController::ControlPlaneController(ControlPlaneSettings settings,
                                               ControlPlaneCallbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      row_updater_(CachedPrefixes(settings_.zone), settings_.poll_interval),
      assignments_(MakeAssignmentSettings(settings_)),
      catalogue_handler_(
          ProcessName(settings_),
          MakeCatalogueCallbacks(callbacks_,
                                 [this](const std::vector<TableRow>& rows) {
                                   QueueCommittedRows(rows);
                                 })),
      job_handler_(MakeJobHandlerSettings(settings_),
                   MakeJobCallbacks(callbacks_,
                                    [this](const std::vector<TableRow>& rows) {
                                      QueueCommittedRows(rows);
                                    })) {
  for (const ConfiguredHost& each : settings_.peers) {
    assignments_.directory().AddConfigured(each.host, each.zone, each.address);
  }
}

void ControlPlaneController::HandleEvent(TimePoint now,
                                         ControlPlaneEvent& event) {
  std::visit([this, now](auto& each) { On(now, each); }, event);
  FlushCommittedRows(now);
}

void ControlPlaneController::QueueCommittedRows(
    const std::vector<TableRow>& rows) {
  committed_rows_.insert(committed_rows_.end(), rows.begin(), rows.end());
}

void ControlPlaneController::FlushCommittedRows(TimePoint now) {
  if (committed_rows_.empty()) return;
  RowsCommitted event{std::exchange(committed_rows_, {})};
  On(now, event);
}

void ControlPlaneController::Tick(TimePoint now) {
  RowCacheUpdater::Effects feed_effects;
  row_updater_.Tick(now, feed_effects);
  Apply(now, feed_effects);
  if (!host_list_in_flight_ && now >= next_host_list_at_) {
    host_list_in_flight_ = true;
    callbacks_.fetch_host_list();
  }
  AssignmentManager::Effects effects;
  assignments_.Tick(now, effects);
  Apply(now, effects);
  catalogue_handler_.Tick(now);
  job_handler_.Tick(now);
  FlushCommittedRows(now);
  if (std::exchange(services_changed_, false)) PostServices();
  if (std::exchange(instances_changed_, false)) PostAllInstances();
  PostPlacerRows();
  PostRank();
  std::vector<std::uint64_t> expired;
  for (const auto& [call_id, dump] : pending_state_dumps_) {
    if (now >= dump.deadline) expired.push_back(call_id);
  }
  for (const std::uint64_t call_id : expired) RespondWithState(call_id);
}

// --- Rows ---

void ControlPlaneController::On(TimePoint now, ChangesReceived& event) {
  RowCacheUpdater::Effects effects;
  row_updater_.OnChanges(now, event.response, effects);
  Apply(now, effects);
}

void ControlPlaneController::On(TimePoint now, RowsCommitted& event) {
  RowCacheUpdater::Effects effects;
  row_updater_.OnRows(event.rows, effects);
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
  if (!region.rows.empty()) callbacks_.broadcast(region);
  if (zone.rows.empty()) return;
  for (const HostId& host : assignments_.directory().LiveHostsInZone()) {
    if (host != settings_.host) callbacks_.send_peer(host, zone);
  }
}

void ControlPlaneController::On(TimePoint /*now*/, RefreshRequested& event) {
  row_updater_.RequestRefresh(event.token);
}

void ControlPlaneController::Apply(TimePoint now,
                                   RowCacheUpdater::Effects& effects) {
  for (RowCacheEffect& effect : effects) {
    if (auto* request = std::get_if<FetchChanges>(&effect)) {
      callbacks_.fetch_changes(request->since, request->prefixes);
    } else if (auto* changed = std::get_if<RowChanged>(&effect)) {
      OnRowChanged(now, changed->row);
    } else if (auto* done = std::get_if<RefreshCompleted>(&effect)) {
      PostPlacerRows();
      callbacks_.post_placer_event(PlacerRefreshCompleted{done->token});
    } else if (std::holds_alternative<InitialSyncCompleted>(effect)) {
      assignments_.SetInitialRowsRead();
    } else if (auto* send = std::get_if<SendToPeer>(&effect)) {
      callbacks_.send_peer(send->peer, send->message);
    }
  }
}

void ControlPlaneController::OnRowChanged(TimePoint now, const TableRow& row) {
  if (row.key.starts_with(kCatalogueKeyPrefix)) {
    OnCatalogueRow(row);
  } else if (row.key.starts_with(kTaskKeyPrefix)) {
    OnTaskRow(now, row);
  } else if (row.key.starts_with(kAssignmentKeyPrefix)) {
    AssignmentManager::Effects effects;
    assignments_.OnAssignmentRow(now, row, effects);
    Apply(now, effects);
    return;
  }
  rows_for_placer_.push_back(row);
}

void ControlPlaneController::OnCatalogueRow(const TableRow& row) {
  const Result<ApplyRowResult> applied =
      catalogue_.Apply(row.key, row.value, row.version);
  if (!applied) {
    LogError(LogPart::kCatalogue, "catalogue row " + row.key +
                                      " cannot be decoded and is skipped: " +
                                      applied.error().detail);
    return;
  }
  services_changed_ = true;
  instances_changed_ = true;
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
      assignments_.AddInstance(now, instance, task->entry);
      return;
    case InstanceDirectory::Change::kChanged:
      if (assignment_epochs_.contains(instance)) PostInstance(instance, false);
      return;
    case InstanceDirectory::Change::kRemoved:
      assignments_.RemoveInstance(now, instance, effects);
      if (assignment_epochs_.erase(instance) > 0) {
        callbacks_.post_request_event(InstanceUnusable{instance});
      }
      // The task has ended, so no request runs on the instance.
      assignments_.OnDrained(now, instance, effects);
      Apply(now, effects);
      draining_instances_.erase(instance);
      return;
  }
}

void ControlPlaneController::PostPlacerRows() {
  if (rows_for_placer_.empty()) return;
  callbacks_.post_placer_event(
      RowsUpdated{std::exchange(rows_for_placer_, {})});
}

void ControlPlaneController::PostServices() {
  ServicesChanged event;
  catalogue_.ForEach([this, &event](const CatalogueRecord& record) {
    const CatalogueEntry& entry = *record.entry;
    if (AcceptsRequests(entry)) event.entries.push_back(entry);
    if (catalogue_.IsOutOfUse(SubjectKind::kOwner, entry.owner.value())) {
      event.out_of_use.insert(entry.owner);
    }
  });
  callbacks_.post_request_event(std::move(event));
}

// --- Assignments ---

void ControlPlaneController::Apply(TimePoint /*now*/,
                                   AssignmentManager::Effects& effects) {
  for (AssignmentEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitAssignments>(&effect)) {
      callbacks_.commit(CommitOrigin::kAssignments, commit->transaction);
    } else if (auto* acquired = std::get_if<AssignmentAcquired>(&effect)) {
      assignment_epochs_[acquired->instance] = acquired->epoch;
      draining_instances_.erase(acquired->instance);
      PostInstance(acquired->instance, acquired->slots_unconfirmed);
    } else if (auto* lost = std::get_if<AssignmentLost>(&effect)) {
      assignment_epochs_.erase(lost->instance);
      draining_instances_.erase(lost->instance);
      callbacks_.post_request_event(InstanceUnusable{lost->instance});
    } else if (auto* drain = std::get_if<DrainInstance>(&effect)) {
      draining_instances_.insert(drain->instance);
      PostInstance(drain->instance, false);
    }
  }
}

void ControlPlaneController::PostInstance(const InstanceId& instance,
                                          bool taken_over) {
  std::optional<InstanceInfo> view =
      instances_.GetInstanceInfo(instance, catalogue_);
  const auto held = assignment_epochs_.find(instance);
  if (!view || held == assignment_epochs_.end()) return;
  view->share_epoch = held->second;
  if (draining_instances_.contains(instance))
    view->state = InstanceState::kLeaving;
  callbacks_.post_request_event(InstanceUsable{*view, taken_over});
}

void ControlPlaneController::PostAllInstances() {
  for (const auto& [instance, epoch] : assignment_epochs_)
    PostInstance(instance, false);
}

void ControlPlaneController::On(TimePoint now, InstanceDrained& event) {
  if (!draining_instances_.contains(event.instance)) return;
  AssignmentManager::Effects effects;
  assignments_.OnDrained(now, event.instance, effects);
  Apply(now, effects);
}

void ControlPlaneController::On(TimePoint now,
                                ControlStopRequested& /*event*/) {
  stopping_ = true;
  AssignmentManager::Effects effects;
  assignments_.Stop(now, effects);
  Apply(now, effects);
}

// --- Hosts and peers ---

void ControlPlaneController::On(TimePoint now, HostListReceived& event) {
  host_list_in_flight_ = false;
  next_host_list_at_ = now + settings_.host_list_interval;
  if (!event.response.ok) return;
  HostList list;
  list.lag = event.response.lag;
  WorkerListReceived workers;
  workers.requested_at = event.requested_at;
  workers.lag = event.response.lag;
  std::set<WorkerId> leaving;
  for (PlatformHost& host : event.response.hosts) {
    if (host.kind == HostKind::kEntry) {
      list.hosts.push_back({HostId(host.id), ZoneId(host.zone), host.address,
                            ToHostListState(host.state)});
      continue;
    }
    if (host.zone != settings_.zone.value()) continue;
    if (host.state != HostState::kLive) leaving.insert(WorkerId(host.id));
    workers.workers.push_back(std::move(host));
  }
  assignments_.directory().OnHostList(event.requested_at, list);
  instances_.set_leaving_workers(std::move(leaving));
  instances_changed_ = true;
  callbacks_.post_placer_event(std::move(workers));
}

void ControlPlaneController::On(TimePoint now, PeerEvent& event) {
  std::visit([this, now](auto& each) { OnPeerEvent(now, each); }, event);
}

void ControlPlaneController::OnPeerEvent(TimePoint now,
                                         PeerMessageReceived& event) {
  RowCacheUpdater::Effects effects;
  if (auto* push = std::get_if<RowsPush>(&event.message)) {
    row_updater_.OnRows(push->rows, effects);
  } else if (auto* request = std::get_if<RowsRequest>(&event.message)) {
    row_updater_.OnRowsRequest(event.from, *request, effects);
  } else if (std::holds_alternative<Leaving>(event.message)) {
    assignments_.directory().OnPeerLeaving(event.from);
  }
  Apply(now, effects);
}

void ControlPlaneController::OnPeerEvent(TimePoint now, PeerUp& event) {
  assignments_.directory().OnPeerUp(event.host, event.zone, event.incarnation);
  RowCacheUpdater::Effects effects;
  row_updater_.OnPeerUp(event.host, effects);
  Apply(now, effects);
}

void ControlPlaneController::OnPeerEvent(TimePoint /*now*/, PeerDown& event) {
  assignments_.directory().OnPeerDown(event.host);
}

void ControlPlaneController::PostRank() {
  const std::size_t rank = assignments_.directory().Rank();
  if (posted_rank_ == rank) return;
  posted_rank_ = rank;
  callbacks_.post_placer_event(RankChanged{rank});
}

// --- Requests ---

void ControlPlaneController::On(TimePoint now, OperatorRequestReceived& event) {
  const HttpServerRequest& request = event.request;
  if (request.path == "/v1/state") {
    pending_state_dumps_[request.id].deadline =
        now + settings_.state_dump_timeout;
    callbacks_.collect_state(request.id);
    return;
  }
  if (request.path.starts_with("/v1/catalogue")) {
    catalogue_handler_.HandleRequest(now, request, catalogue_,
                                     row_updater_.cache().age(now));
    return;
  }
  callbacks_.respond_to_operator(
      request.id,
      MakeErrorResponse({ResultCode::kNotFound, "no resource at this path"}));
}

void ControlPlaneController::On(TimePoint now, JobRequestReceived& event) {
  if (stopping_) {
    callbacks_.respond_to_caller(
        event.request.id, MakeErrorResponse({ResultCode::kStopping,
                                             "the entry host is stopping"}));
    return;
  }
  job_handler_.HandleRequest(now, event.request, catalogue_,
                             row_updater_.cache());
}

void ControlPlaneController::On(TimePoint now, RowReadCompleted& event) {
  catalogue_handler_.OnRead(now, event.read_id, event.response);
}

void ControlPlaneController::On(TimePoint now, ControlCommitCompleted& event) {
  switch (event.origin) {
    case CommitOrigin::kCatalogue:
      catalogue_handler_.OnCommit(now, event.write_id, event.response);
      return;
    case CommitOrigin::kJobs:
      job_handler_.OnCommit(now, event.write_id, std::move(event.response));
      return;
    case CommitOrigin::kAssignments:
      break;
  }
  AssignmentManager::Effects effects;
  assignments_.OnCommit(now, event.write_id, event.response, effects);
  Apply(now, effects);
}

// --- State ---

void ControlPlaneController::On(TimePoint now, StateDumpRequested& event) {
  event.done(DumpState(now));
}

void ControlPlaneController::On(TimePoint now, StateDumpPart& event) {
  const auto dump = pending_state_dumps_.find(event.call_id);
  if (dump == pending_state_dumps_.end()) return;
  dump->second.parts["control"] = DumpState(now);
  dump->second.parts[event.name] = std::move(event.json);
  if (dump->second.parts.size() > kAwaitedStateParts.size())
    RespondWithState(event.call_id);
}

void ControlPlaneController::RespondWithState(std::uint64_t call_id) {
  const auto dump = pending_state_dumps_.extract(call_id);
  if (dump.empty()) return;
  nlohmann::json out = {{"host", settings_.host.value()},
                        {"zone", settings_.zone.value()},
                        {"incarnation", settings_.incarnation}};
  for (const auto& [name, json] : dump.mapped().parts) {
    out[name] = nlohmann::json::parse(json, nullptr, false);
  }
  HttpServerResponse response;
  response.body = out.dump();
  callbacks_.respond_to_operator(call_id, std::move(response));
}

std::string ControlPlaneController::DumpState(TimePoint now) const {
  const RowCache& cache = row_updater_.cache();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(cache.age(now));
  const AssignmentCounters assignments = assignments_.counters();
  nlohmann::json out = {
      {"stopping", stopping_},
      {"catalogue",
       {{"version", catalogue_.version()}, {"entries", catalogue_.size()}}},
      {"rows",
       {{"count", cache.row_count()},
        {"revision", cache.revision()},
        {"bytes", cache.memory_bytes()},
        {"complete", row_updater_.is_initial_sync_complete()}}},
      {"shares",
       {{"held", assignments.held},
        {"draining", assignments.draining},
        {"free", assignments.free},
        {"gained", assignments.gained},
        {"lost", assignments.lost},
        {"released", assignments.released},
        {"conflicts", assignments.conflicts}}}};
  out["rows"]["age_ms"] = cache.has_table_response()
                              ? nlohmann::json(age.count())
                              : nlohmann::json();
  nlohmann::json& live = out["live_in_zone"] = nlohmann::json::array();
  for (const HostId& host : assignments_.directory().LiveHostsInZone()) {
    live.push_back(host.value());
  }
  return out.dump();
}

}  // namespace chivewing
