#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_settings.h"
#include "cluster/decision_pacer.h"
#include "cluster/late_row_monitor.h"
#include "cluster/lease_keeper.h"
#include "cluster/loop_monitor.h"
#include "cluster/platform_interface.h"
#include "cluster/progress_writer.h"
#include "cluster/registration_filter.h"
#include "cluster/shared_time_of_day.h"
#include "cluster/table_watcher.h"
#include "dispatch/dispatcher.h"

namespace chivewing {

// Zone of the dispatcher's lease: one dispatcher serves all zones.
inline constexpr const char* kDispatcherZone = "all";

// Acquires and renews the dispatcher's lease. While the lease is held, runs the
// dispatcher: executes its effects through the platform and commits its
// progress to the table. Runs on the thread of its owner.
class DispatcherRunner {
 public:
  using Post = std::function<void(LoopWork, std::function<void(TimePoint)>)>;
  struct Callbacks {
    Post post{};
    // Makes the owner call Tick soon. Must not block.
    std::function<void(LoopWork)> wake{};
    std::function<std::chrono::milliseconds()> wall_clock{};
    // Called with the rows of each committed progress batch.
    std::function<void(TimePoint, const std::vector<TableRow>&)>
        on_rows_committed{};
    // Sends a request to the advice service, from this host or from a peer.
    std::function<void(const AdviceRequest&)> request_advice{};
    // Called when a dispatcher has ended: none of its calls is to be made.
    std::function<void()> drop_calls{};
  };

  DispatcherRunner(TimePoint now, const ClusterSettings& settings,
                   std::uint64_t incarnation, const PlatformInterface& platform,
                   TableWatcher& table_watcher, Callbacks callbacks);

  // Called for each row of the table that is newer than the known one of its
  // key.
  void OnRow(TimePoint now, const TableRow& row);
  void OnAdvice(TimePoint now, std::uint64_t request_id,
                const AdviceResponse& response);
  void set_advice_hosts(std::set<HostId> advice_hosts);
  // The newest desired state that this host has read; it may be the same as
  // before.
  void OnDesiredState(TimePoint now, const DesiredState& state);
  void set_rank(std::size_t rank) { lease_.set_rank(rank); }

  // The thread that keeps the lease. It posts to the owner's thread and must be
  // stopped before it.
  void StartLease(TimeSource clock) { lease_.Start(std::move(clock)); }
  void StopLease() { lease_.Stop(); }

  TimePoint Tick(TimePoint now);
  // The last Tick has ended at `end` and has taken `spent`.
  void OnTickMeasured(TimePoint end, Duration spent);
  // True while this host dispatches and its decisions take most of the time
  // that they may: callers should be refused rather than accepted.
  bool overloaded() const { return dispatcher_ && pacer_.overloaded(); }
  // Stops dispatching and releases the lease for a stronger host. Without the
  // lease it goes on: no other host can take it while the table is away.
  void HandOver(TimePoint now);
  // Graceful stop: stops dispatching and releases the lease.
  void Stop(TimePoint now);
  bool IsStopped() const { return lease_.state().stopped; }
  bool dispatching() const { return dispatcher_ != nullptr; }
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  // Rows that were in the table before the lease, and came after the take-over.
  std::uint64_t late_rows() const { return late_rows_.count(); }
  // Entries of the list of workers that are not used.
  std::size_t registrations_held_back() const {
    return registration_filter_.held_back();
  }
  // The dispatcher's queues and the rest of its lease, for the log.
  std::string LoadSummary(TimePoint now) const;

 private:
  // No earlier dispatcher knows a job whose row is newer than this version of
  // the table, or that was accepted at this time or later.
  struct CertainFrom {
    std::uint64_t version = 0;
    TimePoint accepted_at = TimePoint::max();
  };
  // A take-over in progress: what must be read before the dispatcher starts.
  struct TakeOver {
    std::uint64_t epoch = 0;
    TimePoint begun_at{};
    bool rows_read = false;
    bool workers_read = false;
    CertainFrom certain_from{};
    TimePoint predecessor_ended_by{};  // on this host's clock
    WorkerListUpdate workers{};
  };

