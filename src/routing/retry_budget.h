#pragma once

namespace chivewing {

// Token bucket that limits retries to a percentage of first attempts, so that
// retries cannot multiply the load when everything fails.
class RetryBudget {
 public:
  explicit RetryBudget(int percent) : tokens_per_request_(percent / 100.0) {}

  void set_percent(int percent) { tokens_per_request_ = percent / 100.0; }

  // Adds the tokens that one first attempt earns.
  void Deposit();
  // Takes the token for one retry; returns false when the budget is spent.
  bool TryWithdraw();

 private:
  double tokens_per_request_;
  double tokens_ = kInitialTokens;

  static constexpr double kInitialTokens = 10;
  static constexpr double kMaxTokens = 100;
};

}  // namespace chivewing
