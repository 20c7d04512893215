#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_settings.h"
#include "cluster/platform_interface.h"
#include "cluster/table_watcher.h"
#include "dispatch/dispatcher.h"
#include "lease/lease_manager.h"

namespace chivewing {

// Holds, or waits for, the dispatcher's lease; while it is held, runs the
// dispatcher: carries out its effects and writes its progress to the table.
class DispatcherRunner {
 public:
  using Post = std::function<void(std::function<void(TimePoint)>)>;
  struct Callbacks {
    Post post{};
    std::function<std::chrono::milliseconds()> wall_clock{};
    // Rows that were just committed; `own` has applied them already.
    std::function<void(TimePoint, const std::vector<TableRow>&)>
        on_rows_committed{};
    // Puts a question to the advice service, here or at a peer.
    std::function<void(const AdviceRequest&)> request_advice{};
  };

  DispatcherRunner(TimePoint now, const ClusterSettings& settings,
                   std::uint64_t incarnation, const PlatformInterface& ports,
                   TableWatcher& rows, Callbacks hooks);

  // A row of the table, newer than any before of its key.
  void OnRow(TimePoint now, const TableRow& row);
  void OnAdvice(TimePoint now, std::uint64_t ask, const AdviceResponse& answer);
  void set_advice_hosts(std::set<HostId> askers);
  void set_rank(std::size_t rank) { lease_.set_rank(rank); }

  TimePoint Tick(TimePoint now);
  // Planned stop: gives the lease back.
  void Stop(TimePoint now);
  bool IsStopped() const { return lease_.IsStopped(); }
  bool dispatching() const { return dispatcher_ != nullptr; }
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }

 private:
  // One take-over: what has to be read before the dispatcher can begin.
  struct TakeOver {
    std::uint64_t epoch = 0;
    bool rows_read = false;
    bool workers_read = false;
    std::uint64_t first_new_version = 0;
    WorkerListUpdate workers{};
  };

  void TickLease(TimePoint now);
  void CarryOutLease(TimePoint now, std::vector<LeaseEffect>& effects);
  void Commit(const TableTransaction& transaction);
  void OnCommit(TimePoint now, const TableTransaction& transaction,
                const CommitResponse& answer);
  void BeginTakeOver(TimePoint now, std::uint64_t epoch);
  void ReadWorkers(TimePoint now);
  void ContinueTakeOver(TimePoint now);
  void AddKnownJobs(TimePoint now, std::uint64_t first_new_version);
  void AddJobRow(TimePoint now, const TableRow& row, bool uncertain);
  void TakeWaitingJobs(TimePoint now);
  void DropDispatcher(TimePoint now, const std::string& why);

  void WatchWorkers(TimePoint now);
  void OnWorkers(TimePoint now, const WorkerListUpdate& news);
  void Apply(TimePoint now, const WorkerListUpdate& news);
  void SaveProgress(TimePoint now);
  void OnBatchAnswer(TimePoint now, const CommitResponse& answer);
  void ApplyBatch(TimePoint now, std::uint64_t version);

  void CarryOut(const DispatchEffects& effects);
  void CarryOut(const StartRun& order);
  void CarryOut(const StopRun& order);
  void CarryOut(const PaceRun& order);
  void CarryOut(const PollWorker& order);
  void CarryOut(const AdviceRequest& ask);
  template <typename Answer, typename Function>
  std::function<void(Answer)> ToDispatcher(std::uint64_t fence,
                                           Function function);

  const ClusterSettings settings_;
  const PlatformInterface& ports_;
  TableWatcher& rows_;
  Callbacks hooks_;
  LeaseManager lease_;
  std::optional<TakeOver> take_over_;
  std::unique_ptr<Dispatcher> dispatcher_;
  // Answers that were asked for by an earlier dispatcher are dropped.
  std::uint64_t term_ = 0;
  std::set<HostId> askers_;
  // Jobs that came while the lease was not held: another host may have them.
  std::vector<TableRow> waiting_jobs_;

  std::uint64_t workers_revision_ = 0;
  bool workers_open_ = false;
  TimePoint workers_next_{};

  // The batch on its way to the table.
  std::optional<ProgressWriteBatch> batch_;
  TableTransaction batch_transaction_{};
  std::uint64_t batch_term_ = 0;  // of the dispatcher that made it
  bool batch_open_ = false;
  bool batch_in_doubt_ = false;
  TimePoint batch_next_{};
  std::uint64_t next_write_ = 1;
  std::string write_prefix_;
};

}  // namespace chivewing
