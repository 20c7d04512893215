#include "membership/assignment_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "membership/assignment_row.h"

namespace chivewing {
namespace {

// Adds to the time after which a free share may be taken over plan, for each
// rank, so that not all hosts take at once.
constexpr Duration kOverdueStagger = std::chrono::milliseconds(500);

// Where the order of hosts starts for an entry, so that not the same hosts have
// one more instance of every entry. The same on every host.
std::size_t FirstHost(const EntryName& entry, std::size_t hosts) {
  std::size_t sum = 0;
  for (const char each : entry.value()) {
    sum = sum * 31 + static_cast<unsigned char>(each);
  }
  return sum % hosts;
}

}  // namespace

AssignmentManager::AssignmentManager(AssignmentManagerSettings settings,
                                     AssignmentFaultInjection faults)
    : settings_(std::move(settings)),
      faults_(faults),
      directory_(settings_.host, settings_.zone) {}

std::string AssignmentManager::RowKey(const ZoneId& zone,
                                      const InstanceId& id) {
  return "share/" + zone.value() + "/" + id.value();
}

void AssignmentManager::AddInstance(TimePoint now, const InstanceId& id,
                                    const EntryName& entry) {
  Instance& instance = instances_[id];
  if (!instance.present && instance.version == 0) instance.seen_at = now;
  instance.entry = entry;
  instance.present = true;
}

void AssignmentManager::RemoveInstance(TimePoint now, const InstanceId& id,
                                       Effects& out) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return;
  found->second.present = false;
  if (found->second.use == Use::kUsed) StartDrain(id, found->second, out);
  SendReleases(now, out);
}

void AssignmentManager::OnAssignmentRow(TimePoint now, const TableRow& row,
                                        Effects& out) {
  const std::string prefix = RowKey(settings_.zone, InstanceId());
  if (row.key.compare(0, prefix.size(), prefix) != 0) return;
  ApplyRow(now, InstanceId(row.key.substr(prefix.size())), row, out);
}

void AssignmentManager::ApplyRow(TimePoint now, const InstanceId& id,
                                 const TableRow& row, Effects& out) {
  Instance& instance = instances_[id];
  if (row.version <= instance.version) return;
  const std::optional<AssignmentRow> parsed =
      row.value ? DecodeAssignmentRow(*row.value) : AssignmentRow{};
  if (!parsed) {
    LogError(LogPart::kShare, "row " + row.key + " cannot be read");
    return;
  }
  instance.version = row.version;
  instance.holder = parsed->holder;
  instance.incarnation = parsed->incarnation;
  instance.epoch = std::max(instance.epoch, parsed->epoch);
  instance.seen_at = now;
  const bool mine = IsMine(instance);
  const bool unused = instance.use == Use::kNone && !instance.in_flight;
  if (mine && unused && instance.present && !stopping_) {
    instance.slots_unconfirmed = true;
    Gain(id, instance, out);
  }
  if (mine || instance.use == Use::kNone) return;
  if (instance.use != Use::kDrained) {
    ++counters_.lost;
    LogWarning(LogPart::kShare,
               "share of " + id.value() + " is now held by another process");
    out.emplace_back(AssignmentLost{id});
  }
  instance.use = Use::kNone;
}

bool AssignmentManager::IsMine(const Instance& instance) const {
  return instance.holder == settings_.host &&
         instance.incarnation == settings_.incarnation;
}

// This process has bound the address of the host, so that the process which
// took the share is gone.
bool AssignmentManager::IsOwnEarlierProcess(const Instance& instance) const {
  return instance.holder == settings_.host &&
         instance.incarnation != settings_.incarnation;
}

bool AssignmentManager::IsTakeable(const Instance& instance) const {
  if (!instance.present) return false;
  if (instance.holder.empty()) return true;
  if (instance.holder == settings_.host) return false;
  if (faults_.ignore_list_lag && directory_.IsListedGone(instance.holder)) {
    return true;
  }
  if (faults_.take_from_unreachable) {
    const std::vector<HostId> live = directory_.LiveHostsInZone();
    return std::find(live.begin(), live.end(), instance.holder) == live.end();
  }
  return directory_.IsConfirmedGoneSince(instance.holder, instance.seen_at);
}

