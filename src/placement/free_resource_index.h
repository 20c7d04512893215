#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "placement/indices.h"
#include "placement/resources.h"

namespace chivewing {

// Workers sorted into buckets by their room: two buckets for each doubling of
// free processors and of free memory, and one for each free accelerator. The
// buckets are numbered from the fullest workers without accelerators to the
// emptiest with them, so that a search in that order meets good fits first and
// does not look at workers that cannot fit.
class FreeResourceIndex {
 public:
  // Puts the worker into the bucket of its room. `has_accelerators` tells
  // whether its capacity has any.
  void Update(WorkerIndex worker, const Resources& free, bool has_accelerators);
  // Takes the worker out of all buckets.
  void Remove(WorkerIndex worker);

  // Calls `visit(worker)` for workers that may have room for `demand`, bucket
  // by bucket, and goes on with the next bucket while `go_on()` is true. Each
  // worker with room is in a visited bucket.
  template <typename Visit, typename GoOn>
  void Search(const Resources& demand, Visit visit, GoOn go_on) const;

 private:
  static constexpr std::size_t kSteps = 40;
  static constexpr std::size_t kPairs = kSteps * kSteps;
  static constexpr std::size_t kAcceleratorSteps = 6;
  static constexpr std::size_t kBuckets = kPairs * kAcceleratorSteps;

  // Position of a worker: its bucket and its place in it.
  struct Position {
    std::uint32_t bucket = kNoIndex;
    std::uint32_t place = 0;
  };
  // Steps in the three dimensions.
  struct Steps {
    std::size_t processors = 0;
    std::size_t memory = 0;
    std::size_t accelerators = 0;
  };
  struct Ranks {
    std::array<std::uint16_t, kPairs> rank_of;
    std::array<std::uint16_t, kPairs> pair_at;
  };

  static std::size_t StepOf(std::int64_t amount);
  // Order of the pairs of processor and memory steps, fullest first.
  static const Ranks& PairRanks();
  // 0 is left to workers without accelerators.
  static std::size_t AcceleratorStep(std::int64_t accelerators);
  std::uint32_t BucketOf(const Steps& steps) const;
  Steps StepsOf(std::uint32_t bucket) const {
    const std::size_t pair = ranks_->pair_at[bucket % kPairs];
    return {pair / kSteps, pair % kSteps, bucket / kPairs};
  }

  const Ranks* ranks_ = &PairRanks();

  std::vector<std::vector<WorkerIndex>> buckets_ =
      std::vector<std::vector<WorkerIndex>>(kBuckets);
  // One bit a bucket: whether it holds a worker.
  std::vector<std::uint64_t> occupied_ =
      std::vector<std::uint64_t>(kBuckets / 64 + 1);
  std::vector<Position> positions_;
};

template <typename Visit, typename GoOn>
void FreeResourceIndex::Search(const Resources& demand, Visit visit,
                               GoOn go_on) const {
  constexpr std::uint32_t word_bits = 64;
  const std::size_t processors = StepOf(demand.processors_milli);
  const std::size_t memory = StepOf(demand.memory_mb);
  const std::size_t accelerators =
      demand.accelerators > 0 ? AcceleratorStep(demand.accelerators) : 0;
  for (std::uint32_t word = 0; word < occupied_.size(); ++word) {
    for (std::uint64_t bits = occupied_[word]; bits != 0; bits &= bits - 1) {
      const std::uint32_t bucket =
          word * word_bits + static_cast<std::uint32_t>(__builtin_ctzll(bits));
      const Steps steps = StepsOf(bucket);
      if (steps.processors < processors || steps.memory < memory) continue;
      if (steps.accelerators < accelerators) continue;
      for (const WorkerIndex worker : buckets_[bucket]) visit(worker);
      if (!go_on()) return;
    }
  }
}

}  // namespace chivewing
