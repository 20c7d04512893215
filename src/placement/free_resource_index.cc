#include "placement/free_resource_index.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace chivewing {
namespace {

// Smaller amounts are at level 0. The value is a power of two: 64 thousandths
// of a processor, or 64 MB.
constexpr int kMinLevelBit = 6;
constexpr std::uint32_t kWordBits = 64;

}  // namespace

void FreeResourceIndex::Update(WorkerIndex worker, const Resources& free,
                               bool has_accelerators) {
  Levels levels;
  levels.processors = LevelOf(free.processors_milli);
  levels.memory = LevelOf(free.memory_mb);
  if (has_accelerators)
    levels.accelerators = AcceleratorLevel(free.accelerators);
  const std::uint32_t bucket = BucketOf(levels);
  if (worker >= positions_.size()) positions_.resize(worker + 1);
  if (positions_[worker].bucket == bucket) return;
  Remove(worker);
  std::vector<WorkerIndex>& workers = buckets_[bucket];
  positions_[worker] = {bucket, static_cast<std::uint32_t>(workers.size())};
  workers.push_back(worker);
  occupied_[bucket / kWordBits] |= std::uint64_t{1} << (bucket % kWordBits);
}

void FreeResourceIndex::Remove(WorkerIndex worker) {
  if (worker >= positions_.size()) return;
  Position& position = positions_[worker];
  if (position.bucket == kNoIndex) return;
  std::vector<WorkerIndex>& workers = buckets_[position.bucket];
  const WorkerIndex last = workers.back();
  workers[position.slot] = last;
  positions_[last].slot = position.slot;
  workers.pop_back();
  if (workers.empty()) {
    occupied_[position.bucket / kWordBits] &=
        ~(std::uint64_t{1} << (position.bucket % kWordBits));
  }
  position.bucket = kNoIndex;
}

std::size_t FreeResourceIndex::LevelOf(std::int64_t amount) {
  if (amount < (std::int64_t{1} << kMinLevelBit)) return 0;
  const auto bits = static_cast<std::uint64_t>(amount);
  const auto width = static_cast<int>(std::bit_width(bits));
  const auto half = static_cast<std::size_t>((bits >> (width - 2)) & 1U);
  const auto octave = static_cast<std::size_t>(width - 1 - kMinLevelBit);
  return std::min(kLevels - 1, 1 + 2 * octave + half);
}

const FreeResourceIndex::PairOrder& FreeResourceIndex::GetPairOrder() {
  static const PairOrder order = [] {
    PairOrder made;
    std::array<std::uint16_t, kLevels* kLevels>& pairs = made.pair_at;
    std::iota(pairs.begin(), pairs.end(), std::uint16_t{0});
    // Workers with little left in both dimensions come first; those with much
    // left in only one dimension come late.
    const auto weight = [](std::uint16_t pair) {
      const std::size_t processors = pair / kLevels;
      const std::size_t memory = pair % kLevels;
      return std::max(processors, memory) * kLevels + processors + memory;
    };
    std::stable_sort(pairs.begin(), pairs.end(),
                     [&weight](std::uint16_t a, std::uint16_t b) {
                       return weight(a) < weight(b);
                     });
    for (std::size_t rank = 0; rank < pairs.size(); ++rank) {
      made.rank_of.at(pairs.at(rank)) = static_cast<std::uint16_t>(rank);
    }
    return made;
  }();
  return order;
}

std::size_t FreeResourceIndex::AcceleratorLevel(std::int64_t accelerators) {
  const auto max_level = static_cast<std::int64_t>(kAcceleratorLevels - 2);
  const auto level = std::clamp<std::int64_t>(accelerators, 0, max_level);
  return 1 + static_cast<std::size_t>(level);
}

std::uint32_t FreeResourceIndex::BucketOf(const Levels& levels) const {
  const std::size_t pair = levels.processors * kLevels + levels.memory;
  return static_cast<std::uint32_t>(levels.accelerators * kLevelPairs +
                                    pair_order_->rank_of.at(pair));
}

}  // namespace chivewing
