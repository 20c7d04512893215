#include "routing/instance_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chivewing {
namespace {

constexpr double kServiceTimeWeight = 0.01;
// Makes an instance this much less attractive for each failure in a row.
constexpr double kFailurePenalty = 4;
// Answers of an instance before its speed counts in the choice.
constexpr std::uint32_t kSpeedSamples = 5;

}  // namespace

InstancePool::InstancePool(double put_aside_share)
    : put_aside_share_(put_aside_share), service_time_(kServiceTimeWeight) {}

Instance& InstancePool::Add(InstanceKey key, const InstanceInfo& view) {
  return members_
      .try_emplace(key, Member{Instance(view), {}, 0, 0, false, false})
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
  if (member.free > 0) candidates_.erase(member.candidate);
  slots_ -= member.slots;
  free_slots_ -= member.free;
  in_use_ -= member.in_use ? 1 : 0;
  put_aside_ -= member.put_aside ? 1 : 0;

  member.slots = instance.usable_slots();
  member.free = instance.free_slots();
  member.in_use =
      !instance.removed() && instance.view().state == InstanceState::kInUse;
  member.put_aside = member.in_use && instance.health() == Health::kEjected;

  slots_ += member.slots;
  free_slots_ += member.free;
  in_use_ += member.in_use ? 1 : 0;
  put_aside_ += member.put_aside ? 1 : 0;
  if (member.free == 0) return;
  member.candidate = {Score(instance), key};
  candidates_.insert(member.candidate);
}

double InstancePool::Score(const Instance& instance) const {
  const double slots = std::max(1U, instance.view().slots);
  const double busy = instance.in_flight() + instance.abandoned_slots() + 1;
  double score = busy / slots;
  const ServiceTimeAverage& own = instance.service_time();
  if (own.samples() >= kSpeedSamples && service_time_.mean().count() > 0) {
    const double ratio = static_cast<double>(own.mean().count()) /
                         static_cast<double>(service_time_.mean().count());
    // Whole steps only: small differences are noise.
    score *= std::max(1.0, std::floor(ratio));
  }
  return score * std::pow(kFailurePenalty, std::min(instance.failures(), 8U));
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
  const double share = 1.0 / static_cast<double>(members_.size());
  const double part = share * static_cast<double>(own.mean().count());
  return std::max(0.0, all - part) / (1 - share);
}

bool InstancePool::CanEject() const {
  return put_aside_ + 1 <= put_aside_share_ * in_use_;
}

}  // namespace chivewing
