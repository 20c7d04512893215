#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "entry/job_specs.h"
#include "entry/pending_rows.h"
#include "entry/placer_ports.h"
#include "entry/placer_view.h"
#include "placement/placer.h"
#include "workers/worker_link.h"

namespace chivewing {

struct ZonePlacerSettings {
  PlacerOptions options;
  WorkerLinkSettings link;
  // Starts committed together at most, not counting the rest of a gang.
  std::size_t starts_max = 256;
  // From telling everybody that an instance leaves to its stop.
  Duration drain = std::chrono::seconds(3);
  Duration explain_interval = std::chrono::seconds(2);
  std::size_t explain_max = 200;  // waiting jobs explained at once
  // How long rows of ended jobs are kept.
  std::chrono::milliseconds keep_ended = std::chrono::hours(1);
};

// The work of the holder of a zone's placer lease, for one epoch: feeds rows
// and workers to the placer, keeps the rows that it wants written, and talks to
// the workers. Made after a refresh of the rows that began when the lease was
// held, so that it knows every row of earlier epochs; dropped when the lease is
// lost.
class ZonePlacer {
 public:
  ZonePlacer(const ClockPair& clock, ZonePlacerSettings settings,
             PlacerPorts ports, std::uint64_t epoch, const PlacerView& view);
  ~ZonePlacer();
  ZonePlacer(const ZonePlacer&) = delete;
  ZonePlacer& operator=(const ZonePlacer&) = delete;

  // A changed row, already in the view.
  void OnRow(const ClockPair& clock, const TableRow& row);
  // The list of workers, already in the view, or time, has changed them.
  void OnWorkers(TimePoint now);
  void OnWorkerGone(TimePoint now, const WorkerId& worker);
  void OnWorkerReply(TimePoint now, const WorkerReply& reply);

  // Writes that are to be committed now, decisions included; empty when there
  // are none. One batch is open at a time, until OnBatchCommitted. A batch that
  // is not committed ends with the lease, and so with this object.
  std::vector<TableWrite> TakeWrites(TimePoint now);
  void OnBatchCommitted(TimePoint now);

  // Talks to the workers. Called only while the lease is held.
  void TalkToWorkers(TimePoint now);
  void Tick(const ClockPair& clock);

  // JSON object.
  std::string State(TimePoint now) const;

 private:
  struct TaskRecord {
    TaskRow row;
    bool lapses = false;
    std::optional<TimePoint>
        stop_at;  // when an instance that drains is stopped
    bool checkpoint = false;
  };

  void Load(const ClockPair& clock);
  void LoadEntries(const ClockPair& clock);
  void LoadTasks(TimePoint now);
  void SyncEntry(const ClockPair& clock, const EntryName& name);
  void SyncQuota(const CatalogueEntry& entry);
  bool BelongsHere(const CatalogueEntry& entry) const;
  void SyncJob(const ClockPair& clock, const JobId& job);
  void DropJob(TimePoint now, const JobId& job);
  void UpsertWorker(TimePoint now, const PlatformHost& host);
  WorkerLink* LinkOf(const WorkerId& worker);

  void Apply(TimePoint now, Effects& effects);
  void Do(TimePoint now, StartTask& effect);
  void Do(TimePoint now, LaunchTask& effect);
  void Do(TimePoint now, DropTask& effect);
  void Do(TimePoint now, StopTask& effect);
  void Do(TimePoint now, ThrottleTask& effect);
  void Do(TimePoint now, JobFinished& effect);
  void Do(TimePoint now, JobRefused& effect);
  void Do(TimePoint now, JobUnplaceable& effect);
  void Do(TimePoint now, JobHeldBack& effect);
  void Do(TimePoint now, ProbeWorker& effect);
  void Do(TimePoint now, WorkerQuarantined& effect);
  void Do(TimePoint now, WorkerReadmitted& effect);

  void Apply(TimePoint now, const WorkerId& worker,
             WorkerLink::Effects& effects);
  void OnWorker(TimePoint now, const WorkerId& worker, WorkerCall& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskRuns& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskRefused& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskOver& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskSilent& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskLeaseOver& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, TaskUsage& effect);
  void OnWorker(TimePoint now, const WorkerId& worker, WorkerFenced& effect);

  void EraseTask(const TaskId& task);
  void StopDrained(TimePoint now);
  void ExplainJobs(TimePoint now);
  void SweepEnded(const ClockPair& clock);
  bool IsProbe(const TaskId& task) const;

  ZonePlacerSettings settings_;
  PlacerPorts ports_;
  std::uint64_t epoch_;
  const PlacerView& view_;
  Placer placer_;
  std::map<WorkerId, WorkerLink> links_;
  std::map<TaskId, TaskRecord> tasks_;
  PendingRows rows_;
  std::optional<BatchId> batch_;  // starts in the open batch
  bool batch_open_ = false;
  std::map<TaskId, WorkerId> probes_;
  std::uint64_t next_probe_ = 1;
  TimePoint next_explain_;
  TimePoint next_sweep_;
};

}  // namespace chivewing
