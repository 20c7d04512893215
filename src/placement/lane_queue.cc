#include "placement/lane_queue.h"

#include "placement/check.h"

namespace chivewing {

bool operator<(const LaneKey& a, const LaneKey& b) {
  const auto tie = [](const LaneKey& key) {
    return std::tie(key.entry.value(), key.job.value(), key.owner.value(),
                    key.job_class, key.gang_tasks, key.priority, key.urgent,
                    key.has_finish_by, key.per_task.processors_milli,
                    key.per_task.memory_mb, key.per_task.accelerators);
  };
  return tie(a) < tie(b);
}

LaneKey LaneQueue::KeyOf(const JobSpec& job) {
  LaneKey key;
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

void LaneQueue::Add(const LaneKey& key, const LanePlace& place) {
  lanes_[key].places.insert(place);
}

void LaneQueue::DropEmptyLanes() {
  std::erase_if(lanes_,
                [](const auto& lane) { return lane.second.places.empty(); });
}

void LaneQueue::Remove(const LaneKey& key, const LanePlace& place) {
  const auto lane = lanes_.find(key);
  Check(lane != lanes_.end(), "a waiting job has no lane");
  lane->second.places.erase(place);
}

}  // namespace chivewing
