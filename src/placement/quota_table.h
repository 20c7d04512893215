#pragma once

#include <optional>
#include <unordered_map>

#include "base/id.h"
#include "placement/resources.h"

namespace chivewing {

// Tracks the resources that each client account (owner) has reserved, and its
// quota. An owner without a quota is unlimited.
class QuotaTable {
 public:
  void SetQuota(const OwnerId& owner, const Resources& quota);
  void RemoveQuota(const OwnerId& owner);

  // Whether `amount` more would stay within the quota of the owner.
  bool Allows(const OwnerId& owner, const Resources& amount) const;
  void Add(const OwnerId& owner, const Resources& amount);
  void Subtract(const OwnerId& owner, const Resources& amount);

  Resources Used(const OwnerId& owner) const;
  std::optional<Resources> Quota(const OwnerId& owner) const;

 private:
  struct Account {
    Resources used;
    std::optional<Resources> quota;
  };

  std::unordered_map<OwnerId, Account> accounts_;
};

}  // namespace chivewing
