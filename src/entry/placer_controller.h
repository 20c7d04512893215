#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/latency_histogram.h"
#include "base/time.h"
#include "entry/placement_session.h"
#include "entry/placer_callbacks.h"
#include "entry/placer_event.h"
#include "entry/placer_view.h"
#include "entry/singleton_zone_assigner.h"
#include "entry/task_lease_renewer.h"
#include "lease/lease_manager.h"

namespace chivewing {

struct PlacerControllerSettings {
  LeaseSettings lease;
  PlacementSessionSettings placer;
  SingletonZoneAssignerSettings singletons;
  // Between two batches; groups the starts that are committed together.
  Duration batch_interval = std::chrono::milliseconds(50);
  Duration initial_resend_delay = std::chrono::milliseconds(100);
};

// Holds, or waits for, the lease of the zone's placer, and places tasks while
// this host holds it. Reads no clock and does no I/O but through its ports. Not
// thread-safe.
class PlacerController {
 public:
  PlacerController(TimePoint now, PlacerControllerSettings settings,
                   PlacerCallbacks ports);

  void HandleEvent(TimePoint now, PlacerEvent& event);
  void Tick(TimePoint now);
  // When Tick is due again at the latest.
  TimePoint NextWake(TimePoint now) const;

  // Whether a planned stop has given the lease back.
  bool IsStopped() const;
  std::string DumpState(TimePoint now) const;

 private:
  struct OpenBatch {
    TableTransaction transaction;
    TimePoint sent_at;
    std::optional<TimePoint> resend_at;
    bool in_doubt = false;
  };

  void On(TimePoint now, RowsUpdated& event);
  void On(TimePoint now, WorkerListReceived& event);
  void On(TimePoint now, PlacerRefreshCompleted& event);
  void On(TimePoint now, RankChanged& event);
  void On(TimePoint now, PlacerCommitCompleted& event);
  void On(TimePoint now, WorkerResponseReceived& event);
  void On(TimePoint now, PlacerStopRequested& event);
  void On(TimePoint now, StateDumpRequested& event);

  void Apply(LeaseManager::Effects& effects);
  void TryLead(TimePoint now);
  void EndLeading();
  void SendBatch(TimePoint now);
  void ResendBatch(TimePoint now);
  void OnBatchAnswer(TimePoint now, const CommitResponse& answer);
  void PublishBatch(std::uint64_t revision);
  void KeepLeases(TimePoint now);
  ClockReading Clock(TimePoint now) const;

  PlacerControllerSettings settings_;
  PlacerCallbacks ports_;
  PlacerView view_;
  LeaseManager lease_;
  TaskLeaseRenewer task_lease_renewer_;
  SingletonZoneAssigner singletons_;
  std::unique_ptr<PlacementSession> leading_;
  // The epoch whose refresh is awaited, and whether it has come.
  std::optional<std::uint64_t> refreshing_;
  bool refreshed_ = false;
  std::optional<OpenBatch> batch_;
  TimePoint next_batch_;
  std::uint64_t next_write_ = 1;
  std::size_t rank_ = 0;
  bool stopping_ = false;
  LatencyHistogram commit_time_;
  std::uint64_t batches_ = 0;
};

}  // namespace chivewing
