#include "placement/worker_choice.h"

#include <algorithm>
#include <limits>

namespace chivewing {
namespace {

// Penalties that outweigh every fit score, which lies between -3 and 6.
constexpr double kAcceleratorWorkerPenalty = 10;
constexpr double kRackInstancePenalty = 100;
constexpr double kAvoidedWorkerPenalty = 1e6;
// A search of the index stops after comparing this many workers that fit.
constexpr int kMaxFitsCompared = 32;

// Fractions of a worker's capacity in each dimension.
struct CapacityFractions {
  double processors = 0;
  double memory = 0;
  double accelerators = 0;
};

CapacityFractions ToCapacityFractions(const Resources& amount,
                                      const WorkerFreeResources& worker) {
  return {static_cast<double>(amount.processors_milli) *
              worker.processors_reciprocal,
          static_cast<double>(amount.memory_mb) * worker.memory_reciprocal,
          static_cast<double>(amount.accelerators) *
              worker.accelerators_reciprocal};
}

// For all score functions, a lower score is better.
double ScoreBestFit(const WorkerFreeResources& worker,
                    const Resources& demand) {
  const CapacityFractions left =
      ToCapacityFractions(worker.free - demand, worker);
  return left.processors + left.memory + left.accelerators;
}

double ScoreDotProduct(const WorkerFreeResources& worker,
                       const Resources& demand) {
  const CapacityFractions wanted = ToCapacityFractions(demand, worker);
  const CapacityFractions free = ToCapacityFractions(worker.free, worker);
  return -(wanted.processors * free.processors + wanted.memory * free.memory +
           wanted.accelerators * free.accelerators);
}

double ScoreBalanced(const WorkerFreeResources& worker,
                     const Resources& demand) {
  const CapacityFractions left =
      ToCapacityFractions(worker.free - demand, worker);
  const double sum = left.processors + left.memory + left.accelerators;
  const double skew = std::max(left.processors, left.memory) -
                      std::min(left.processors, left.memory);
  return sum + skew;
}

int InstancesInRack(const std::vector<int>& instances, RackIndex rack) {
  return rack < instances.size() ? instances[rack] : 0;
}

bool IsAvoided(const std::vector<WorkerIndex>& avoided, std::size_t index) {
  return std::find(avoided.begin(), avoided.end(), index) != avoided.end();
}

using ScoreFunction = double (*)(const WorkerFreeResources&, const Resources&);

template <ScoreFunction kScore>
WorkerIndex ScanAll(const WorkerPool& pool, const WorkerDemand& demand,
                    const PlacerOptions& options) {
  const std::vector<WorkerFreeResources>& workers = pool.free_resources();
  const bool avoid_accelerators =
      options.avoid_accelerator_workers && demand.resources.accelerators == 0;
  double best_score = std::numeric_limits<double>::max();
  WorkerIndex best = kNoIndex;
  for (std::size_t index = 0; index < workers.size(); ++index) {
    const WorkerFreeResources& worker = workers[index];
    if (!Fits(demand.resources, worker.free)) continue;
    double score = kScore(worker, demand.resources);
    if (avoid_accelerators && worker.accelerators_reciprocal > 0) {
      score += kAcceleratorWorkerPenalty;
    }
    if (demand.rack_instances != nullptr) {
      const int instances =
          InstancesInRack(*demand.rack_instances, worker.rack);
      if (instances >= demand.rack_limit) continue;
      score += kRackInstancePenalty * instances;
    }
    if (demand.avoided_workers != nullptr &&
        IsAvoided(*demand.avoided_workers, index)) {
      score += kAvoidedWorkerPenalty;
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
    const WorkerFreeResources& worker = pool.free_resources()[index];
    if (!Fits(demand.resources, worker.free)) return;
    ++found;
    const double score = kScore(worker, demand.resources);
    if (score >= best_score) return;
    best_score = score;
    best = index;
  };
  pool.free_resource_index().Search(
      demand.resources, visit, [&found] { return found < kMaxFitsCompared; });
  return best;
}

template <ScoreFunction kScore>
WorkerIndex ScanOrSearch(const WorkerPool& pool, const WorkerDemand& demand,
                         const PlacerOptions& options) {
  const bool unconstrained =
      demand.rack_instances == nullptr && demand.avoided_workers == nullptr;
  // The index always returns workers with accelerators last.
  if (unconstrained && options.avoid_accelerator_workers &&
      pool.size() >= options.min_workers_for_index) {
    return SearchIndex<kScore>(pool, demand);
  }
  return ScanAll<kScore>(pool, demand, options);
}

double ScoreFirstFit(const WorkerFreeResources& /*worker*/,
                     const Resources& /*demand*/) {
  return 0;
}

}  // namespace

WorkerIndex ChooseWorker(const WorkerPool& pool, const WorkerDemand& demand,
                         const PlacerOptions& options) {
  switch (options.fit) {
    case FitPolicy::kFirstFit:
      return ScanAll<ScoreFirstFit>(pool, demand, options);
    case FitPolicy::kBestFit:
      return ScanOrSearch<ScoreBestFit>(pool, demand, options);
    case FitPolicy::kDotProduct:
      return ScanAll<ScoreDotProduct>(pool, demand, options);
    case FitPolicy::kBalanced:
      return ScanOrSearch<ScoreBalanced>(pool, demand, options);
  }
  return kNoIndex;
}

std::int64_t CountFittingTasks(const WorkerPool& pool, const Resources& size,
                               std::int64_t limit) {
  std::int64_t count = 0;
  for (const WorkerFreeResources& worker : pool.free_resources()) {
    if (count >= limit) break;
    count += std::min(limit, CountFits(size, worker.free));
  }
  return std::min(count, limit);
}

}  // namespace chivewing
