#include "entry/control_flow.h"

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

std::string ProcessName(const ControlFlowSettings& settings) {
  return settings.host.value() + "." + std::to_string(settings.incarnation);
}

ShareKeeperSettings KeeperSettings(const ControlFlowSettings& settings) {
  ShareKeeperSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = settings.incarnation;
  return out;
}

CatalogueDeskPorts CataloguePorts(
    const ControlPorts& ports,
    std::function<void(const std::vector<TableRow>&)> publish) {
  CatalogueDeskPorts out;
  out.read_rows = ports.read_rows;
  out.commit = [commit = ports.commit](const TableTransaction& transaction) {
    commit(CommitSender::kCatalogue, transaction);
  };
  out.answer = ports.answer_operator;
  out.rows_committed = std::move(publish);
  out.wall_time = ports.wall_time;
  return out;
}

JobDeskPorts JobPorts(
    const ControlPorts& ports,
    std::function<void(const std::vector<TableRow>&)> publish) {
  JobDeskPorts out;
  out.commit = [commit = ports.commit](const TableTransaction& transaction) {
    commit(CommitSender::kJobs, transaction);
  };
  out.answer = ports.answer_caller;
  out.rows_committed = std::move(publish);
  out.wall_time = ports.wall_time;
  return out;
}

JobDeskSettings DeskSettings(const ControlFlowSettings& settings) {
  JobDeskSettings out;
  out.name = ProcessName(settings);
  out.zone = settings.zone;
  return out;
}

ListedState ToListed(HostState state) {
  if (state == HostState::kGone) return ListedState::kGone;
  if (state == HostState::kLeaving) return ListedState::kLeaving;
  return ListedState::kLive;
}

}  // namespace

ControlFlow::ControlFlow(ControlFlowSettings settings, ControlPorts ports)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      feed_(CachedPrefixes(settings_.zone), settings_.poll_interval),
      keeper_(KeeperSettings(settings_)),
      catalogue_desk_(ProcessName(settings_),
                      CataloguePorts(ports_,
                                     [this](const std::vector<TableRow>& rows) {
                                       Keep(rows);
                                     })),
      job_desk_(DeskSettings(settings_),
                JobPorts(ports_, [this](const std::vector<TableRow>& rows) {
                  Keep(rows);
                })) {
  for (const ConfiguredHost& each : settings_.peers) {
    keeper_.directory().AddConfigured(each.host, each.zone, each.address);
  }
}

void ControlFlow::Handle(TimePoint now, ControlEvent& event) {
  std::visit([this, now](auto& each) { On(now, each); }, event);
  FlushPublished(now);
}

void ControlFlow::Keep(const std::vector<TableRow>& rows) {
  published_.insert(published_.end(), rows.begin(), rows.end());
}

void ControlFlow::FlushPublished(TimePoint now) {
  if (published_.empty()) return;
  RowsCommitted event{std::exchange(published_, {})};
  On(now, event);
}

