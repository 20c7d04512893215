#include "membership/assignment_manager.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "membership/assignment_row.h"

namespace chivewing {
namespace {

// Added per rank to the time after which an unassigned instance may be acquired
// beyond the quota, so that not all hosts try at once.
constexpr Duration kTakeoverStagger = std::chrono::milliseconds(500);

// Index of the host that comes first in the order of hosts for an entry. It
// depends on the entry's name, so that the instances left over by an even split
// do not go to the same hosts for every entry. All hosts compute the same
// index.
std::size_t FirstHostIndex(const EntryName& entry, std::size_t hosts) {
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
  if (!instance.has_task && instance.version == 0) instance.row_seen_at = now;
  instance.entry = entry;
  instance.has_task = true;
}

void AssignmentManager::RemoveInstance(TimePoint now, const InstanceId& id,
                                       Effects& out) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return;
  found->second.has_task = false;
  if (found->second.usage == UsageState::kActive)
    StartDrain(id, found->second, out);
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
    LogError(LogPart::kShare,
             "row " + row.key + " cannot be decoded; ignoring it");
    return;
  }
  instance.version = row.version;
  instance.holder = parsed->holder;
  instance.incarnation = parsed->incarnation;
  instance.epoch = std::max(instance.epoch, parsed->epoch);
  instance.row_seen_at = now;
  const bool mine = IsHeldByThisProcess(instance);
  const bool unused =
      instance.usage == UsageState::kUnused && !instance.in_flight;
  if (mine && unused && instance.has_task && !stopping_) {
    instance.slots_unconfirmed = true;
    MarkAcquired(id, instance, out);
  }
  if (mine || instance.usage == UsageState::kUnused) return;
  if (instance.usage != UsageState::kDrained) {
    ++counters_.lost;
    LogWarning(LogPart::kShare,
               "assignment of " + id.value() +
                   " is now held by another process; no longer using it");
    out.emplace_back(AssignmentLost{id});
  }
  instance.usage = UsageState::kUnused;
}

bool AssignmentManager::IsHeldByThisProcess(const Instance& instance) const {
  return instance.holder == settings_.host &&
         instance.incarnation == settings_.incarnation;
}

// This process has bound the host's address, so the earlier process that
// acquired the assignment is gone.
bool AssignmentManager::IsHeldByEarlierProcess(const Instance& instance) const {
  return instance.holder == settings_.host &&
         instance.incarnation != settings_.incarnation;
}

bool AssignmentManager::IsAcquirable(const Instance& instance) const {
  if (!instance.has_task) return false;
  if (instance.holder.empty()) return true;
  if (instance.holder == settings_.host) return false;
  if (faults_.ignore_list_lag && directory_.IsListedGone(instance.holder)) {
    return true;
  }
  if (faults_.take_from_unreachable) {
    const std::vector<HostId> live = directory_.LiveHostsInZone();
    return std::find(live.begin(), live.end(), instance.holder) == live.end();
  }
  return directory_.IsConfirmedGoneSince(instance.holder, instance.row_seen_at);
}

std::map<EntryName, AssignmentManager::EntryPlan> AssignmentManager::MakePlans(
    TimePoint now) const {
  std::map<EntryName, EntryPlan> plans;
  std::map<EntryName, std::map<HostId, std::size_t>> held;
  for (const auto& [id, instance] : instances_) {
    if (!instance.has_task) continue;
    EntryPlan& plan = plans[instance.entry];
    const bool acquiring =
        instance.in_flight && instance.usage == UsageState::kUnused;
    if (acquiring || instance.usage == UsageState::kActive) {
      ++plan.own_count;
      const bool on_hold = instance.hold_until && now < *instance.hold_until;
      if (instance.usage == UsageState::kActive && !on_hold)
        plan.releasable.push_back(id);
    } else if (IsAcquirable(instance)) {
      plan.acquirable.push_back(id);
    } else if (instance.holder != settings_.host) {
      ++held[instance.entry][instance.holder];
    }
  }
  for (auto& [entry, plan] : plans) SetQuotas(entry, held[entry], plan);
  return plans;
}