  struct KnownJobs {
    std::vector<JobRecord> jobs{};
    bool all_read = true;  // false if a row could not be decoded
  };

  void TickLease(TimePoint now);
  void OnLeaseAcquired(TimePoint now, const LeaseKeeper::State& lease);
  void BeginTakeOver(TimePoint now, const LeaseKeeper::State& lease);
  void ReadWorkers(TimePoint now);
  void ContinueTakeOver(TimePoint now);
  void LogTakeOver(TimePoint now, const TakeOver& take_over) const;
  void AbandonTakeOver();
  KnownJobs ReadKnownJobs();
  void AdoptKnownWorkers(TimePoint now, const TakeOver& take_over,
                         bool all_jobs_read);
  void AddJobRow(TimePoint now, const TableRow& row);
  void AddJob(TimePoint now, JobRecord record);
  void AddDeferredJobs(TimePoint now);
  void DropDispatcher(TimePoint now, const std::string& why);
  // Tells the dispatcher until when no other host can be dispatching. To be
  // called before it is told of a response and before it decides.
  void UpdateExclusivity();
  // True if this is a lease that is held, of the epoch under which the
  // dispatcher acts.
  bool IsDispatcherLease(TimePoint now, const LeaseKeeper::State& lease) const;

  void OnWorkers(TimePoint now, const WorkerListUpdate& update);
  WorkerListUpdate FilterRegistrations(const WorkerListUpdate& update,
                                       bool is_full_list);
  void ApplyWorkerUpdate(TimePoint now, const WorkerListUpdate& update);
  // Tells the dispatcher of workers whose service has been named since.
  void RegisterNamedWorkers(TimePoint now);
  // Returns when it must be called next.
  TimePoint SaveProgress(TimePoint now);
  void OnBatchResult(TimePoint now, std::uint64_t generation,
                     const ProgressWriteBatch& batch, BatchOutcome outcome);

  void Execute(const DispatchEffects& effects);
  void LogStart(const StartRun& command) const;
  void Execute(const StartRun& command);
  void Execute(const StopRun& command);
  void Execute(const PaceRun& command);
  void Execute(const PollWorker& command);
  void Execute(const AdviceRequest& request_id);
  template <typename Answer, typename Function>
  std::function<void(Answer)> MakeResponseCallback(std::uint64_t fence,
                                                   Function function);

  const ClusterSettings settings_;
  const PlatformInterface& platform_;
  TableWatcher& table_watcher_;
  Callbacks callbacks_;
  LeaseKeeper lease_;
  DecisionPacer pacer_;
  SharedTimeOfDay time_of_day_;
  bool decided_ = false;  // in the last Tick
  std::uint64_t acquired_epoch_ =
      0;  // of the lease that was last taken note of
  std::optional<TimePoint> reported_available_since_;
  TimePoint next_clock_update_{};
  std::optional<TakeOver> take_over_;
  std::unique_ptr<Dispatcher> dispatcher_;
  CertainFrom certain_from_{};  // of that dispatcher
  // Jobs with tasks to start that count as certain since the take-over by the
  // table's clock alone, not by the version of their row.
  std::size_t jobs_certain_by_clock_ = 0;
  LateRowMonitor late_rows_;
  // Rises with each dispatcher; responses to an earlier one are dropped.
  std::uint64_t generation_ = 0;
  std::set<HostId> advice_hosts_;
  // Job rows that arrived while the lease was not held. They are added when it
  // is held again, since another host may dispatch them until then.
  std::vector<TableRow> deferred_job_rows_;

  RegistrationFilter registration_filter_;
  std::uint64_t desired_state_version_ = 0;
  std::uint64_t workers_revision_ = 0;
  bool workers_read_in_flight_ = false;
  TimePoint next_workers_read_{};

  ProgressWriter progress_writer_;
};

}  // namespace chivewing
