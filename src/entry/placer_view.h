#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "catalogue/catalogue.h"
#include "entry/job_row.h"
#include "entry/task_row.h"
#include "entry/worker_directory.h"
#include "store/table.h"

namespace chivewing {

// The zone that runs a singleton: the value of a row singleton/ENTRY.
struct SingletonZone {
  ZoneId zone;
  std::uint64_t version = 0;
};

// The lease row of a zone's placer, as seen by this process.
struct ZoneLease {
  std::uint64_t version = 0;
  TimePoint seen_at;  // when this version was first read
};

// Decoded copy of the rows that a placer needs: catalogue, tasks, jobs, job
// statuses, singleton zones and placer leases, plus the zone's workers. Every
// entry host keeps it, whether or not it holds the placer lease. Does no I/O;
// runs on the placer's thread.
class PlacerView {
 public:
  explicit PlacerView(ZoneId zone) : zone_(std::move(zone)) {}

  void OnRow(TimePoint now, const TableRow& row);

  const ZoneId& zone() const { return zone_; }
  const Catalogue& catalogue() const { return catalogue_; }
  const std::map<TaskId, TaskRow>& tasks() const { return tasks_; }
  const std::map<JobId, JobRow>& jobs() const { return jobs_; }
  const std::map<JobId, JobStatusRow>& statuses() const { return statuses_; }
  const std::map<EntryName, SingletonZone>& singleton_zones() const {
    return singleton_zones_;
  }
  const std::map<ZoneId, ZoneLease>& leases() const { return leases_; }
  WorkerDirectory& workers() { return workers_; }
  const WorkerDirectory& workers() const { return workers_; }

  static std::string SingletonKey(const EntryName& entry);
  static std::string LeaseKey(const ZoneId& zone);

 private:
  template <typename Key, typename Value>
  static void PutOrErase(std::map<Key, Value>& rows, const Key& key,
                         std::optional<Value> value);

  ZoneId zone_;
  Catalogue catalogue_;
  std::map<TaskId, TaskRow> tasks_;
  std::map<JobId, JobRow> jobs_;
  std::map<JobId, JobStatusRow> statuses_;
  std::map<EntryName, SingletonZone> singleton_zones_;
  std::map<ZoneId, ZoneLease> leases_;
  WorkerDirectory workers_;
};

}  // namespace chivewing