void ControlFlow::Tick(TimePoint now) {
  RowFeed::Effects feed_effects;
  feed_.Tick(now, feed_effects);
  Apply(now, feed_effects);
  if (!hosts_open_ && now >= next_hosts_) {
    hosts_open_ = true;
    ports_.ask_hosts();
  }
  ShareKeeper::Effects effects;
  keeper_.Tick(now, effects);
  Apply(now, effects);
  catalogue_desk_.Tick(now);
  job_desk_.Tick(now);
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

void ControlFlow::On(TimePoint now, ChangesArrived& event) {
  RowFeed::Effects effects;
  feed_.OnChanges(now, event.answer, effects);
  Apply(now, effects);
}

void ControlFlow::On(TimePoint now, RowsCommitted& event) {
  RowFeed::Effects effects;
  feed_.OnRows(event.rows, effects);
  Apply(now, effects);
  PushRows(std::move(event.rows));
}

void ControlFlow::PushRows(std::vector<TableRow> rows) {
  RowsPush zone;
  RowsPush region;
  for (TableRow& row : rows) {
    const bool local = row.key.starts_with(kTaskKeyPrefix);
    (local ? zone : region).rows.push_back(std::move(row));
  }
  if (!region.rows.empty()) ports_.broadcast(region);
  if (zone.rows.empty()) return;
  for (const HostId& host : keeper_.directory().LiveInZone()) {
    if (host != settings_.host) ports_.send_peer(host, zone);
  }
}

void ControlFlow::On(TimePoint /*now*/, RefreshAsked& event) {
  feed_.Refresh(event.token);
}

void ControlFlow::Apply(TimePoint now, RowFeed::Effects& effects) {
  for (FeedEffect& effect : effects) {
    if (auto* ask = std::get_if<AskTable>(&effect)) {
      ports_.ask_changes(ask->since, ask->prefixes);
    } else if (auto* changed = std::get_if<RowChanged>(&effect)) {
      OnRowChanged(now, changed->row);
    } else if (auto* done = std::get_if<RefreshDone>(&effect)) {
      FlushPlacerRows();
      ports_.tell_placer(PlacerRefreshed{done->token});
    } else if (std::holds_alternative<RowsComplete>(effect)) {
      keeper_.SetRowsKnown();
    } else if (auto* send = std::get_if<SendToPeer>(&effect)) {
      ports_.send_peer(send->peer, send->message);
    }
  }
}

void ControlFlow::OnRowChanged(TimePoint now, const TableRow& row) {
  if (row.key.starts_with(kCatalogueKeyPrefix)) {
    OnCatalogueRow(row);
  } else if (row.key.starts_with(kTaskKeyPrefix)) {
    OnTaskRow(now, row);
  } else if (row.key.starts_with(kShareKeyPrefix)) {
    ShareKeeper::Effects effects;
    keeper_.OnShareRow(now, row, effects);
    Apply(now, effects);
    return;
  }
  placer_rows_.push_back(row);
}

void ControlFlow::OnCatalogueRow(const TableRow& row) {
  const Result<ApplyOutcome> applied =
      catalogue_.Apply(row.key, row.value, row.version);
  if (!applied) {
    LogError(LogPart::kCatalogue,
             "row " + row.key + " cannot be read: " + applied.error().detail);
    return;
  }
  services_changed_ = true;
  views_changed_ = true;
}

void ControlFlow::OnTaskRow(TimePoint now, const TableRow& row) {
  std::optional<TaskRow> task;
  if (row.value) {
    Result<TaskRow> decoded = DecodeTaskRow(row.key, *row.value);
    if (decoded) task = std::move(decoded).value();
  }
  const TaskId id(row.key.substr(row.key.rfind('/') + 1));
  const InstanceId instance(id.value());
  ShareKeeper::Effects effects;
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
        ports_.tell_requests(InstanceUnusable{instance});
      }
      // The task has ended, so nothing runs there any more.
      keeper_.OnDrained(now, instance, effects);
      Apply(now, effects);
      draining_.erase(instance);
      return;
  }
}

void ControlFlow::FlushPlacerRows() {
  if (placer_rows_.empty()) return;
  ports_.tell_placer(RowsSeen{std::exchange(placer_rows_, {})});
}

void ControlFlow::TellServices() {
  ServicesChanged event;
  catalogue_.ForEach([this, &event](const CatalogueRecord& record) {
    const CatalogueEntry& entry = *record.entry;
    if (TakesRequests(entry)) event.entries.push_back(entry);
    if (catalogue_.IsOutOfUse(SubjectKind::kOwner, entry.owner.value())) {
      event.out_of_use.insert(entry.owner);
    }
  });
  ports_.tell_requests(std::move(event));
}

// --- Shares ---

void ControlFlow::Apply(TimePoint /*now*/, ShareKeeper::Effects& effects) {
  for (ShareEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitShares>(&effect)) {
      ports_.commit(CommitSender::kShares, commit->transaction);
    } else if (auto* gained = std::get_if<ShareGained>(&effect)) {
      held_[gained->instance] = gained->epoch;
      draining_.erase(gained->instance);
      TellView(gained->instance, gained->slots_in_doubt);
    } else if (auto* lost = std::get_if<ShareLost>(&effect)) {
      held_.erase(lost->instance);
      draining_.erase(lost->instance);
      ports_.tell_requests(InstanceUnusable{lost->instance});
    } else if (auto* drain = std::get_if<DrainInstance>(&effect)) {
      draining_.insert(drain->instance);
      TellView(drain->instance, false);
    }
  }
}

void ControlFlow::TellView(const InstanceId& instance, bool taken_over) {
  std::optional<InstanceView> view = instances_.View(instance, catalogue_);
  const auto held = held_.find(instance);
  if (!view || held == held_.end()) return;
  view->share_epoch = held->second;
  if (draining_.contains(instance)) view->state = InstanceState::kLeaving;
  ports_.tell_requests(InstanceUsable{*view, taken_over});
}

void ControlFlow::RefreshViews() {
  for (const auto& [instance, epoch] : held_) TellView(instance, false);
}

void ControlFlow::On(TimePoint now, InstanceDrained& event) {
  if (!draining_.contains(event.instance)) return;
  ShareKeeper::Effects effects;
  keeper_.OnDrained(now, event.instance, effects);
  Apply(now, effects);
}

void ControlFlow::On(TimePoint now, ControlStop& /*event*/) {
  stopping_ = true;
  ShareKeeper::Effects effects;
  keeper_.Stop(now, effects);
  Apply(now, effects);
}

// --- Hosts and peers ---

