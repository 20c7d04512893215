#include "store/commit_resolver.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace chivewing {
namespace {

using std::chrono::milliseconds;

TableTransaction WriteOf(const std::string& write_id, const std::string& key,
                         std::uint64_t version) {
  return {.write_id = write_id,
          .conditions = {{key, version}},
          .writes = {{key, "by " + write_id}}};
}

TableRow Present(const std::string& key, std::uint64_t version,
                 const std::string& write_id) {
  return {.key = key, .value = "v", .version = version, .write_id = write_id};
}

struct ConflictCase {
  const char* name;
  bool first_copy_unanswered;  // the first copy got no response
  bool has_commit_marker;
  TableRow present;
  CommitOutcome outcome;
};

class ConflictTest : public testing::TestWithParam<ConflictCase> {};

TEST_P(ConflictTest, OutcomeFollowsFromReturnedRows) {
  CommitResolver resolver({}, 1);
  std::vector<CommitEffect> out;
  TableTransaction transaction = WriteOf("mine", "row", 4);
  transaction.conditions.push_back({"other", 2});
  if (GetParam().has_commit_marker) transaction.commit_marker_key = "row";
  const std::uint64_t id = resolver.Submit(transaction, out).value();
  const TimePoint start{};
  if (GetParam().first_copy_unanswered) {
    resolver.OnAnswer(start, id, {.status = CommitStatus::kUnknown}, out);
    EXPECT_TRUE(resolver.in_doubt(id));
    resolver.Tick(*resolver.next_retry_time(), out);
  }
  out.clear();
  resolver.OnAnswer(
      start, id,
      {.status = CommitStatus::kConflict, .rows = {GetParam().present}}, out);
  ASSERT_EQ(out.size(), 1U);
  const auto& resolved = std::get<CommitResolved>(out.front());
  EXPECT_EQ(resolved.outcome, GetParam().outcome);
  EXPECT_EQ(resolver.in_flight(), 0U);
  if (resolved.outcome == CommitOutcome::kCommitted) {
    EXPECT_EQ(resolved.revision, GetParam().present.version);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Rows, ConflictTest,
    testing::Values(
        ConflictCase{"OursAfterALostAnswer", true, false,
                     Present("row", 9, "mine"), CommitOutcome::kCommitted},
        ConflictCase{"OthersAtTheFirstCopy", false, false,
                     Present("row", 9, "theirs"), CommitOutcome::kConflict},
        ConflictCase{"OthersAfterALostAnswer", true, false,
                     Present("row", 9, "theirs"), CommitOutcome::kAmbiguous},
        ConflictCase{"UnchangedAfterALostAnswer", true, false,
                     Present("row", 4, "before"), CommitOutcome::kConflict},
        ConflictCase{"ProofRowOfOthersAfterALostAnswer", true, true,
                     Present("row", 9, "theirs"), CommitOutcome::kConflict},
        ConflictCase{"RowNotWrittenByIt", true, false,
                     Present("other", 2, "before"), CommitOutcome::kAmbiguous}),
    [](const auto& each) { return each.param.name; });

TEST(CommitResolverTest, ResendsSameTransactionAfterBackoff) {
  const CommitResolverOptions options{.initial_backoff = milliseconds(100),
                                      .max_backoff = milliseconds(400)};
  CommitResolver resolver(options, 7);
  std::vector<CommitEffect> out;
  const std::uint64_t id = resolver.Submit(WriteOf("w", "k", 0), out).value();
  TimePoint now{};
  for (const int longest : {100, 200, 400, 400}) {
    out.clear();
    resolver.OnAnswer(now, id, {.status = CommitStatus::kNotApplied}, out);
    EXPECT_TRUE(out.empty());
    const Duration wait = *resolver.next_retry_time() - now;
    EXPECT_GE(wait, milliseconds(longest) / 2);
    EXPECT_LE(wait, milliseconds(longest));
    resolver.Tick(now, out);
    EXPECT_TRUE(out.empty());
    now += wait;
    resolver.Tick(now, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<SendCommit>(out.front()).transaction.write_id, "w");
  }
  EXPECT_FALSE(resolver.in_doubt(id));
  EXPECT_TRUE(resolver.Abandon(id).has_value());
  EXPECT_FALSE(resolver.Abandon(id).has_value());
}

struct BadCase {
  const char* name;
  TableTransaction transaction;
};

class BadTransactionTest : public testing::TestWithParam<BadCase> {};

TEST_P(BadTransactionTest, IsRejectedBecauseItCouldTakeEffectTwice) {
  CommitResolver resolver({}, 1);
  std::vector<CommitEffect> out;
  const auto refused = resolver.Submit(GetParam().transaction, out);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ResultCode::kBadRequest);
  EXPECT_TRUE(out.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Transactions, BadTransactionTest,
    testing::Values(BadCase{"NoCondition",
                            {.write_id = "w", .writes = {{"a", "v"}}}},
                    BadCase{"ConditionElsewhere",
                            {.write_id = "w",
                             .conditions = {{"b", 1}},
                             .writes = {{"a", "v"}}}},
                    BadCase{"ProofKeyNotWritten",
                            {.write_id = "w",
                             .conditions = {{"a", 1}, {"b", 1}},
                             .writes = {{"a", "v"}},
                             .commit_marker_key = "b"}}),
    [](const auto& each) { return each.param.name; });

// Table that counts how often each transaction takes effect.
class InMemoryTable {
 public:
  CommitResponse Commit(const TableTransaction& transaction) {
    std::vector<TableRow> present;
    bool holds = true;
    for (const TableCondition& condition : transaction.conditions) {
      TableRow row = rows_[condition.key];
      row.key = condition.key;
      holds = holds && row.version == condition.version;
      present.push_back(std::move(row));
    }
    if (!holds) {
      return {.status = CommitStatus::kConflict, .rows = std::move(present)};
    }
    ++revision_;
    ++effects_[transaction.write_id];
    for (const TableWrite& write : transaction.writes) {
      rows_[write.key] = {.key = write.key,
                          .value = write.value,
                          .version = revision_,
                          .write_id = transaction.write_id};
    }
    return {.status = CommitStatus::kCommitted, .revision = revision_};
  }

  std::uint64_t version(const std::string& key) { return rows_[key].version; }
  int effects(const std::string& write_id) { return effects_[write_id]; }

 private:
  std::uint64_t revision_ = 0;
  std::map<std::string, TableRow> rows_;
  std::map<std::string, int> effects_;
};

// Runs a resolver against the table over a network that loses requests and
// responses, and delays copies until after later ones.
class LossyRun {
 public:
  void Submit(int number) {
    const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
    const std::string side = "k" + std::to_string(*rc::gen::inRange(0, 3));
    const std::string write_id = "w" + std::to_string(number);
    TableTransaction transaction = WriteOf(write_id, key, table_.version(key));
    if (*rc::gen::arbitrary<bool>()) {
      transaction.writes.push_back({"only" + write_id, "v"});
      transaction.conditions.push_back({"only" + write_id, 0});
      transaction.commit_marker_key = "only" + write_id;
    }
    if (side != key && *rc::gen::arbitrary<bool>()) {
      transaction.conditions.push_back({side, table_.version(side)});
    }
    RC_ASSERT(resolver_.Submit(transaction, effects_).has_value());
  }

  void Step() {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        DeliverDelayed();
        break;
      case 1:
        now_ += milliseconds(*rc::gen::inRange(1, 300));
        resolver_.Tick(now_, effects_);
        break;
      default:
        break;
    }
    Execute(/*is_lossy=*/true);
  }

  // Delivers all remaining copies without further loss.
  void Settle() {
    while (resolver_.in_flight() > 0) {
      now_ += std::chrono::seconds(3);
      resolver_.Tick(now_, effects_);
      Execute(/*is_lossy=*/false);
    }
    while (!delayed_.empty()) DeliverDelayed();
    CheckReports();
  }

 private:
  void Execute(bool is_lossy) {
    std::vector<CommitEffect> effects;
    std::swap(effects, effects_);
    for (const CommitEffect& effect : effects) {
      if (const auto* send = std::get_if<SendCommit>(&effect)) {
        Send(*send, is_lossy);
      } else {
        reports_.push_back(std::get<CommitResolved>(effect));
        CheckReports();
      }
    }
    if (!effects_.empty()) Execute(is_lossy);
  }

  void Send(const SendCommit& send, bool is_lossy) {
    CommitResponse lost{.status = CommitStatus::kUnknown};
    switch (is_lossy ? *rc::gen::inRange(0, 6) : 0) {
      case 1:  // rejected: certainly not applied
        lost.status = CommitStatus::kNotApplied;
        break;
      case 2:  // the request is lost
        break;
      case 3:  // the request arrives later
        delayed_.push_back(send.transaction);
        break;
      case 4:  // the response is lost
        table_.Commit(send.transaction);
        break;
      default:
        resolver_.OnAnswer(now_, send.id, table_.Commit(send.transaction),
                           effects_);
        return;
    }
    resolver_.OnAnswer(now_, send.id, std::move(lost), effects_);
  }

  void DeliverDelayed() {
    if (delayed_.empty()) return;
    const auto at = *rc::gen::inRange<std::size_t>(0, delayed_.size());
    table_.Commit(delayed_[at]);
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(at));
    CheckReports();
  }

  void CheckReports() {
    for (const CommitResolved& report : reports_) {
      const int effects = table_.effects(report.transaction.write_id);
      RC_ASSERT(effects <= 1);
      if (report.outcome == CommitOutcome::kCommitted) RC_ASSERT(effects == 1);
      if (report.outcome == CommitOutcome::kConflict) RC_ASSERT(effects == 0);
      const bool has_commit_marker =
          !report.transaction.commit_marker_key.empty();
      if (has_commit_marker)
        RC_ASSERT(report.outcome != CommitOutcome::kAmbiguous);
    }
  }

  InMemoryTable table_;
  CommitResolver resolver_{{}, 42};
  TimePoint now_{};
  std::vector<CommitEffect> effects_;
  std::vector<TableTransaction> delayed_;
  std::vector<CommitResolved> reports_;
};

RC_GTEST_PROP(CommitResolverProperty, OutcomesAreCorrectAndEffectsAtMostOne,
              ()) {
  LossyRun run;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    if (*rc::gen::arbitrary<bool>()) run.Submit(i);
    run.Step();
  }
  run.Settle();
}

}  // namespace
}  // namespace chivewing
