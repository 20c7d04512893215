#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/check.h"
#include "placement/indices.h"

namespace chivewing {

// A container of objects addressed by a dense index and by id. The index of a
// removed object is reused; addresses of objects are stable.
template <typename IdType, typename Object>
class SlotTable {
 public:
  std::uint32_t Add(const IdType& id, Object object) {
    const std::uint32_t index = AllocateIndex();
    objects_[index] = std::move(object);
    used_[index] = true;
    by_id_.emplace(id, index);
    return index;
  }

  void Remove(const IdType& id) {
    const auto found = by_id_.find(id);
    Check(found != by_id_.end(), "cannot remove an object: its id is unknown");
    const std::uint32_t index = found->second;
    by_id_.erase(found);
    objects_[index] = Object();
    used_[index] = false;
    free_indices_.push_back(index);
  }

  // Returns kNoIndex when the id is unknown.
  std::uint32_t Find(const IdType& id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? kNoIndex : found->second;
  }

  bool Has(std::uint32_t index) const {
    return index < used_.size() && used_[index];
  }
  Object& at(std::uint32_t index) { return objects_[index]; }
  const Object& at(std::uint32_t index) const { return objects_[index]; }

  std::size_t size() const { return by_id_.size(); }
  // One past the largest index ever used.
  std::uint32_t end_index() const {
    return static_cast<std::uint32_t>(objects_.size());
  }

 private:
  std::uint32_t AllocateIndex() {
    if (free_indices_.empty()) {
      objects_.emplace_back();
      used_.push_back(false);
      return end_index() - 1;
    }
    const std::uint32_t index = free_indices_.back();
    free_indices_.pop_back();
    return index;
  }

  std::deque<Object> objects_;
  std::vector<bool> used_;
  std::vector<std::uint32_t> free_indices_;
  std::unordered_map<IdType, std::uint32_t> by_id_;
};

}  // namespace chivewing