std::map<EntryName, AssignmentManager::Plan> AssignmentManager::MakePlans(
    TimePoint now) const {
  std::map<EntryName, Plan> plans;
  std::map<EntryName, std::map<HostId, std::size_t>> held;
  for (const auto& [id, instance] : instances_) {
    if (!instance.present) continue;
    Plan& plan = plans[instance.entry];
    const bool taking = instance.in_flight && instance.use == Use::kNone;
    if (taking || instance.use == Use::kUsed) {
      ++plan.mine;
      const bool kept = instance.kept_until && now < *instance.kept_until;
      if (instance.use == Use::kUsed && !kept) plan.used.push_back(id);
    } else if (IsTakeable(instance)) {
      plan.takeable.push_back(id);
    } else if (instance.holder != settings_.host) {
      ++held[instance.entry][instance.holder];
    }
  }
  for (auto& [entry, plan] : plans) SetQuotas(entry, held[entry], plan);
  return plans;
}

// Spreads what is free or held by live hosts evenly over the live hosts.
void AssignmentManager::SetQuotas(const EntryName& entry,
                                  const std::map<HostId, std::size_t>& held,
                                  Plan& plan) const {
  std::vector<HostId> hosts = directory_.LiveHostsInZone();
  if (hosts.empty()) return;
  const auto first = FirstHost(entry, hosts.size());
  std::rotate(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first),
              hosts.end());
  const auto held_by = [&](const HostId& host) {
    if (host == settings_.host) return plan.mine;
    const auto found = held.find(host);
    return found == held.end() ? 0 : found->second;
  };
  std::size_t total = plan.takeable.size();
  for (const HostId& host : hosts) total += held_by(host);
  bool before_self = true;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const std::size_t quota =
        total / hosts.size() + (i < total % hosts.size() ? 1 : 0);
    if (hosts[i] == settings_.host) {
      plan.quota = quota;
      before_self = false;
      continue;
    }
    const std::size_t has = held_by(hosts[i]);
    const std::size_t wanted = quota > has ? quota - has : 0;
    plan.wanted_by_others += wanted;
    if (before_self) plan.wanted_before += wanted;
  }
}

void AssignmentManager::TakeByPlan(TimePoint now, const Plan& plan,
                                   std::vector<InstanceId>& takes) {
  const std::size_t wanted =
      plan.quota > plan.mine ? plan.quota - plan.mine : 0;
  const Duration patience =
      settings_.takeover_delay +
      kOverdueStagger * static_cast<std::int64_t>(directory_.Rank());
  for (std::size_t i = 0; i < plan.takeable.size(); ++i) {
    Instance& instance = instances_.at(plan.takeable[i]);
    const bool planned =
        i >= plan.wanted_before && i < plan.wanted_before + wanted;
    const bool overdue = now >= instance.seen_at + patience;
    if (!planned && !overdue) continue;
    instance.kept_until.reset();
    if (!planned) instance.kept_until = now + settings_.takeover_hold;
    instance.slots_unconfirmed = !instance.holder.empty();
    takes.push_back(plan.takeable[i]);
  }
}

void AssignmentManager::TakeBackOwn(std::vector<InstanceId>& takes) {
  for (auto& [id, instance] : instances_) {
    if (!instance.present || instance.in_flight) continue;
    if (!IsOwnEarlierProcess(instance)) continue;
    instance.slots_unconfirmed = true;
    takes.push_back(id);
  }
}

