#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "catalogue/catalogue.h"
#include "entry/catalogue_request_handler.h"
#include "entry/control_plane_callbacks.h"
#include "entry/control_plane_event.h"
#include "entry/instance_directory.h"
#include "entry/job_request_handler.h"
#include "entry/row_cache_updater.h"
#include "membership/assignment_manager.h"

namespace chivewing {

struct ConfiguredHost {
  HostId host;
  ZoneId zone;
  std::string address;
};

struct ControlPlaneSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::vector<ConfiguredHost> peers;
  Duration poll_interval = std::chrono::seconds(1);
  Duration host_list_interval = std::chrono::seconds(1);
  // A state dump is answered after this time even if parts of other event loops
  // are missing.
  Duration state_dump_timeout = std::chrono::seconds(1);
};

// Control plane of an entry host. Keeps the copies of the table's rows, the
// catalogue and the service instances, manages the assignments by which this
// host may use instances, and serves operator requests and job requests. Inputs
// are ControlPlaneEvents and Tick; output goes through the callbacks. Reads no
// monotonic clock and does no I/O of its own. Runs on one thread.
class ControlPlaneController {
 public:
  ControlPlaneController(ControlPlaneSettings settings,
                         ControlPlaneCallbacks callbacks);

  void HandleEvent(TimePoint now, ControlPlaneEvent& event);
  void Tick(TimePoint now);

  // True once a planned stop has released all assignments.
  bool IsStopped() const { return assignments_.IsStopped(); }
  std::string DumpState(TimePoint now) const;

 private:
  struct PendingStateDump {
    TimePoint deadline;
    std::map<std::string, std::string> parts;  // JSON by part name
  };

  void On(TimePoint now, OperatorRequestReceived& event);
  void On(TimePoint now, JobRequestReceived& event);
  void On(TimePoint now, ChangesReceived& event);
  void On(TimePoint now, HostListReceived& event);
  void On(TimePoint now, RowReadCompleted& event);
  void On(TimePoint now, ControlCommitCompleted& event);
  void On(TimePoint now, RowsCommitted& event);
  void On(TimePoint now, InstanceDrained& event);
  void On(TimePoint now, RefreshRequested& event);
  void On(TimePoint now, PeerEvent& event);
  void On(TimePoint now, ControlStopRequested& event);
  void On(TimePoint now, StateDumpPart& event);
  void On(TimePoint now, StateDumpRequested& event);

  void OnPeerEvent(TimePoint now, PeerMessageReceived& event);
  void OnPeerEvent(TimePoint now, PeerUp& event);
  void OnPeerEvent(TimePoint now, PeerDown& event);

  void Apply(TimePoint now, RowCacheUpdater::Effects& effects);
  void OnRowChanged(TimePoint now, const TableRow& row);
  void OnTaskRow(TimePoint now, const TableRow& row);
  void OnCatalogueRow(const TableRow& row);
  void Apply(TimePoint now, AssignmentManager::Effects& effects);
  void PostInstance(const InstanceId& instance, bool taken_over);
  void PostAllInstances();
  void PostServices();
  void PostPlacerRows();
  void PostRank();
  void QueueCommittedRows(const std::vector<TableRow>& rows);
  void FlushCommittedRows(TimePoint now);
  // Sends committed rows to peers: task rows to the hosts of this zone, other
  // rows to all peers.
  void PushRows(std::vector<TableRow> rows);
  void RespondWithState(std::uint64_t call_id);

  ControlPlaneSettings settings_;
  ControlPlaneCallbacks callbacks_;
  RowCacheUpdater row_updater_;
  Catalogue catalogue_;
  InstanceDirectory instances_;
  AssignmentManager assignments_;
  CatalogueRequestHandler catalogue_handler_;
  JobRequestHandler job_handler_;
  // Instances assigned to this host, with the epoch of the assignment.
  std::map<InstanceId, std::uint64_t> assignment_epochs_;
  std::set<InstanceId> draining_instances_;
  std::vector<TableRow>
      committed_rows_;  // committed by the handlers, not yet pushed to peers
  std::vector<TableRow>
      rows_for_placer_;  // changed, not yet posted to the placer
  bool services_changed_ = true;
  bool instances_changed_ = false;
  bool host_list_in_flight_ = false;
  TimePoint next_host_list_at_;
  std::optional<std::size_t> posted_rank_;
  std::map<std::uint64_t, PendingStateDump> pending_state_dumps_;  // by call id
  bool stopping_ = false;
};

}  // namespace chivewing
