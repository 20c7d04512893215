#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/time.h"
#include "routing/instance.h"

namespace chivewing {

// Identifies an instance within one Router.
enum class InstanceKey : std::uint64_t {};

// The instances of one service, ordered by how well each suits the next
// request. Choosing one costs O(log n) in their number. Does no I/O.
class InstancePool {
 public:
  explicit InstancePool(double max_ejected_fraction);

  // Returns the instance under `key`, adding it if there is none yet.
  Instance& Add(InstanceKey key, const InstanceInfo& info);
  Instance* Find(InstanceKey key);
  const Instance* Find(InstanceKey key) const;
  void Erase(InstanceKey key);
  // Must be called after each change of an instance.
  void Refresh(InstanceKey key);

  // The instance with a free slot and the lowest score, another than `avoid` if
  // possible; empty when no slot is free.
  std::optional<InstanceKey> Choose(std::optional<InstanceKey> avoid) const;

  std::uint32_t usable_slots() const { return usable_slots_; }
  std::uint32_t free_slots() const { return free_slots_; }
  bool empty() const { return members_.empty(); }
  // True when one more instance may be ejected.
  bool CanEject() const;

  // Mean service time, in nanoseconds, of the instances other than the one
  // whose average is `own`.
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
    // Equal to the entry in candidates_ when free_slots is above 0.
    Candidate candidate;
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