// Spreads the instances that are acquirable or held by live hosts evenly over
// the live hosts.
void AssignmentManager::SetQuotas(const EntryName& entry,
                                  const std::map<HostId, std::size_t>& held,
                                  EntryPlan& plan) const {
  std::vector<HostId> hosts = directory_.LiveHostsInZone();
  if (hosts.empty()) return;
  const auto first = FirstHostIndex(entry, hosts.size());
  std::rotate(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(first),
              hosts.end());
  const auto held_by = [&](const HostId& host) {
    if (host == settings_.host) return plan.own_count;
    const auto found = held.find(host);
    return found == held.end() ? 0 : found->second;
  };
  std::size_t total = plan.acquirable.size();
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
    const std::size_t held_count = held_by(hosts[i]);
    const std::size_t wanted = quota > held_count ? quota - held_count : 0;
    plan.wanted_by_others += wanted;
    if (before_self) plan.wanted_by_earlier_hosts += wanted;
  }
}

void AssignmentManager::SelectAcquisitions(
    TimePoint now, const EntryPlan& plan,
    std::vector<InstanceId>& acquisitions) {
  const std::size_t wanted =
      plan.quota > plan.own_count ? plan.quota - plan.own_count : 0;
  const Duration takeover_delay =
      settings_.takeover_delay +
      kTakeoverStagger * static_cast<std::int64_t>(directory_.Rank());
  for (std::size_t i = 0; i < plan.acquirable.size(); ++i) {
    Instance& instance = instances_.at(plan.acquirable[i]);
    const bool planned = i >= plan.wanted_by_earlier_hosts &&
                         i < plan.wanted_by_earlier_hosts + wanted;
    const bool overdue = now >= instance.row_seen_at + takeover_delay;
    if (!planned && !overdue) continue;
    instance.hold_until.reset();
    if (!planned) instance.hold_until = now + settings_.takeover_hold;
    instance.slots_unconfirmed = !instance.holder.empty();
    acquisitions.push_back(plan.acquirable[i]);
  }
}

void AssignmentManager::SelectFromEarlierProcess(
    std::vector<InstanceId>& acquisitions) {
  for (auto& [id, instance] : instances_) {
    if (!instance.has_task || instance.in_flight) continue;
    if (!IsHeldByEarlierProcess(instance)) continue;
    instance.slots_unconfirmed = true;
    acquisitions.push_back(id);
  }
}

void AssignmentManager::DrainSurplus(TimePoint now, const EntryName& entry,
                                     const EntryPlan& plan, Effects& out) {
  const std::size_t surplus =
      plan.own_count > plan.quota ? plan.own_count - plan.quota : 0;
  const std::size_t available = plan.acquirable.size();
  const std::size_t needed =
      plan.wanted_by_others > available ? plan.wanted_by_others - available : 0;
  const std::size_t count = std::min({surplus, needed, plan.releasable.size()});
  if (count == 0) {
    surplus_since_.erase(entry);
    return;
  }
  const TimePoint since = surplus_since_.try_emplace(entry, now).first->second;
  if (now < since + settings_.rebalance_delay) return;
  std::vector<InstanceId> candidates = plan.releasable;
  if (settings_.running_requests) {
    std::stable_sort(candidates.begin(), candidates.end(),
                     [this](const InstanceId& a, const InstanceId& b) {
                       return settings_.running_requests(a) <
                              settings_.running_requests(b);
                     });
  }
  candidates.resize(count);
  for (const InstanceId& id : candidates)
    StartDrain(id, instances_.at(id), out);
  surplus_since_.erase(entry);
}

