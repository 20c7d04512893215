#include "placement/quota_table.h"

#include "placement/check.h"

namespace chivewing {

void QuotaTable::SetQuota(const OwnerId& owner, const Resources& quota) {
  accounts_[owner].quota = quota;
}

void QuotaTable::RemoveQuota(const OwnerId& owner) {
  accounts_[owner].quota.reset();
}

bool QuotaTable::Allows(const OwnerId& owner, const Resources& amount) const {
  const auto account = accounts_.find(owner);
  if (account == accounts_.end() || !account->second.quota) return true;
  return Fits(account->second.used + amount, *account->second.quota);
}

void QuotaTable::Add(const OwnerId& owner, const Resources& amount) {
  accounts_[owner].used += amount;
}

void QuotaTable::Subtract(const OwnerId& owner, const Resources& amount) {
  Resources& used = accounts_[owner].used;
  used -= amount;
  Check(Fits(Resources(), used),
        "an owner released more resources than it had reserved");
}

Resources QuotaTable::Used(const OwnerId& owner) const {
  const auto account = accounts_.find(owner);
  return account == accounts_.end() ? Resources() : account->second.used;
}

std::optional<Resources> QuotaTable::Quota(const OwnerId& owner) const {
  const auto account = accounts_.find(owner);
  if (account == accounts_.end()) return std::nullopt;
  return account->second.quota;
}

}  // namespace chivewing
