#include "entry/singleton_zone_assigner.h"

#include <algorithm>
#include <utility>

namespace chivewing {

SingletonZoneAssigner::SingletonZoneAssigner(
    SingletonZoneAssignerSettings settings)
    : settings_(std::move(settings)) {}

std::vector<ZoneId> SingletonZoneAssigner::AllowedZones(
    const CatalogueEntry& entry) const {
  return entry.policy.zones.empty() ? settings_.zones : entry.policy.zones;
}

bool SingletonZoneAssigner::IsTakeoverDue(TimePoint now,
                                          const CatalogueEntry& entry,
                                          const ZoneLease& lease) const {
  if (entry.policy.when_cut_off != ZonePartitionPolicy::kFailOver) return false;
  const Duration min_lease_age = std::max<Duration>(
      entry.policy.failover_after, settings_.max_run_time_after_renewal);
  return now - lease.seen_at >= min_lease_age;
}

TableTransaction SingletonZoneAssigner::MakeZoneTransaction(
    const EntryName& entry, std::uint64_t version, const ZoneId& zone) {
  const std::string key = PlacerView::SingletonKey(entry);
  TableTransaction transaction;
  transaction.write_id =
      settings_.write_id_prefix + ".s" + std::to_string(next_write_number_++);
  transaction.conditions = {{key, version}};
  transaction.writes = {{key, zone.value()}};
  return transaction;
}

std::vector<TableTransaction> SingletonZoneAssigner::Decide(
    TimePoint now, const PlacerView& view) {
  std::vector<TableTransaction> out;
  view.catalogue().ForEach([&](const CatalogueRecord& record) {
    const CatalogueEntry& entry = *record.entry;
    if (entry.work_class != WorkClass::kSingleton) return;
    if (now < next_attempt_[entry.name]) return;
    const std::vector<ZoneId> zones = AllowedZones(entry);
    if (std::find(zones.begin(), zones.end(), view.zone()) == zones.end()) {
      return;
    }
    const auto assigned = view.singleton_zones().find(entry.name);
    if (assigned == view.singleton_zones().end()) {
      if (zones.front() != view.zone()) return;
      out.push_back(MakeZoneTransaction(entry.name, 0, view.zone()));
    } else {
      if (assigned->second.zone == view.zone()) return;
      const auto lease = view.leases().find(assigned->second.zone);
      if (lease == view.leases().end()) return;
      if (!IsTakeoverDue(now, entry, lease->second)) return;
      out.push_back(MakeZoneTransaction(entry.name, assigned->second.version,
                                        view.zone()));
      out.back().conditions.push_back(
          {PlacerView::LeaseKey(assigned->second.zone), lease->second.version});
    }
    next_attempt_[entry.name] = now + settings_.retry_interval;
  });
  return out;
}

}  // namespace chivewing
