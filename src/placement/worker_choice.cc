#include "placement/worker_choice.h"

#include <algorithm>
#include <limits>

namespace chivewing {
namespace {

// Penalties that outweigh every fit score, which lies between -3 and 6.
constexpr double kAcceleratorPenalty = 10;
constexpr double kRackPenalty = 100;
constexpr double kAvoidedPenalty = 1e6;
// Fits that a search of the index compares before it is content.
constexpr int kFitsToCompare = 32;

// Shares of a worker's capacity in each dimension.
struct Shares {
  double processors = 0;
  double memory = 0;
  double accelerators = 0;
};

Shares ToShares(const Resources& amount, const WorkerFreeResources& room) {
  return {static_cast<double>(amount.processors_milli) * room.processors_share,
          static_cast<double>(amount.memory_mb) * room.memory_share,
          static_cast<double>(amount.accelerators) * room.accelerators_share};
}

// Each score is lower for a better worker.
double ScoreBestFit(const WorkerFreeResources& room, const Resources& demand) {
  const Shares left = ToShares(room.free - demand, room);
  return left.processors + left.memory + left.accelerators;
}

double ScoreDotProduct(const WorkerFreeResources& room,
                       const Resources& demand) {
  const Shares wanted = ToShares(demand, room);
  const Shares free = ToShares(room.free, room);
  return -(wanted.processors * free.processors + wanted.memory * free.memory +
           wanted.accelerators * free.accelerators);
}

double ScoreBalanced(const WorkerFreeResources& room, const Resources& demand) {
  const Shares left = ToShares(room.free - demand, room);
  const double sum = left.processors + left.memory + left.accelerators;
  const double skew = std::max(left.processors, left.memory) -
                      std::min(left.processors, left.memory);
  return sum + skew;
}

int InstancesIn(const std::vector<int>& instances, RackIndex rack) {
  return rack < instances.size() ? instances[rack] : 0;
}

bool IsAvoided(const std::vector<WorkerIndex>& avoided, std::size_t index) {
  return std::find(avoided.begin(), avoided.end(), index) != avoided.end();
}

using ScoreFunction = double (*)(const WorkerFreeResources&, const Resources&);

template <ScoreFunction kScore>
WorkerIndex ScanAll(const WorkerPool& pool, const WorkerDemand& demand,
                    const PlacerOptions& options) {
  const std::vector<WorkerFreeResources>& rooms = pool.rooms();
  const bool keep_accelerators =
      options.keep_accelerators && demand.resources.accelerators == 0;
  double best_score = std::numeric_limits<double>::max();
  WorkerIndex best = kNoIndex;
  for (std::size_t index = 0; index < rooms.size(); ++index) {
    const WorkerFreeResources& room = rooms[index];
    if (!Fits(demand.resources, room.free)) continue;
    double score = kScore(room, demand.resources);
    if (keep_accelerators && room.accelerators_share > 0) {
      score += kAcceleratorPenalty;
    }
    if (demand.rack_instances != nullptr) {
      const int instances = InstancesIn(*demand.rack_instances, room.rack);
      if (instances >= demand.rack_limit) continue;
      score += kRackPenalty * instances;
    }
    if (demand.avoided != nullptr && IsAvoided(*demand.avoided, index)) {
      score += kAvoidedPenalty;
    }
    if (score >= best_score) continue;
    best_score = score;
    best = static_cast<WorkerIndex>(index);
  }
  return best;
}

template <ScoreFunction kScore>
WorkerIndex SearchIndex(const WorkerPool& pool, const WorkerDemand& demand) {
  double best_score = std::numeric_limits<double>::max();
  WorkerIndex best = kNoIndex;
  int found = 0;
  const auto visit = [&](WorkerIndex index) {
    const WorkerFreeResources& room = pool.rooms()[index];
    if (!Fits(demand.resources, room.free)) return;
    ++found;
    const double score = kScore(room, demand.resources);
    if (score >= best_score) return;
    best_score = score;
    best = index;
  };
  pool.index().Search(demand.resources, visit,
                      [&found] { return found < kFitsToCompare; });
  return best;
}

template <ScoreFunction kScore>
WorkerIndex Choose(const WorkerPool& pool, const WorkerDemand& demand,
                   const PlacerOptions& options) {
  const bool plain =
      demand.rack_instances == nullptr && demand.avoided == nullptr;
  // The index always keeps workers with accelerators for last.
  if (plain && options.keep_accelerators &&
      pool.size() >= options.workers_to_index) {
    return SearchIndex<kScore>(pool, demand);
  }
  return ScanAll<kScore>(pool, demand, options);
}

double ScoreNothing(const WorkerFreeResources& /*room*/,
                    const Resources& /*demand*/) {
  return 0;
}

}  // namespace

WorkerIndex ChooseWorker(const WorkerPool& pool, const WorkerDemand& demand,
                         const PlacerOptions& options) {
  switch (options.fit) {
    case FitPolicy::kFirstFit:
      return ScanAll<ScoreNothing>(pool, demand, options);
    case FitPolicy::kBestFit:
      return Choose<ScoreBestFit>(pool, demand, options);
    case FitPolicy::kDotProduct:
      return ScanAll<ScoreDotProduct>(pool, demand, options);
    case FitPolicy::kBalanced:
      return Choose<ScoreBalanced>(pool, demand, options);
  }
  return kNoIndex;
}

std::int64_t CountFittingTasks(const WorkerPool& pool, const Resources& size,
                               std::int64_t enough) {
  std::int64_t count = 0;
  for (const WorkerFreeResources& room : pool.rooms()) {
    if (count >= enough) break;
    count += std::min(enough, CountFits(size, room.free));
  }
  return std::min(count, enough);
}

}  // namespace chivewing
