#include "routing/retry_budget.h"

#include <algorithm>

namespace chivewing {

void RetryBudget::Deposit() {
  tokens_ = std::min(tokens_ + share_, kMaxTokens);
}

bool RetryBudget::TryWithdraw() {
  if (share_ <= 0 || tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace chivewing
