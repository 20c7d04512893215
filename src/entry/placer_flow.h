#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/latency_histogram.h"
#include "base/time.h"
#include "entry/lease_keeper.h"
#include "entry/placer_event.h"
#include "entry/placer_ports.h"
#include "entry/placer_view.h"
#include "entry/singleton_claims.h"
#include "entry/zone_placer.h"
#include "lease/lease_holder.h"

namespace chivewing {

struct PlacerFlowSettings {
  LeaseSettings lease;
  ZonePlacerSettings placer;
  SingletonClaimSettings singletons;
  // Between two batches; groups the starts that are committed together.
  Duration batch_interval = std::chrono::milliseconds(50);
  Duration first_resend = std::chrono::milliseconds(100);
};

// Holds, or waits for, the lease of the zone's placer, and places tasks while
// this host holds it. Reads no clock and does no I/O but through its ports. Not
// thread-safe.
class PlacerFlow {
 public:
  PlacerFlow(TimePoint now, PlacerFlowSettings settings, PlacerPorts ports);

  void Handle(TimePoint now, PlacerEvent& event);
  void Tick(TimePoint now);
  // When Tick is due again at the latest.
  TimePoint NextWake(TimePoint now) const;

  // Whether a planned stop has given the lease back.
  bool IsStopped() const;
  std::string State(TimePoint now) const;

 private:
  struct OpenBatch {
    TableTransaction transaction;
    TimePoint sent_at;
    std::optional<TimePoint> resend_at;
    bool in_doubt = false;
  };

  void On(TimePoint now, RowsSeen& event);
  void On(TimePoint now, WorkersSeen& event);
  void On(TimePoint now, PlacerRefreshed& event);
  void On(TimePoint now, RankChanged& event);
  void On(TimePoint now, PlacerCommitted& event);
  void On(TimePoint now, WorkerReplied& event);
  void On(TimePoint now, PlacerStop& event);
  void On(TimePoint now, StateAsked& event);

  void Apply(LeaseHolder::Effects& effects);
  void TryLead(TimePoint now);
  void EndLeading();
  void SendBatch(TimePoint now);
  void ResendBatch(TimePoint now);
  void OnBatchAnswer(TimePoint now, const CommitAnswer& answer);
  void PublishBatch(std::uint64_t revision);
  void KeepLeases(TimePoint now);
  ClockPair Clock(TimePoint now) const;

  PlacerFlowSettings settings_;
  PlacerPorts ports_;
  PlacerView view_;
  LeaseHolder lease_;
  LeaseKeeper lease_keeper_;
  SingletonClaims singletons_;
  std::unique_ptr<ZonePlacer> leading_;
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
