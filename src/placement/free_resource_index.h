#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

// Groups workers into buckets by their free resources: two levels per doubling
// of free processors and of free memory, and one per free accelerator. Buckets
// are ordered from the fullest workers without accelerators to the emptiest
// with accelerators, so that a search in that order finds good fits first and
// skips workers that are too full.
class FreeResourceIndex {
 public:
  // Moves the worker to the bucket of its free resources. `has_accelerators` is
  // true when its capacity includes accelerators.
  void Update(WorkerIndex worker, const Resources& free, bool has_accelerators);
  // Removes the worker from the index, if it is there.
  void Remove(WorkerIndex worker);

  // Calls `visit(worker)` for workers on which `demand` may fit, bucket by
  // bucket, until `keep_going()` returns false after a bucket. Without such a
  // stop, every worker on which it fits is visited.
  template <typename Visit, typename KeepGoing>
  void Search(const Resources& demand, Visit visit, KeepGoing keep_going) const;

 private:
  static constexpr std::size_t kLevels = 40;
  static constexpr std::size_t kLevelPairs = kLevels * kLevels;
  static constexpr std::size_t kAcceleratorLevels = 6;
  static constexpr std::size_t kBuckets = kLevelPairs * kAcceleratorLevels;

  // The bucket of a worker and its slot in that bucket.
  struct Position {
    std::uint32_t bucket = kNoIndex;
    std::uint32_t slot = 0;
  };
  // Level of a bucket in each dimension.
  struct Levels {
    std::size_t processors = 0;
    std::size_t memory = 0;
    std::size_t accelerators = 0;
  };
  struct PairOrder {
    std::array<std::uint16_t, kLevelPairs> rank_of;
    std::array<std::uint16_t, kLevelPairs> pair_at;
  };

  static std::size_t LevelOf(std::int64_t amount);
  // The order of the pairs of processor and memory levels, fullest first.
  static const PairOrder& GetPairOrder();
  // At least 1; level 0 is for workers without accelerators.
  static std::size_t AcceleratorLevel(std::int64_t accelerators);
  std::uint32_t BucketOf(const Levels& levels) const;
  Levels LevelsOf(std::uint32_t bucket) const {
    const std::size_t pair = pair_order_->pair_at[bucket % kLevelPairs];
    return {pair / kLevels, pair % kLevels, bucket / kLevelPairs};
  }

  const PairOrder* pair_order_ = &GetPairOrder();

  std::vector<std::vector<WorkerIndex>> buckets_ =
      std::vector<std::vector<WorkerIndex>>(kBuckets);
  // One bit per bucket, set when the bucket holds a worker.
  std::vector<std::uint64_t> occupied_ =
      std::vector<std::uint64_t>(kBuckets / 64 + 1);
  std::vector<Position> positions_;
};

template <typename Visit, typename KeepGoing>
void FreeResourceIndex::Search(const Resources& demand, Visit visit,
                               KeepGoing keep_going) const {
  constexpr std::uint32_t word_bits = 64;
  const std::size_t processors = LevelOf(demand.processors_milli);
  const std::size_t memory = LevelOf(demand.memory_mb);
  const std::size_t accelerators =
      demand.accelerators > 0 ? AcceleratorLevel(demand.accelerators) : 0;
  for (std::uint32_t word = 0; word < occupied_.size(); ++word) {
    for (std::uint64_t bits = occupied_[word]; bits != 0; bits &= bits - 1) {
      const std::uint32_t bucket =
          word * word_bits + static_cast<std::uint32_t>(__builtin_ctzll(bits));
      const Levels levels = LevelsOf(bucket);
      if (levels.processors < processors || levels.memory < memory) continue;
      if (levels.accelerators < accelerators) continue;
      for (const WorkerIndex worker : buckets_[bucket]) visit(worker);
      if (!keep_going()) return;
    }
  }
}

}  // namespace chivewing
