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

// What became of a transaction, over all its copies.
enum class CommitOutcome {
  kCommitted,
  kConflict,   // it took no effect and never will
  kAmbiguous,  // it will take no effect from now on, but may have taken effect
               // and been overwritten
};

// Effect: send one copy of the transaction and give the answer to OnAnswer.
struct SendCommit {
  std::uint64_t id = 0;
  TableTransaction transaction{};
};

// Effect: the transaction has ended.
struct CommitResolved {
  std::uint64_t id = 0;
  CommitOutcome outcome = CommitOutcome::kAmbiguous;
  std::uint64_t revision = 0;    // version of the written rows, when committed
  std::vector<TableRow> rows{};  // present rows of the condition keys, else
  TableTransaction transaction{};
};

using CommitEffect = std::variant<SendCommit, CommitResolved>;

// Waits between two copies of a transaction.
struct CommitResolverOptions {
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{2000};
};

// Finds out what became of transactions whose answers may be lost. A
// transaction without an answer is sent again, with the same write id and the
// same conditions, until there is a definite answer: the versions of rows only
// rise, so that at most one copy can take effect. Deciding code: no clock, no
// I/O. An unanswered copy may still arrive at any later time.
class CommitResolver {
 public:
  CommitResolver(CommitResolverOptions options, std::uint64_t seed);

  // Starts a transaction and returns its id. Fails with kBadRequest when no key
  // is in both lists, since copies could then take effect twice, or when the
  // proof key is not in both.
  Result<std::uint64_t> Submit(TableTransaction transaction,
                               std::vector<CommitEffect>& out);

  // Takes the answer to the copy that was sent last. Ignored for an id that has
  // ended or was abandoned.
  void OnAnswer(TimePoint now, std::uint64_t id, CommitResponse answer,
                std::vector<CommitEffect>& out);

  // Sends the copies whose backoff has passed.
  void Tick(TimePoint now, std::vector<CommitEffect>& out);

  // Stops sending copies; the transaction may have taken effect, or may still
  // do so. Returns it, if it was in flight, with what is known.
  std::optional<TableTransaction> Abandon(std::uint64_t id);

  // When Tick next has something to do.
  std::optional<TimePoint> next_retry_time() const;
  std::size_t in_flight() const { return flights_.size(); }
  // Whether a copy of this transaction may have taken effect.
  bool in_doubt(std::uint64_t id) const;

 private:
  struct Flight {
    TableTransaction transaction{};
    bool unconfirmed = false;  // a copy went unanswered
    int failures = 0;
    std::optional<TimePoint> resend{};
  };

  Duration NextBackoff(int failures);
  void End(std::uint64_t id, CommitOutcome outcome, std::uint64_t revision,
           std::vector<TableRow> rows, std::vector<CommitEffect>& out);

  const CommitResolverOptions options_;
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Flight> flights_;
};

}  // namespace chivewing
