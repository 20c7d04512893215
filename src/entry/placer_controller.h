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
  PlacementSessionSettings session;
  SingletonZoneAssignerSettings singletons;
  // Minimum time between two batches, so that task starts are committed
  // together.
  Duration batch_interval = std::chrono::milliseconds(50);
  Duration initial_resend_delay = std::chrono::milliseconds(100);
};

// Acquires and renews the lease of the zone's placer, and runs a
// PlacementSession while this host holds it. Inputs are PlacerEvents and Tick;
// output goes through the callbacks. Reads no monotonic clock and does no I/O
// of its own. Runs on one thread.
class PlacerController {
 public:
  PlacerController(TimePoint now, PlacerControllerSettings settings,
                   PlacerCallbacks callbacks);

  void HandleEvent(TimePoint now, PlacerEvent& event);
  void Tick(TimePoint now);
  // Time by which Tick must be called again.
  TimePoint NextWake(TimePoint now) const;

  // True once a planned stop has released the lease.
  bool IsStopped() const;
  std::string DumpState(TimePoint now) const;

 private:
  struct PendingBatch {
    TableTransaction transaction;
    TimePoint sent_at;
    std::optional<TimePoint> resend_at;
    bool unconfirmed = false;
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
  void TryStartSession(TimePoint now);
  void EndSession();
  void SendBatch(TimePoint now);
  void ResendBatch(TimePoint now);
  void OnBatchResponse(TimePoint now, const CommitResponse& response);
  void PublishBatch(std::uint64_t revision);
  void RenewTaskLeases(TimePoint now);
  ClockReading ReadClock(TimePoint now) const;

  PlacerControllerSettings settings_;
  PlacerCallbacks callbacks_;
  PlacerView view_;
  LeaseManager lease_;
  TaskLeaseRenewer lease_renewer_;
  SingletonZoneAssigner singletons_;
  std::unique_ptr<PlacementSession> session_;
  // Epoch whose row refresh was requested and whose session has not started;
  // refresh_completed_ is true once all those rows have been read.
  std::optional<std::uint64_t> refresh_epoch_;
  bool refresh_completed_ = false;
  std::optional<PendingBatch> pending_batch_;
  TimePoint next_batch_at_;
  std::uint64_t next_write_ = 1;
  std::size_t rank_ = 0;
  bool stopping_ = false;
  LatencyHistogram commit_time_;
  std::uint64_t batches_ = 0;
};

}  // namespace chivewing