void AssignmentManager::ReleaseByPlan(TimePoint now, const EntryName& entry,
                                      const Plan& plan, Effects& out) {
  const std::size_t over = plan.mine > plan.quota ? plan.mine - plan.quota : 0;
  const std::size_t free = plan.takeable.size();
  const std::size_t needed =
      plan.wanted_by_others > free ? plan.wanted_by_others - free : 0;
  const std::size_t count = std::min({over, needed, plan.used.size()});
  if (count == 0) {
    over_since_.erase(entry);
    return;
  }
  const TimePoint since = over_since_.try_emplace(entry, now).first->second;
  if (now < since + settings_.rebalance_delay) return;
  std::vector<InstanceId> idlest = plan.used;
  if (settings_.running_requests) {
    std::stable_sort(idlest.begin(), idlest.end(),
                     [this](const InstanceId& a, const InstanceId& b) {
                       return settings_.running_requests(a) <
                              settings_.running_requests(b);
                     });
  }
  idlest.resize(count);
  for (const InstanceId& id : idlest) StartDrain(id, instances_.at(id), out);
  over_since_.erase(entry);
}

void AssignmentManager::Tick(TimePoint now, Effects& out) {
  Resend(now, out);
  SendReleases(now, out);
  DropAbsent();
  if (!rows_known_ || stopping_) return;
  std::vector<InstanceId> takes;
  TakeBackOwn(takes);
  for (const auto& [entry, plan] : MakePlans(now)) {
    TakeByPlan(now, plan, takes);
    ReleaseByPlan(now, entry, plan, out);
  }
  SendGroups(takes, true, out);
}

void AssignmentManager::StartDrain(const InstanceId& id, Instance& instance,
                                   Effects& out) {
  instance.use =
      faults_.release_before_drained ? Use::kDrained : Use::kDraining;
  out.emplace_back(DrainInstance{id});
}

void AssignmentManager::OnDrained(TimePoint now, const InstanceId& id,
                                  Effects& out) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return;
  if (found->second.use != Use::kDraining) return;
  found->second.use = Use::kDrained;
  SendReleases(now, out);
}

void AssignmentManager::SendReleases(TimePoint now, Effects& out) {
  static_cast<void>(now);
  std::vector<InstanceId> drained;
  for (const auto& [id, instance] : instances_) {
    if (instance.use != Use::kDrained || instance.in_flight) continue;
    drained.push_back(id);
  }
  SendGroups(drained, false, out);
}

std::string AssignmentManager::NewWriteId() {
  return "share-" + settings_.host.value() + "-" +
         std::to_string(settings_.incarnation) + "-" +
         std::to_string(next_write_++);
}

TableWrite AssignmentManager::MakeWrite(const InstanceId& id,
                                        const Instance& instance,
                                        bool take) const {
  const std::string key = RowKey(settings_.zone, id);
  if (!take && !instance.present) return {key, std::nullopt};
  const AssignmentRow row =
      take ? AssignmentRow{settings_.host, settings_.incarnation,
                           instance.epoch + 1}
           : AssignmentRow{HostId(), 0, instance.epoch};
  return {key, EncodeAssignmentRow(row)};
}

void AssignmentManager::SendGroups(const std::vector<InstanceId>& ids,
                                   bool take, Effects& out) {
  for (std::size_t at = 0; at < ids.size(); at += settings_.max_batch_rows) {
    Flight flight;
    flight.take = take;
    flight.transaction.write_id = NewWriteId();
    const std::size_t end = std::min(at + settings_.max_batch_rows, ids.size());
    for (std::size_t i = at; i < end; ++i) {
      Instance& instance = instances_.at(ids[i]);
      instance.in_flight = true;
      TableWrite write = MakeWrite(ids[i], instance, take);
      flight.transaction.conditions.push_back({write.key, instance.version});
      flight.transaction.writes.push_back(std::move(write));
      flight.instances.push_back(ids[i]);
    }
    out.emplace_back(CommitAssignments{flight.transaction});
    flights_.emplace(flight.transaction.write_id, std::move(flight));
  }
}

void AssignmentManager::Resend(TimePoint now, Effects& out) {
  for (auto& [write_id, flight] : flights_) {
    if (!flight.IsRetryDue(now)) continue;
    flight.awaiting_retry = false;
    out.emplace_back(CommitAssignments{flight.transaction});
  }
}

