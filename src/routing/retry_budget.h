#pragma once

namespace chivewing {

// Token bucket that allows retries as a share of first tries, so that retries
// cannot multiply the load when everything fails.
class RetryBudget {
 public:
  explicit RetryBudget(int percent) : tokens_per_request_(percent / 100.0) {}

  void set_percent(int percent) { tokens_per_request_ = percent / 100.0; }

  // Counts a first try.
  void Deposit();
  // Takes one retry out; false when the budget is spent.
  bool TryWithdraw();

 private:
  double tokens_per_request_;
  double tokens_ = kInitialTokens;

  static constexpr double kInitialTokens = 10;
  static constexpr double kMaxTokens = 100;
};

}  // namespace chivewing
