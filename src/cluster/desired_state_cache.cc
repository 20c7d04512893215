#include "cluster/desired_state_cache.h"

#include <utility>

namespace chivewing {

bool DesiredStateCache::Update(DesiredState state) {
  if (state.version <= state_.version) return false;
  state_ = std::move(state);
  return true;
}

const Queue* DesiredStateCache::FindQueue(std::string_view host,
                                          std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : state_.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    const bool longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &queue;
  }
  return best;
}

}  // namespace chivewing
