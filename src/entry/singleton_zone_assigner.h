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
  std::string write_id_prefix;  // makes the write ids of this process unique
  std::vector<ZoneId> zones;    // all zones of the cell
  // Longest time for which a singleton may run on after the last renewal of its
  // placer's lease: the lease, the task's lease, and all margins.
  Duration max_run_time_after_renewal = std::chrono::seconds(30);
  Duration retry_interval = std::chrono::seconds(1);
};

// Decides in which zone each singleton runs. A row singleton/ENTRY names it:
// the first zone of the entry at first; another zone takes it over only if the
// entry may lapse, and when the lease row of the home zone's placer has not
// changed for so long that the singleton's lease has run out there. The
// take-over is conditional on that lease row, so that it fails if the home zone
// came back.
class SingletonZoneAssigner {
 public:
  explicit SingletonZoneAssigner(SingletonZoneAssignerSettings settings);

  // Transactions to be committed now. Their answers need no handling: rows tell
  // what took effect.
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