void ControlFlow::On(TimePoint now, HostsArrived& event) {
  hosts_open_ = false;
  next_hosts_ = now + settings_.hosts_interval;
  if (!event.answer.ok) return;
  HostList list;
  list.lag = event.answer.lag;
  WorkersSeen workers;
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
  keeper_.directory().OnList(event.asked_at, list);
  instances_.set_leaving_workers(std::move(leaving));
  views_changed_ = true;
  ports_.tell_placer(std::move(workers));
}

void ControlFlow::On(TimePoint now, PeerEvent& event) {
  std::visit([this, now](auto& each) { OnPeer(now, each); }, event);
}

void ControlFlow::OnPeer(TimePoint now, PeerMessageReceived& event) {
  RowFeed::Effects effects;
  if (auto* push = std::get_if<RowsPush>(&event.message)) {
    feed_.OnRows(push->rows, effects);
  } else if (auto* ask = std::get_if<RowsAsk>(&event.message)) {
    feed_.OnAsk(event.from, *ask, effects);
  } else if (std::holds_alternative<Leaving>(event.message)) {
    keeper_.directory().OnPeerLeaving(event.from);
  }
  Apply(now, effects);
}

void ControlFlow::OnPeer(TimePoint now, PeerUp& event) {
  keeper_.directory().OnPeerUp(event.host, event.zone, event.incarnation);
  RowFeed::Effects effects;
  feed_.OnPeerUp(event.host, effects);
  Apply(now, effects);
}

void ControlFlow::OnPeer(TimePoint /*now*/, PeerDown& event) {
  keeper_.directory().OnPeerDown(event.host);
}

void ControlFlow::TellRank() {
  const std::size_t rank = keeper_.directory().Rank();
  if (told_rank_ == rank) return;
  told_rank_ = rank;
  ports_.tell_placer(RankChanged{rank});
}

// --- Calls ---

void ControlFlow::On(TimePoint now, OperatorCalled& event) {
  const HttpCall& call = event.call;
  if (call.path == "/v1/state") {
    open_states_[call.id].give_up = now + settings_.state_patience;
    ports_.collect_state(call.id);
    return;
  }
  if (call.path.starts_with("/v1/catalogue")) {
    catalogue_desk_.Handle(now, call, catalogue_, feed_.cache().age(now));
    return;
  }
  ports_.answer_operator(
      call.id, MakeErrorReply({ResultCode::kNotFound, "no such call"}));
}

void ControlFlow::On(TimePoint now, JobCalled& event) {
  if (stopping_) {
    ports_.answer_caller(
        event.call.id,
        MakeErrorReply({ResultCode::kStopping, "the entry host is stopping"}));
    return;
  }
  job_desk_.Handle(now, event.call, catalogue_, feed_.cache());
}

void ControlFlow::On(TimePoint now, RowsArrived& event) {
  catalogue_desk_.OnRead(now, event.read, event.answer);
}

void ControlFlow::On(TimePoint now, ControlCommitted& event) {
  switch (event.sender) {
    case CommitSender::kCatalogue:
      catalogue_desk_.OnCommit(now, event.write_id, event.answer);
      return;
    case CommitSender::kJobs:
      job_desk_.OnCommit(now, event.write_id, std::move(event.answer));
      return;
    case CommitSender::kShares:
      break;
  }
  ShareKeeper::Effects effects;
  keeper_.OnCommit(now, event.write_id, event.answer, effects);
  Apply(now, effects);
}

// --- State ---

void ControlFlow::On(TimePoint now, StateAsked& event) {
  event.done(State(now));
}

void ControlFlow::On(TimePoint now, StatePart& event) {
  const auto open = open_states_.find(event.call);
  if (open == open_states_.end()) return;
  open->second.parts["control"] = State(now);
  open->second.parts[event.name] = std::move(event.json);
  if (open->second.parts.size() > kStateParts.size()) AnswerState(event.call);
}

void ControlFlow::AnswerState(std::uint64_t call) {
  const auto open = open_states_.extract(call);
  if (open.empty()) return;
  nlohmann::json out = {{"host", settings_.host.value()},
                        {"zone", settings_.zone.value()},
                        {"incarnation", settings_.incarnation}};
  for (const auto& [name, json] : open.mapped().parts) {
    out[name] = nlohmann::json::parse(json, nullptr, false);
  }
  HttpReply reply;
  reply.body = out.dump();
  ports_.answer_operator(call, std::move(reply));
}

std::string ControlFlow::State(TimePoint now) const {
  const RowCache& cache = feed_.cache();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(cache.age(now));
  const ShareKeeperCounters shares = keeper_.counters();
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
  out["rows"]["age_ms"] =
      cache.has_contact() ? nlohmann::json(age.count()) : nlohmann::json();
  nlohmann::json& live = out["live_in_zone"] = nlohmann::json::array();
  for (const HostId& host : keeper_.directory().LiveInZone()) {
    live.push_back(host.value());
  }
  return out.dump();
}

}  // namespace chivewing