void AssignmentManager::Tick(TimePoint now, Effects& out) {
  RetryCommits(now, out);
  SendReleases(now, out);
  EraseUnneeded();
  if (!initial_rows_read_ || stopping_) return;
  std::vector<InstanceId> acquisitions;
  SelectFromEarlierProcess(acquisitions);
  for (const auto& [entry, plan] : MakePlans(now)) {
    SelectAcquisitions(now, plan, acquisitions);
    DrainSurplus(now, entry, plan, out);
  }
  SendBatches(acquisitions, true, out);
}

void AssignmentManager::StartDrain(const InstanceId& id, Instance& instance,
                                   Effects& out) {
  instance.usage = faults_.release_before_drained ? UsageState::kDrained
                                                  : UsageState::kDraining;
  out.emplace_back(DrainInstance{id});
}

void AssignmentManager::OnDrained(TimePoint now, const InstanceId& id,
                                  Effects& out) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return;
  if (found->second.usage != UsageState::kDraining) return;
  found->second.usage = UsageState::kDrained;
  SendReleases(now, out);
}

void AssignmentManager::SendReleases(TimePoint now, Effects& out) {
  static_cast<void>(now);
  std::vector<InstanceId> drained;
  for (const auto& [id, instance] : instances_) {
    if (instance.usage != UsageState::kDrained || instance.in_flight) continue;
    drained.push_back(id);
  }
  SendBatches(drained, false, out);
}

std::string AssignmentManager::NewWriteId() {
  return "share-" + settings_.host.value() + "-" +
         std::to_string(settings_.incarnation) + "-" +
         std::to_string(next_write_number_++);
}

TableWrite AssignmentManager::MakeWrite(const InstanceId& id,
                                        const Instance& instance,
                                        bool acquire) const {
  const std::string key = RowKey(settings_.zone, id);
  if (!acquire && !instance.has_task) return {key, std::nullopt};
  const AssignmentRow row =
      acquire ? AssignmentRow{settings_.host, settings_.incarnation,
                              instance.epoch + 1}
              : AssignmentRow{HostId(), 0, instance.epoch};
  return {key, EncodeAssignmentRow(row)};
}

void AssignmentManager::SendBatches(const std::vector<InstanceId>& ids,
                                    bool acquire, Effects& out) {
  for (std::size_t at = 0; at < ids.size(); at += settings_.max_batch_rows) {
    InFlightCommit commit;
    commit.acquire = acquire;
    commit.transaction.write_id = NewWriteId();
    const std::size_t end = std::min(at + settings_.max_batch_rows, ids.size());
    for (std::size_t i = at; i < end; ++i) {
      Instance& instance = instances_.at(ids[i]);
      instance.in_flight = true;
      TableWrite write = MakeWrite(ids[i], instance, acquire);
      commit.transaction.conditions.push_back({write.key, instance.version});
      commit.transaction.writes.push_back(std::move(write));
      commit.instances.push_back(ids[i]);
    }
    out.emplace_back(CommitAssignments{commit.transaction});
    in_flight_.emplace(commit.transaction.write_id, std::move(commit));
  }
}

void AssignmentManager::RetryCommits(TimePoint now, Effects& out) {
  for (auto& [write_id, commit] : in_flight_) {
    if (!commit.IsRetryDue(now)) continue;
    commit.awaiting_retry = false;
    out.emplace_back(CommitAssignments{commit.transaction});
  }
}

