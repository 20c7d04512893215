#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// One run of a task: a start that may be executing or still on its way.
struct Run {
  std::uint64_t id = 0;
  TaskRunKey key{};
  WorkerId worker{};
  Resources held{};  // reserved on the worker
  bool is_copy = false;
  // True while its job, and with it the size of the run, is not known here.
  bool orphaned = false;
  // The crash of its worker is counted at its task: as suspected while the
  // worker is silent, as confirmed once it is known to have restarted.
  bool isolated = false;  // started alone, since its task may crash workers
  bool proved = false;    // it has gone on for long enough without a crash
  bool crash_counted = false;
  bool crash_confirmed = false;

  // The start.
  std::string ticket{};
  std::string saved{};
  WorkerTimestamp deadline{0};
  // The incarnation that the first attempt was meant for; 0: not known.
  std::chrono::milliseconds incarnation_start{0};
  TimePoint started_at{};     // when it was decided; unset for adopted runs
  bool acknowledged = false;  // true once the worker is known to have it
  TimePoint acknowledged_at{};
  std::size_t unanswered_sends = 0;  // copies of the command without response
  std::size_t send_count = 0;
  bool start_in_flight = false;  // true while a response is awaited
  TimePoint next_send{};

  // The stop.
  bool stop_requested = false;
  bool stop_confirmed = false;
  TimePoint stop_confirmed_at{};
  bool stop_in_flight = false;
  TimePoint next_stop{};

  // As the run table has indexed it; see RunTable::UpdateCommand.
  bool command_pending = false;
  std::optional<TimePoint> command_due{};

  // As last listed by the worker; see ActiveRunReport.
  int percent = 0;
  double load = 0;
  int pace = 100;
  TimePoint listed_at{};
  TimePoint last_progress_at{};  // when `percent` last rose
};

// All runs that may be executing, indexed by id, by worker and by key. Does no
// I/O.
class RunTable {
 public:
  Run& Add(Run run);
  Run* Find(std::uint64_t id);
  Run* Find(const WorkerId& worker, const TaskRunKey& key);
  const std::set<std::uint64_t>& OnWorker(const WorkerId& worker) const;
  // True if a run of unknown size is on the worker.
  bool HasOrphan(const WorkerId& worker) const;
  std::vector<std::uint64_t> OrphansOf(const JobId& job) const;
  // The run's job has become known.
  void SetAttached(std::uint64_t id);
  const std::set<std::uint64_t>& orphans() const { return orphans_; }
  void Remove(std::uint64_t id);
  const std::map<std::uint64_t, Run>& all() const { return runs_; }

  // To be called after each change of a run's start or stop.
  void UpdateCommand(Run& run);
  // The run is to be stopped, at once. Returns false if it was already.
  bool RequestStop(Run& run);
  // Runs whose start or stop command is due at `now`, in the order in which
  // they became due.
  std::vector<std::uint64_t> DueCommands(TimePoint now) const;
  // When the next command is due that no response is awaited for.
  TimePoint next_command() const;
  // The number of runs whose start or stop command is not confirmed yet.
  std::size_t pending_commands() const { return pending_commands_; }

 private:
  void EraseOrphan(const Run& run);
  void EraseCommand(const Run& run);

  std::map<std::uint64_t, Run> runs_;
  std::map<std::pair<WorkerId, TaskRunKey>, std::uint64_t> by_key_;
  std::map<WorkerId, std::set<std::uint64_t>> by_worker_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_commands_;
  std::size_t pending_commands_ = 0;
  std::set<std::uint64_t> orphans_;
  std::map<WorkerId, std::size_t> orphans_by_worker_;
  std::uint64_t last_id_ = 0;
};

}  // namespace chivewing