void AssignmentManager::OnCommit(TimePoint now, const std::string& write_id,
                                 const CommitResponse& answer, Effects& out) {
  const auto found = flights_.find(write_id);
  if (found == flights_.end()) return;
  if (answer.status == CommitStatus::kUnknown) found->second.unconfirmed = true;
  if (answer.status == CommitStatus::kUnknown ||
      answer.status == CommitStatus::kNotApplied) {
    found->second.ScheduleRetry(now, settings_.initial_retry_delay,
                                settings_.max_retry_delay);
    return;
  }
  const Flight flight = std::move(found->second);
  flights_.erase(found);
  for (const InstanceId& id : flight.instances) {
    instances_.at(id).in_flight = false;
  }
  const std::uint64_t version =
      answer.status == CommitStatus::kCommitted
          ? answer.revision
          : VersionIfCommitted(flight.transaction, answer);
  if (version == 0) {
    ++counters_.conflicts;
    for (std::size_t i = 0; i < flight.instances.size(); ++i) {
      const std::string& key = flight.transaction.writes[i].key;
      for (const TableRow& row : answer.rows) {
        if (row.key == key) ApplyRow(now, flight.instances[i], row, out);
      }
    }
    return;
  }
  for (const InstanceId& id : flight.instances) {
    if (flight.take) {
      OnTaken(now, id, version, out);
    } else {
      OnReleased(now, id, version);
    }
  }
}

void AssignmentManager::OnTaken(TimePoint now, const InstanceId& id,
                                std::uint64_t version, Effects& out) {
  Instance& instance = instances_.at(id);
  if (version < instance.version) return;  // overtaken by a newer row
  if (version > instance.version) {
    instance.version = version;
    instance.holder = settings_.host;
    instance.incarnation = settings_.incarnation;
    instance.seen_at = now;
    ++instance.epoch;
  }
  const bool unwanted = stopping_ || !instance.present;
  if (unwanted && !instance.slots_unconfirmed) {  // nothing runs there
    instance.use = Use::kDrained;
    return;
  }
  Gain(id, instance, out);
  if (unwanted) StartDrain(id, instance, out);
}

void AssignmentManager::OnReleased(TimePoint now, const InstanceId& id,
                                   std::uint64_t version) {
  Instance& instance = instances_.at(id);
  ++counters_.released;
  if (instance.use == Use::kDrained) instance.use = Use::kNone;
  if (version < instance.version) return;
  instance.version = version;
  instance.holder = HostId();
  instance.seen_at = now;
}

void AssignmentManager::Gain(const InstanceId& id, Instance& instance,
                             Effects& out) {
  instance.use = Use::kUsed;
  ++counters_.gained;
  out.emplace_back(
      AssignmentAcquired{id, instance.epoch, instance.slots_unconfirmed});
}

void AssignmentManager::DropAbsent() {
  auto each = instances_.begin();
  while (each != instances_.end()) {
    const Instance& instance = each->second;
    const bool needed = instance.present || instance.in_flight ||
                        instance.use != Use::kNone || !instance.holder.empty();
    each = needed ? std::next(each) : instances_.erase(each);
  }
}

void AssignmentManager::Stop(TimePoint now, Effects& out) {
  stopping_ = true;
  for (auto& [id, instance] : instances_) {
    if (instance.use == Use::kUsed) StartDrain(id, instance, out);
  }
  SendReleases(now, out);
}

bool AssignmentManager::IsStopped() const {
  const auto is_in_use = [](const auto& each) {
    return each.second.use != Use::kNone;
  };
  return stopping_ && flights_.empty() &&
         std::none_of(instances_.begin(), instances_.end(), is_in_use);
}

std::optional<std::uint64_t> AssignmentManager::ActiveEpoch(
    const InstanceId& id) const {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return std::nullopt;
  if (found->second.use != Use::kUsed) return std::nullopt;
  return found->second.epoch;
}

AssignmentCounters AssignmentManager::counters() const {
  AssignmentCounters counters = counters_;
  for (const auto& [id, instance] : instances_) {
    if (instance.use != Use::kNone) ++counters.held;
    if (instance.use == Use::kDraining) ++counters.draining;
    if (instance.present && instance.holder.empty()) ++counters.free;
  }
  return counters;
}

}  // namespace chivewing