void AssignmentManager::OnCommit(TimePoint now, const std::string& write_id,
                                 const CommitResponse& response, Effects& out) {
  const auto found = in_flight_.find(write_id);
  if (found == in_flight_.end()) return;
  if (response.status == CommitStatus::kUnknown)
    found->second.unconfirmed = true;
  if (response.status == CommitStatus::kUnknown ||
      IsNotApplied(response.status)) {
    found->second.ScheduleRetry(now, settings_.initial_retry_delay,
                                settings_.max_retry_delay);
    return;
  }
  const InFlightCommit commit = std::move(found->second);
  in_flight_.erase(found);
  for (const InstanceId& id : commit.instances) {
    instances_.at(id).in_flight = false;
  }
  const std::uint64_t version =
      response.status == CommitStatus::kCommitted
          ? response.revision
          : VersionIfCommitted(commit.transaction, response);
  if (version == 0) {
    ++counters_.conflicts;
    for (std::size_t i = 0; i < commit.instances.size(); ++i) {
      const std::string& key = commit.transaction.writes[i].key;
      for (const TableRow& row : response.rows) {
        if (row.key == key) ApplyRow(now, commit.instances[i], row, out);
      }
    }
    return;
  }
  for (const InstanceId& id : commit.instances) {
    if (commit.acquire) {
      OnAcquired(now, id, version, out);
    } else {
      OnReleased(now, id, version);
    }
  }
}

void AssignmentManager::OnAcquired(TimePoint now, const InstanceId& id,
                                   std::uint64_t version, Effects& out) {
  Instance& instance = instances_.at(id);
  // A newer row has already been applied.
  if (version < instance.version) return;
  if (version > instance.version) {
    instance.version = version;
    instance.holder = settings_.host;
    instance.incarnation = settings_.incarnation;
    instance.row_seen_at = now;
    ++instance.epoch;
  }
  const bool unwanted = stopping_ || !instance.has_task;
  if (unwanted && !instance.slots_unconfirmed) {  // certainly idle
    instance.usage = UsageState::kDrained;
    return;
  }
  MarkAcquired(id, instance, out);
  if (unwanted) StartDrain(id, instance, out);
}

void AssignmentManager::OnReleased(TimePoint now, const InstanceId& id,
                                   std::uint64_t version) {
  Instance& instance = instances_.at(id);
  ++counters_.released;
  if (instance.usage == UsageState::kDrained)
    instance.usage = UsageState::kUnused;
  if (version < instance.version) return;
  instance.version = version;
  instance.holder = HostId();
  instance.row_seen_at = now;
}

void AssignmentManager::MarkAcquired(const InstanceId& id, Instance& instance,
                                     Effects& out) {
  instance.usage = UsageState::kActive;
  ++counters_.gained;
  out.emplace_back(
      AssignmentAcquired{id, instance.epoch, instance.slots_unconfirmed});
}

void AssignmentManager::EraseUnneeded() {
  auto each = instances_.begin();
  while (each != instances_.end()) {
    const Instance& instance = each->second;
    const bool needed = instance.has_task || instance.in_flight ||
                        instance.usage != UsageState::kUnused ||
                        !instance.holder.empty();
    each = needed ? std::next(each) : instances_.erase(each);
  }
}

void AssignmentManager::Stop(TimePoint now, Effects& out) {
  stopping_ = true;
  for (auto& [id, instance] : instances_) {
    if (instance.usage == UsageState::kActive) StartDrain(id, instance, out);
  }
  SendReleases(now, out);
}

bool AssignmentManager::IsStopped() const {
  const auto is_in_use = [](const auto& each) {
    return each.second.usage != UsageState::kUnused;
  };
  return stopping_ && in_flight_.empty() &&
         std::none_of(instances_.begin(), instances_.end(), is_in_use);
}

std::optional<std::uint64_t> AssignmentManager::ActiveEpoch(
    const InstanceId& id) const {
  const auto found = instances_.find(id);
  if (found == instances_.end()) return std::nullopt;
  if (found->second.usage != UsageState::kActive) return std::nullopt;
  return found->second.epoch;
}

AssignmentCounters AssignmentManager::counters() const {
  AssignmentCounters counters = counters_;
  for (const auto& [id, instance] : instances_) {
    if (instance.usage != UsageState::kUnused) ++counters.held;
    if (instance.usage == UsageState::kDraining) ++counters.draining;
    if (instance.has_task && instance.holder.empty()) ++counters.free;
  }
  return counters;
}

}  // namespace chivewing
