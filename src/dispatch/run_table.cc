#include "dispatch/run_table.h"

namespace chivewing {
namespace {

// True while the worker has not confirmed the run's stop or, if none is wanted,
// its start.
bool IsCommandPending(const Run& run) {
  return run.stop_requested ? !run.stop_confirmed : !run.acknowledged;
}

// When the pending command is to be sent; nullopt while a response is awaited.
std::optional<TimePoint> CommandDue(const Run& run) {
  if (run.stop_requested) {
    if (run.stop_in_flight) return std::nullopt;
    return run.next_stop;
  }
  if (run.start_in_flight) return std::nullopt;
  return run.next_send;
}

}  // namespace

Run& RunTable::Add(Run run) {
  run.id = ++last_id_;
  by_key_[{run.worker, run.key}] = run.id;
  by_worker_[run.worker].insert(run.id);
  if (run.orphaned) {
    orphans_.insert(run.id);
    ++orphans_by_worker_[run.worker];
  }
  return runs_.emplace(run.id, std::move(run)).first->second;
}

Run* RunTable::Find(std::uint64_t id) {
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : &found->second;
}

Run* RunTable::Find(const WorkerId& worker, const TaskRunKey& key) {
  const auto found = by_key_.find({worker, key});
  return found == by_key_.end() ? nullptr : Find(found->second);
}

const std::set<std::uint64_t>& RunTable::OnWorker(
    const WorkerId& worker) const {
  static const std::set<std::uint64_t> none;
  const auto found = by_worker_.find(worker);
  return found == by_worker_.end() ? none : found->second;
}

bool RunTable::HasOrphan(const WorkerId& worker) const {
  return orphans_by_worker_.contains(worker);
}

void RunTable::EraseOrphan(const Run& run) {
  if (orphans_.erase(run.id) == 0) return;
  const auto count = orphans_by_worker_.find(run.worker);
  if (--count->second == 0) orphans_by_worker_.erase(count);
}

std::vector<std::uint64_t> RunTable::OrphansOf(const JobId& job) const {
  std::vector<std::uint64_t> out;
  for (const std::uint64_t id : orphans_) {
    if (runs_.at(id).key.task.job == job) out.push_back(id);
  }
  return out;
}

void RunTable::SetAttached(std::uint64_t id) {
  Run& run = *Find(id);
  run.orphaned = false;
  EraseOrphan(run);
}

void RunTable::Remove(std::uint64_t id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  const Run& run = found->second;
  by_key_.erase({run.worker, run.key});
  const auto worker = by_worker_.find(run.worker);
  worker->second.erase(id);
  if (worker->second.empty()) by_worker_.erase(worker);
  EraseCommand(run);
  EraseOrphan(run);
  runs_.erase(found);
}

void RunTable::EraseCommand(const Run& run) {
  if (run.command_pending) --pending_commands_;
  if (run.command_due) due_commands_.erase({*run.command_due, run.id});
}

void RunTable::UpdateCommand(Run& run) {
  EraseCommand(run);
  run.command_pending = IsCommandPending(run);
  run.command_due = run.command_pending ? CommandDue(run) : std::nullopt;
  if (run.command_pending) ++pending_commands_;
  if (run.command_due) due_commands_.insert({*run.command_due, run.id});
}

bool RunTable::RequestStop(Run& run) {
  if (run.stop_requested) return false;
  run.stop_requested = true;
  run.next_stop = TimePoint{};
  UpdateCommand(run);
  return true;
}

std::vector<std::uint64_t> RunTable::DueCommands(TimePoint now) const {
  std::vector<std::uint64_t> due;
  for (const auto& [at, id] : due_commands_) {
    if (at > now) break;
    due.push_back(id);
  }
  return due;
}

TimePoint RunTable::next_command() const {
  if (due_commands_.empty()) return TimePoint::max();
  return due_commands_.begin()->first;
}

}  // namespace chivewing
