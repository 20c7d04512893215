#include "routing/retry_budget.h"

#include <algorithm>

namespace chivewing {

void RetryBudget::Deposit() {
  tokens_ = std::min(tokens_ + tokens_per_request_, kMaxTokens);
}

bool RetryBudget::TryWithdraw() {
  if (tokens_per_request_ <= 0 || tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace chivewing
