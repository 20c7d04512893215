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
                   PlacerCallbacks callbacks);

  void HandleEvent(TimePoint now, PlacerEvent& event);
  void Tick(TimePoint now);
  // When Tick is due again at the latest.
  TimePoint NextWake(TimePoint now) const;

  // Whether a planned stop has given the lease back.
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
  // The epoch whose refresh is awaited, and whether it has come.
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
