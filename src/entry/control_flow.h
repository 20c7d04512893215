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
#include "entry/catalogue_desk.h"
#include "entry/control_event.h"
#include "entry/control_ports.h"
#include "entry/instance_directory.h"
#include "entry/job_desk.h"
#include "entry/row_feed.h"
#include "membership/share_keeper.h"

namespace chivewing {

struct ConfiguredHost {
  HostId host;
  ZoneId zone;
  std::string address;
};

struct ControlFlowSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::vector<ConfiguredHost> peers;
  Duration poll_interval = std::chrono::seconds(1);
  Duration hosts_interval = std::chrono::seconds(1);
  // Without the other duties' parts a state dump is answered after this long.
  Duration state_patience = std::chrono::seconds(1);
};

// What an entry host knows and shares: rows, catalogue, instances and the
// shares by which it may use them; and the operators' and job calls. Reads no
// clock and does no I/O but through its ports. Not thread-safe.
class ControlFlow {
 public:
  ControlFlow(ControlFlowSettings settings, ControlPorts ports);

  void Handle(TimePoint now, ControlEvent& event);
  void Tick(TimePoint now);

  // Whether a planned stop has handed all shares over.
  bool IsStopped() const { return keeper_.IsStopped(); }
  std::string State(TimePoint now) const;

 private:
  struct OpenState {
    TimePoint give_up;
    std::map<std::string, std::string> parts;  // JSON by name
  };

  void On(TimePoint now, OperatorCalled& event);
  void On(TimePoint now, JobCalled& event);
  void On(TimePoint now, ChangesArrived& event);
  void On(TimePoint now, HostsArrived& event);
  void On(TimePoint now, RowsArrived& event);
  void On(TimePoint now, ControlCommitted& event);
  void On(TimePoint now, RowsCommitted& event);
  void On(TimePoint now, InstanceDrained& event);
  void On(TimePoint now, RefreshAsked& event);
  void On(TimePoint now, PeerEvent& event);
  void On(TimePoint now, ControlStop& event);
  void On(TimePoint now, StatePart& event);
  void On(TimePoint now, StateAsked& event);

  void OnPeer(TimePoint now, PeerMessageReceived& event);
  void OnPeer(TimePoint now, PeerUp& event);
  void OnPeer(TimePoint now, PeerDown& event);

  void Apply(TimePoint now, RowFeed::Effects& effects);
  void OnRowChanged(TimePoint now, const TableRow& row);
  void OnTaskRow(TimePoint now, const TableRow& row);
  void OnCatalogueRow(const TableRow& row);
  void Apply(TimePoint now, ShareKeeper::Effects& effects);
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

  ControlFlowSettings settings_;
  ControlPorts ports_;
  RowFeed feed_;
  Catalogue catalogue_;
  InstanceDirectory instances_;
  ShareKeeper keeper_;
  CatalogueDesk catalogue_desk_;
  JobDesk job_desk_;
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
