#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/time.h"
#include "routing/instance.h"

namespace chivewing {

// Number of an instance within one Router.
enum class InstanceKey : std::uint64_t {};

// The instances of one service and the order in which they take work. Choosing
// one costs O(log n) in their number.
class InstancePool {
 public:
  explicit InstancePool(double max_ejected_fraction);

  // The instance added under `key`, if there is none yet.
  Instance& Add(InstanceKey key, const InstanceInfo& info);
  Instance* Find(InstanceKey key);
  const Instance* Find(InstanceKey key) const;
  void Erase(InstanceKey key);
  // Must follow each change of an instance.
  void Refresh(InstanceKey key);

  // The best instance with a free slot, if possible another than `avoid`.
  std::optional<InstanceKey> Choose(std::optional<InstanceKey> avoid) const;

  std::uint32_t usable_slots() const { return usable_slots_; }
  std::uint32_t free_slots() const { return free_slots_; }
  bool empty() const { return members_.empty(); }
  // Whether one more instance may be put aside.
  bool CanEject() const;

  // Mean service time, in nanoseconds, of the instances other than the one with
  // `own`.
  double MeanServiceTimeOfOthers(const ServiceTimeAverage& own) const;

  ServiceTimeAverage& service_time() { return service_time_; }
  const ServiceTimeAverage& service_time() const { return service_time_; }

  // Calls `visit` for each instance.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [key, member] : members_) visit(member.instance);
  }

 private:
  struct Candidate {
    double score = 0;  // lower is better
    InstanceKey key{};

    friend bool operator<(const Candidate& a, const Candidate& b) {
      if (a.score != b.score) return a.score < b.score;
      return a.key < b.key;
    }
  };
  struct Member {
    Instance instance;
    Candidate candidate;  // as in candidates_ when free is over 0
    std::uint32_t usable_slots = 0;
    std::uint32_t free_slots = 0;
    bool in_use = false;
    bool ejected = false;
  };

  double Score(const Instance& instance) const;

  double max_ejected_fraction_;
  std::unordered_map<InstanceKey, Member> members_;
  std::set<Candidate> candidates_;
  std::uint32_t usable_slots_ = 0;
  std::uint32_t free_slots_ = 0;
  std::uint32_t in_use_count_ = 0;
  std::uint32_t ejected_count_ = 0;
  ServiceTimeAverage service_time_;
};

}  // namespace chivewing
