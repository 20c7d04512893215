#include "placement/waiting_job_queue.h"

#include "placement/check.h"

namespace chivewing {

bool operator<(const EquivalenceClassKey& a, const EquivalenceClassKey& b) {
  const auto tie = [](const EquivalenceClassKey& key) {
    return std::tie(key.entry.value(), key.job.value(), key.owner.value(),
                    key.job_class, key.gang_tasks, key.priority, key.urgent,
                    key.has_finish_by, key.per_task.processors_milli,
                    key.per_task.memory_mb, key.per_task.accelerators);
  };
  return tie(a) < tie(b);
}

EquivalenceClassKey WaitingJobQueue::KeyOf(const JobSpec& job) {
  EquivalenceClassKey key;
  key.owner = job.owner;
  key.entry = job.entry;
  key.job_class = job.job_class;
  key.gang_tasks = job.job_class == JobClass::kGang ? job.tasks : 0;
  key.per_task = job.per_task;
  key.priority = job.priority;
  key.urgent = job.urgent;
  key.has_finish_by = job.finish_by.has_value();
  const bool long_running = job.job_class == JobClass::kService ||
                            job.job_class == JobClass::kSingleton;
  if (long_running || job.spread) key.job = job.id;
  return key;
}

void WaitingJobQueue::Add(const EquivalenceClassKey& key,
                          const WaitingJobPosition& position) {
  classes_[key].positions.insert(position);
}

void WaitingJobQueue::RemoveEmptyClasses() {
  std::erase_if(classes_, [](const auto& entry) {
    return entry.second.positions.empty();
  });
}

void WaitingJobQueue::Remove(const EquivalenceClassKey& key,
                             const WaitingJobPosition& position) {
  const auto found = classes_.find(key);
  Check(found != classes_.end(),
        "a waiting job has no equivalence class in the queue");
  found->second.positions.erase(position);
}

}  // namespace chivewing
