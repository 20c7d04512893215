#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "store/table.h"

namespace chivewing {

// Final outcome of a transaction, whichever of its sent copies decided it.
enum class CommitOutcome {
  kCommitted,
  // Did not take effect and never will.
  kConflict,
  // Cannot take effect from now on, but may have taken effect earlier and been
  // overwritten since.
  kAmbiguous,
};

// Effect: the caller sends one copy of the transaction to the table and passes
// the response to OnAnswer.
struct SendCommit {
  std::uint64_t id = 0;
  TableTransaction transaction{};
};

// Effect: the outcome of the transaction is known.
struct CommitResolved {
  std::uint64_t id = 0;
  CommitOutcome outcome = CommitOutcome::kAmbiguous;
  // Version of the written rows if committed, else 0.
  std::uint64_t revision = 0;
  // Current rows of the condition keys if not committed, else empty.
  std::vector<TableRow> rows{};
  TableTransaction transaction{};
};

using CommitEffect = std::variant<SendCommit, CommitResolved>;

// Bounds of the exponential backoff between two copies of a transaction.
struct CommitResolverOptions {
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{2000};
};

// Determines the outcome of transactions whose responses may be lost. A
// transaction without a definite response is sent again with the same write id
// and conditions. Row versions only increase, so at most one copy can take
// effect; an unanswered copy may still reach the table at any later time.
// Takes submissions, responses and the time; returns effects. No clock, no I/O.
class CommitResolver {
 public:
  CommitResolver(CommitResolverOptions options, std::uint64_t seed);

  // Starts a transaction and returns its id. Returns kBadRequest if no key has
  // both a condition and a write, because copies could then take effect twice,
  // or if the commit marker key does not have both.
  Result<std::uint64_t> Submit(TableTransaction transaction,
                               std::vector<CommitEffect>& out);

  // Handles the response to the copy sent last. Ignored if the transaction is
  // resolved or abandoned.
  void OnAnswer(TimePoint now, std::uint64_t id, CommitResponse response,
                std::vector<CommitEffect>& out);

  // Sends another copy of each transaction whose backoff has expired.
  void Tick(TimePoint now, std::vector<CommitEffect>& out);

  // Stops sending copies and returns the transaction if it was in flight. It
  // may have taken effect, or may still do so.
  std::optional<TableTransaction> Abandon(std::uint64_t id);

  // Earliest time at which Tick sends a copy; unset if no retry is scheduled.
  std::optional<TimePoint> next_retry_time() const;
  std::size_t in_flight() const { return transactions_.size(); }
  // True if the transaction is in flight and a copy of it may have taken
  // effect.
  bool in_doubt(std::uint64_t id) const;

 private:
  struct InFlightTransaction {
    TableTransaction transaction{};
    // True once a copy got no definite response.
    bool unconfirmed = false;
    int failures = 0;
    std::optional<TimePoint> retry_at{};
  };

  Duration NextBackoff(int failures);
  void Resolve(std::uint64_t id, CommitOutcome outcome, std::uint64_t revision,
               std::vector<TableRow> rows, std::vector<CommitEffect>& out);

  const CommitResolverOptions options_;
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, InFlightTransaction> transactions_;
};

}  // namespace chivewing
