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
#include "entry/job_spec_builder.h"
#include "entry/pending_row_writes.h"
#include "entry/placer_callbacks.h"
#include "entry/placer_view.h"
#include "placement/placer.h"
#include "workers/worker_session.h"

namespace chivewing {

struct PlacementSessionSettings {
  PlacerOptions placer;
  WorkerSessionSettings worker_session;
  // Maximum number of task starts in one batch; a gang that has begun may
  // exceed it.
  std::size_t max_starts_per_batch = 256;
  // Time from publishing that an instance is leaving to stopping it, so that
  // hosts stop sending it requests and running requests can finish.
  Duration drain_delay = std::chrono::seconds(3);
  Duration explain_interval = std::chrono::seconds(2);
  std::size_t max_jobs_explained = 200;  // statuses refreshed per interval
  std::chrono::milliseconds ended_job_retention = std::chrono::hours(1);
};

// Runs a zone's placer for one epoch of its lease: feeds rows and workers to
// Placer, collects the rows to be written, and sends requests to the workers.
// Created after a refresh of the rows that began while the lease was held, so
// that it has every row of earlier epochs; destroyed when the lease is lost.
// Does no I/O but through its callbacks; runs on the placer's thread.
class PlacementSession {
 public:
  PlacementSession(const ClockReading& clock, PlacementSessionSettings settings,
                   PlacerCallbacks callbacks, std::uint64_t epoch,
                   const PlacerView& view);
  ~PlacementSession();
  PlacementSession(const PlacementSession&) = delete;
  PlacementSession& operator=(const PlacementSession&) = delete;

  // Handles a changed row; the view already contains it.
  void OnRow(const ClockReading& clock, const TableRow& row);
  // Handles a change of the workers, or of their use by the catalogue; the view
  // already contains it.
  void OnWorkerListChanged(TimePoint now);
  void OnWorkerRemoved(TimePoint now, const WorkerId& worker);
  void OnWorkerResponse(TimePoint now, const WorkerResponse& response);

  // Makes placement decisions and returns all writes to be committed now; empty
  // if there are none. At most one batch is pending at a time, until
  // OnBatchCommitted. If a batch is not committed, the lease has been lost, and
  // this object is destroyed with it.
  std::vector<TableWrite> TakeWrites(TimePoint now);
  void OnBatchCommitted(TimePoint now);

  // Sends the requests to workers that are due. Called only while the lease is
  // held.
  void SendWorkerRequests(TimePoint now);
  void Tick(const ClockReading& clock);

  // Returns a JSON object.
  std::string DumpState(TimePoint now) const;

 private:
  struct TaskRecord {
    TaskRow row;
    bool lease_may_expire = false;
    std::optional<TimePoint>
        stop_at;  // when the task is stopped, after any drain
    bool checkpoint = false;
  };

  void Load(const ClockReading& clock);
  void LoadEntries(const ClockReading& clock);
  void LoadTasks(TimePoint now);
  void SyncEntry(const ClockReading& clock, const EntryName& name);
  void SyncQuota(const CatalogueEntry& entry);
  bool IsPlacedHere(const CatalogueEntry& entry) const;
  void SyncJob(const ClockReading& clock, const JobId& job);
  void CancelJob(TimePoint now, const JobId& job);
  void UpsertWorker(TimePoint now, const PlatformHost& host);
  WorkerSession* FindWorkerSession(const WorkerId& worker);

  void Apply(TimePoint now, Effects& effects);
  void OnPlacerEffect(TimePoint now, CommitTaskRow& effect);
  void OnPlacerEffect(TimePoint now, LaunchTask& effect);
  void OnPlacerEffect(TimePoint now, DeleteTaskRow& effect);
  void OnPlacerEffect(TimePoint now, StopTask& effect);
  void OnPlacerEffect(TimePoint now, ThrottleTask& effect);
  void OnPlacerEffect(TimePoint now, JobFinished& effect);
  void OnPlacerEffect(TimePoint now, JobRefused& effect);
  void OnPlacerEffect(TimePoint now, JobUnplaceable& effect);
  void OnPlacerEffect(TimePoint now, JobBackoffStarted& effect);
  void OnPlacerEffect(TimePoint now, ProbeWorker& effect);
  void OnPlacerEffect(TimePoint now, WorkerQuarantined& effect);
  void OnPlacerEffect(TimePoint now, WorkerReadmitted& effect);

  void Apply(TimePoint now, const WorkerId& worker,
             WorkerSession::Effects& effects);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      WorkerRequest& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      TaskRunningConfirmed& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      TaskStartRejected& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      TaskEndConfirmed& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      TaskUnreachable& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      TaskLeaseEndConfirmed& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker, TaskUsage& effect);
  void OnWorkerEffect(TimePoint now, const WorkerId& worker,
                      EpochSuperseded& effect);

  void EraseTask(const TaskId& task);
  void StopDrainedTasks(TimePoint now);
  void ExplainJobs(TimePoint now);
  void EraseOldJobs(const ClockReading& clock);
  bool IsProbe(const TaskId& task) const;

  PlacementSessionSettings settings_;
  PlacerCallbacks callbacks_;
  std::uint64_t epoch_;
  const PlacerView& view_;
  Placer placer_;
  std::map<WorkerId, WorkerSession> worker_sessions_;
  std::map<TaskId, TaskRecord> tasks_;
  PendingRowWrites pending_writes_;
  std::optional<BatchId> starts_in_batch_;  // task starts in the pending batch
  bool batch_pending_ = false;
  std::map<TaskId, WorkerId> probes_;
  std::uint64_t next_probe_ = 1;
  TimePoint next_explain_at_;
  TimePoint next_sweep_at_;
};

}  // namespace chivewing
