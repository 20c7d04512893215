#pragma once

#include <optional>
#include <unordered_map>

#include "base/id.h"
#include "placement/resources.h"

namespace chivewing {

// What each owner has reserved, against the quota of that owner.
class QuotaTable {
 public:
  void SetQuota(const OwnerId& owner, const Resources& quota);
  void RemoveQuota(const OwnerId& owner);

  // Whether the owner may reserve `amount` more.
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
