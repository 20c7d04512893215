#include "entry/singleton_zone_assigner.h"

#include <algorithm>
#include <utility>

namespace chivewing {

SingletonZoneAssigner::SingletonZoneAssigner(
    SingletonZoneAssignerSettings settings)
    : settings_(std::move(settings)) {}

std::vector<ZoneId> SingletonZoneAssigner::ZonesOf(
    const CatalogueEntry& entry) const {
  return entry.policy.zones.empty() ? settings_.zones : entry.policy.zones;
}

bool SingletonZoneAssigner::IsTakeOverDue(TimePoint now,
                                          const CatalogueEntry& entry,
                                          const ZoneLease& lease) const {
  if (entry.policy.when_cut_off != ZonePartitionPolicy::kFailOver) return false;
  const Duration wait =
      std::max<Duration>(entry.policy.failover_after, settings_.longest_life);
  return now - lease.seen_at >= wait;
}

TableTransaction SingletonZoneAssigner::MakeClaim(const EntryName& entry,
                                                  std::uint64_t version,
                                                  const ZoneId& zone) {
  const std::string key = PlacerView::SingletonKey(entry);
  TableTransaction transaction;
  transaction.write_id = settings_.name + ".s" + std::to_string(next_write_++);
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
    if (now < next_try_[entry.name]) return;
    const std::vector<ZoneId> zones = ZonesOf(entry);
    if (std::find(zones.begin(), zones.end(), view.zone()) == zones.end()) {
      return;
    }
    const auto home = view.singleton_zones().find(entry.name);
    if (home == view.singleton_zones().end()) {
      if (zones.front() != view.zone()) return;
      out.push_back(MakeClaim(entry.name, 0, view.zone()));
    } else {
      if (home->second.zone == view.zone()) return;
      const auto lease = view.leases().find(home->second.zone);
      if (lease == view.leases().end()) return;
      if (!IsTakeOverDue(now, entry, lease->second)) return;
      out.push_back(MakeClaim(entry.name, home->second.version, view.zone()));
      out.back().conditions.push_back(
          {PlacerView::LeaseKey(home->second.zone), lease->second.version});
    }
    next_try_[entry.name] = now + settings_.retry_interval;
  });
  return out;
}

}  // namespace chivewing
