#include "routing/instance_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chivewing {
namespace {

constexpr double kServiceTimeWeight = 0.01;
// Factor on the score for each failure in a row; a higher score is chosen
// later.
constexpr double kFailurePenalty = 4;
// Responses of an instance before its service time counts in its score.
constexpr std::uint32_t kMinSpeedSamples = 5;

}  // namespace

InstancePool::InstancePool(double max_ejected_fraction)
    : max_ejected_fraction_(max_ejected_fraction),
      service_time_(kServiceTimeWeight) {}

Instance& InstancePool::Add(InstanceKey key, const InstanceInfo& info) {
  return members_
      .try_emplace(key, Member{Instance(info), {}, 0, 0, false, false})
      .first->second.instance;
}

Instance* InstancePool::Find(InstanceKey key) {
  const auto found = members_.find(key);
  return found == members_.end() ? nullptr : &found->second.instance;
}

const Instance* InstancePool::Find(InstanceKey key) const {
  const auto found = members_.find(key);
  return found == members_.end() ? nullptr : &found->second.instance;
}

void InstancePool::Erase(InstanceKey key) {
  const auto found = members_.find(key);
  if (found == members_.end()) return;
  found->second.instance.set_removed(true);
  Refresh(key);
  members_.erase(found);
}

void InstancePool::Refresh(InstanceKey key) {
  Member& member = members_.at(key);
  const Instance& instance = member.instance;
  if (member.free_slots > 0) candidates_.erase(member.candidate);
  usable_slots_ -= member.usable_slots;
  free_slots_ -= member.free_slots;
  in_use_count_ -= member.in_use ? 1 : 0;
  ejected_count_ -= member.ejected ? 1 : 0;

  member.usable_slots = instance.usable_slots();
  member.free_slots = instance.free_slots();
  member.in_use =
      !instance.removed() && instance.info().state == InstanceState::kInUse;
  member.ejected = member.in_use && instance.health() == Health::kEjected;

  usable_slots_ += member.usable_slots;
  free_slots_ += member.free_slots;
  in_use_count_ += member.in_use ? 1 : 0;
  ejected_count_ += member.ejected ? 1 : 0;
  if (member.free_slots == 0) return;
  member.candidate = {Score(instance), key};
  candidates_.insert(member.candidate);
}

double InstancePool::Score(const Instance& instance) const {
  const double slots = std::max(1U, instance.info().slots);
  const double busy = instance.in_flight() + instance.abandoned_slots() + 1;
  double score = busy / slots;
  const ServiceTimeAverage& own = instance.service_time();
  if (own.samples() >= kMinSpeedSamples && service_time_.mean().count() > 0) {
    const double ratio = static_cast<double>(own.mean().count()) /
                         static_cast<double>(service_time_.mean().count());
    // Rounded down to a whole factor, as small differences are noise.
    score *= std::max(1.0, std::floor(ratio));
  }
  return score * std::pow(kFailurePenalty,
                          std::min(instance.consecutive_failures(), 8U));
}

std::optional<InstanceKey> InstancePool::Choose(
    std::optional<InstanceKey> avoid) const {
  auto best = candidates_.begin();
  if (best == candidates_.end()) return std::nullopt;
  if (avoid && best->key == *avoid && std::next(best) != candidates_.end()) {
    ++best;
  }
  return best->key;
}

double InstancePool::MeanServiceTimeOfOthers(
    const ServiceTimeAverage& own) const {
  const auto all = static_cast<double>(service_time_.mean().count());
  if (members_.size() < 2) return all;
  const double fraction = 1.0 / static_cast<double>(members_.size());
  const double part = fraction * static_cast<double>(own.mean().count());
  return std::max(0.0, all - part) / (1 - fraction);
}

bool InstancePool::CanEject() const {
  return ejected_count_ + 1 <= max_ejected_fraction_ * in_use_count_;
}

}  // namespace chivewing
