#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/worker_messages.h"

namespace chivewing {

// A start of a task that may be going on.
struct Run {
  std::uint64_t id = 0;
  TaskRunKey key{};
  WorkerId worker{};
  Resources held{};  // of the worker's room
  bool is_copy = false;
  // Its job is not known here yet, and so its size is not either.
  bool orphaned = false;

  // The start.
  std::string ticket{};
  std::string saved{};
  WorkerTimestamp deadline{0};
  bool acknowledged = false;  // the worker has it, or had it
  TimePoint acknowledged_at{};
  std::size_t unanswered_sends = 0;  // copies of the order without an answer
  std::size_t send_count = 0;
  bool start_in_flight = false;  // an answer is awaited
  TimePoint next_send{};

  // The stop.
  bool stop_requested = false;
  bool stop_confirmed = false;
  TimePoint stop_confirmed_at{};
  bool stop_in_flight = false;
  TimePoint next_stop{};

  // As last listed.
  int percent = 0;
  double load = 0;
  int pace = 100;
  TimePoint listed_at{};
  TimePoint last_progress_at{};  // when its percent last rose
};

// All runs that may be going on, by id, by worker and by name.
class RunTable {
 public:
  Run& Add(Run run);
  Run* Find(std::uint64_t id);
  Run* Find(const WorkerId& worker, const TaskRunKey& key);
  const std::set<std::uint64_t>& OnWorker(const WorkerId& worker) const;
  // Whether a run of unknown size is there.
  bool HasOrphan(const WorkerId& worker) const;
  std::vector<std::uint64_t> OrphansOf(const JobId& job) const;
  // The run's job is known from now on.
  void SetAttached(std::uint64_t id);
  const std::set<std::uint64_t>& orphans() const { return orphans_; }
  void Remove(std::uint64_t id);
  const std::map<std::uint64_t, Run>& all() const { return runs_; }

  // Runs whose order to start or stop may have to be sent.
  const std::set<std::uint64_t>& pending_commands() const {
    return pending_commands_;
  }
  void SetCommandPending(std::uint64_t id, bool pending);

 private:
  std::map<std::uint64_t, Run> runs_;
  std::map<std::pair<WorkerId, TaskRunKey>, std::uint64_t> by_key_;
  std::map<WorkerId, std::set<std::uint64_t>> by_worker_;
  std::set<std::uint64_t> pending_commands_;
  std::set<std::uint64_t> orphans_;
  std::uint64_t last_id_ = 0;
};

}  // namespace chivewing
