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
  // Without the other duties' parts a state dump is answered after this long.
  Duration state_dump_timeout = std::chrono::seconds(1);
};

// What an entry host knows and shares: rows, catalogue, instances and the
// shares by which it may use them; and the operators' and job calls. Reads no
// clock and does no I/O but through its ports. Not thread-safe.
class ControlPlaneController {
 public:
  ControlPlaneController(ControlPlaneSettings settings,
                         ControlPlaneCallbacks ports);

  void HandleEvent(TimePoint now, ControlPlaneEvent& event);
  void Tick(TimePoint now);

  // Whether a planned stop has handed all shares over.
  bool IsStopped() const { return keeper_.IsStopped(); }
  std::string DumpState(TimePoint now) const;

 private:
  struct OpenState {
    TimePoint give_up;
    std::map<std::string, std::string> parts;  // JSON by name
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

  void OnPeer(TimePoint now, PeerMessageReceived& event);
  void OnPeer(TimePoint now, PeerUp& event);
  void OnPeer(TimePoint now, PeerDown& event);

  void Apply(TimePoint now, RowCacheUpdater::Effects& effects);
  void OnRowChanged(TimePoint now, const TableRow& row);
  void OnTaskRow(TimePoint now, const TableRow& row);
  void OnCatalogueRow(const TableRow& row);
  void Apply(TimePoint now, AssignmentManager::Effects& effects);
  void TellView(const InstanceId& instance, bool taken_over);
  void RefreshViews();
  void TellServices();
  void FlushPlacerRows();
  void TellRank();
  void Keep(const std::vector<TableRow>& rows);
  void FlushPublished(TimePoint now);
  // Tells peers of committed rows: those of tasks the zone, others everybody.
  void PushRows(std::vector<TableRow> rows);
  void AnswerState(std::uint64_t call);

  ControlPlaneSettings settings_;
  ControlPlaneCallbacks ports_;
  RowCacheUpdater feed_;
  Catalogue catalogue_;
  InstanceDirectory instances_;
  AssignmentManager keeper_;
  CatalogueRequestHandler catalogue_request_handler_;
  JobRequestHandler job_request_handler_;
  // Instances that this host may use, with the epoch of the share.
  std::map<InstanceId, std::uint64_t> held_;
  std::set<InstanceId> draining_;
  std::vector<TableRow> published_;    // committed by the desks, to be told
  std::vector<TableRow> placer_rows_;  // to be told to the placer
  bool services_changed_ = true;
  bool views_changed_ = false;
  bool hosts_open_ = false;
  TimePoint next_hosts_;
  std::optional<std::size_t> told_rank_;
  std::map<std::uint64_t, OpenState> open_states_;  // by call
  bool stopping_ = false;
};

}  // namespace chivewing
