#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/placer_view.h"
#include "store/table.h"

namespace chivewing {

struct SingletonZoneAssignerSettings {
  std::string write_id_prefix;  // makes this process's write ids unique
  std::vector<ZoneId> zones;    // all zones of the cell
  // Longest time that a singleton may keep running after the last renewal of
  // its zone's placer lease: the placer lease, the task lease and all margins.
  Duration max_run_time_after_renewal = std::chrono::seconds(30);
  Duration retry_interval = std::chrono::seconds(1);
};

// Decides in which zone each singleton runs. The row singleton/ENTRY names the
// zone: initially the first zone of the entry. Another zone takes the singleton
// over only if the entry's policy allows fail-over and the lease row of the
// assigned zone's placer has not changed for so long that the singleton's lease
// there has expired. The takeover is conditional on that lease row, so it fails
// if the assigned zone has renewed it meanwhile. No I/O; not thread-safe.
class SingletonZoneAssigner {
 public:
  explicit SingletonZoneAssigner(SingletonZoneAssignerSettings settings);

  // Transactions that the caller commits now. Their responses need no handling:
  // the committed rows show which took effect.
  std::vector<TableTransaction> Decide(TimePoint now, const PlacerView& view);

 private:
  std::vector<ZoneId> AllowedZones(const CatalogueEntry& entry) const;
  bool IsTakeoverDue(TimePoint now, const CatalogueEntry& entry,
                     const ZoneLease& lease) const;
  TableTransaction MakeZoneTransaction(const EntryName& entry,
                                       std::uint64_t version,
                                       const ZoneId& zone);

  SingletonZoneAssignerSettings settings_;
  std::map<EntryName, TimePoint> next_attempt_;
  std::uint64_t next_write_number_ = 1;
};

}  // namespace chivewing
