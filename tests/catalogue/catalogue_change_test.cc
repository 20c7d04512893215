#include "catalogue/catalogue_change.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalogue/catalogue.h"
#include "catalogue/in_memory_table.h"

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kWallTime{1'800'000'000'000};
constexpr std::chrono::seconds kTimeout{2};

CatalogueEntry EntryWith(int priority) {
  CatalogueEntry entry;
  entry.name = EntryName("scoring");
  entry.owner = OwnerId("puzzles");
  entry.work_class = WorkClass::kBatch;
  entry.policy.priority = priority;
  return entry;
}

CatalogueEdit EditFrom(std::uint64_t version,
                       std::optional<CatalogueEntry> entry) {
  return {EntryName("scoring"), version, "ama", std::move(entry)};
}

// The fate of one copy of a commit on the network.
enum class Delivery { kDelivered, kResponseLost, kRequestLost, kUnavailable };

// Carries out the effects of one change, one step at a time, against the table
// in memory.
class ChangeRun {
 public:
  ChangeRun(InMemoryTable& table, const CatalogueEdit& edit,
            std::string write_id)
      : table_(table), change_(edit, std::move(write_id), now_ + kTimeout) {
    change_.Start(effects_);
  }

  bool is_over() const {
    return std::holds_alternative<FinishChange>(effects_.back());
  }
  const FinishChange& finish() const {
    return std::get<FinishChange>(effects_.back());
  }

  void Step(Delivery delivery) {
    const ChangeEffect effect = effects_.back();
    if (const auto* read = std::get_if<ReadChangedRow>(&effect)) {
      change_.OnRead(table_.Read(read->key), kWallTime, now_, effects_);
    } else if (const auto* commit = std::get_if<CommitChange>(&effect)) {
      now_ = commit->at;
      change_.OnCommit(Deliver(commit->transaction, delivery), now_, effects_);
    }
  }

  void RunToEnd(Delivery delivery) {
    while (!is_over()) Step(delivery);
  }

 private:
  CommitResponse Deliver(const TableTransaction& transaction,
                         Delivery delivery) {
    if (delivery == Delivery::kRequestLost) return {};
    if (delivery == Delivery::kUnavailable) {
      return {CommitStatus::kNotApplied, 0, {}};
    }
    const CommitResponse response = table_.Commit(transaction);
    return delivery == Delivery::kResponseLost ? CommitResponse() : response;
  }

  InMemoryTable& table_;
  TimePoint now_;
  CatalogueChange change_;
  ChangeEffects effects_;
};

FinishChange RunChange(InMemoryTable& table, const CatalogueEdit& edit,
                       const std::string& write_id,
                       Delivery delivery = Delivery::kDelivered) {
  ChangeRun run(table, edit, write_id);
  run.RunToEnd(delivery);
  return run.finish();
}

TEST(CatalogueChange, WritesTheEntryAndItsHistory) {
  InMemoryTable table;
  const FinishChange added = RunChange(table, EditFrom(0, EntryWith(1)), "w1");
  ASSERT_EQ(added.accepted.size(), 2U);
  EXPECT_EQ(added.accepted[0].key, "catalogue/scoring");
  EXPECT_EQ(added.accepted[1].key, "history/scoring/00000001");
  const FinishChange changed =
      RunChange(table, EditFrom(1, EntryWith(2)), "w2");
  EXPECT_EQ(changed.accepted[1].key, "history/scoring/00000002");
  EXPECT_EQ(table.Read("history/scoring/00000001").version, 1U);
}

TEST(CatalogueChange, SecondOfTwoConcurrentEditsSeesBothVersions) {
  InMemoryTable table;
  ChangeRun first(table, EditFrom(0, EntryWith(1)), "w1");
  ChangeRun second(table, EditFrom(0, EntryWith(2)), "w2");
  first.Step(Delivery::kDelivered);
  second.Step(Delivery::kDelivered);
  first.Step(Delivery::kDelivered);
  second.Step(Delivery::kDelivered);
  ASSERT_TRUE(first.is_over() && second.is_over());
  EXPECT_FALSE(first.finish().accepted.empty());
  ASSERT_TRUE(second.finish().conflict);
  EXPECT_EQ(second.finish().conflict->present.entry->policy.priority, 1);
  EXPECT_EQ(second.finish().conflict->yours.entry->policy.priority, 2);
}

TEST(CatalogueChange, LostResponseIsNoConflict) {
  InMemoryTable table;
  ChangeRun run(table, EditFrom(0, EntryWith(1)), "w1");
  run.Step(Delivery::kDelivered);
  run.Step(Delivery::kResponseLost);
  // Another change is committed between the first copy and the retry.
  RunChange(table, EditFrom(1, EntryWith(2)), "w2");
  run.RunToEnd(Delivery::kDelivered);
  ASSERT_FALSE(run.finish().conflict);
  ASSERT_FALSE(run.finish().accepted.empty());
  EXPECT_EQ(run.finish().accepted[0].version, 1U);
}

struct NoResponseCase {
  const char* label;
  Delivery delivery;
  ResultCode code;
};

class NoResponse : public testing::TestWithParam<NoResponseCase> {};

TEST_P(NoResponse, ReportsWhetherTheChangeMayHaveApplied) {
  InMemoryTable table;
  const FinishChange finish =
      RunChange(table, EditFrom(0, EntryWith(1)), "w1", GetParam().delivery);
  ASSERT_TRUE(finish.error);
  EXPECT_EQ(finish.error->code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    All, NoResponse,
    testing::Values(NoResponseCase{"Away", Delivery::kUnavailable,
                                   ResultCode::kPlatformUnavailable},
                    NoResponseCase{"RequestLost", Delivery::kRequestLost,
                                   ResultCode::kWriteInDoubt},
                    NoResponseCase{"AnswerLost", Delivery::kResponseLost,
                                   ResultCode::kWriteInDoubt}),
    [](const auto& info) { return std::string(info.param.label); });

TEST(CatalogueChange, RemovedEntryCanBeAddedAgain) {
  InMemoryTable table;
  RunChange(table, EditFrom(0, EntryWith(1)), "w1");
  EXPECT_FALSE(RunChange(table, EditFrom(1, {}), "w2").accepted.empty());
  const FinishChange twice = RunChange(table, EditFrom(2, {}), "w3");
  ASSERT_TRUE(twice.error);
  EXPECT_EQ(twice.error->code, ResultCode::kNotFound);
  const FinishChange again = RunChange(table, EditFrom(0, EntryWith(3)), "w4");
  ASSERT_FALSE(again.accepted.empty());
  EXPECT_EQ(again.accepted[1].key, "history/scoring/00000003");
}

// Several operators edit one entry concurrently while messages get lost. At
// most one edit is accepted, and the outcome reported for each edit agrees with
// the rows of the table.
RC_GTEST_PROP(CatalogueChange, OutcomesAgreeWithTheTable, ()) {
  InMemoryTable table;
  std::vector<ChangeRun> runs;
  const int operators = *rc::gen::inRange(1, 5);
  const auto version = *rc::gen::inRange<std::uint64_t>(0, 3);
  RunChange(table, EditFrom(0, EntryWith(100)), "first");
  RunChange(table, EditFrom(1, EntryWith(101)), "second");
  runs.reserve(static_cast<std::size_t>(operators));
  for (int i = 0; i < operators; ++i) {
    runs.emplace_back(table, EditFrom(version, EntryWith(i)),
                      "w" + std::to_string(i));
  }
  while (true) {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      if (!runs[i].is_over()) open.push_back(i);
    }
    if (open.empty()) break;
    const auto chosen = *rc::gen::elementOf(open);
    runs[chosen].Step(
        *rc::gen::element(Delivery::kDelivered, Delivery::kResponseLost,
                          Delivery::kRequestLost, Delivery::kUnavailable));
  }
  int accepted = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const std::string write_id = "w" + std::to_string(i);
    const bool is_written =
        table.Read("history/scoring/00000003").write_id == write_id;
    const FinishChange& finish = runs[i].finish();
    if (!finish.accepted.empty()) ++accepted;
    if (!finish.accepted.empty()) RC_ASSERT(is_written);
    if (finish.conflict) RC_ASSERT(!is_written);
    const bool is_denied =
        finish.error && finish.error->code == ResultCode::kPlatformUnavailable;
    if (is_denied) RC_ASSERT(!is_written);
  }
  RC_ASSERT(accepted <= 1);
}

// A copy of the catalogue that receives the rows in any order, with some of
// them missing or repeated, keeps the row of the highest version.
RC_GTEST_PROP(Catalogue, NeverRevertsForAnyOrderOfRows, ()) {
  InMemoryTable table;
  std::vector<TableRow> rows;
  const int changes = *rc::gen::inRange(1, 8);
  std::uint64_t version = 0;
  for (int i = 0; i < changes; ++i) {
    const bool removes = version > 0 && *rc::gen::arbitrary<bool>() &&
                         rows.back().value->find("null") == std::string::npos;
    const std::optional<CatalogueEntry> entry =
        removes ? std::nullopt : std::optional(EntryWith(i));
    const FinishChange finish =
        RunChange(table, EditFrom(version, entry), "w" + std::to_string(i));
    RC_ASSERT(finish.accepted.size() == 2U);
    rows.push_back(finish.accepted[0]);
    version = rows.back().version;
  }
  Catalogue catalogue;
  std::uint64_t highest = 0;
  const auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, rows.size()));
  for (const std::size_t at : order) {
    const TableRow& row = rows[at];
    const Result<ApplyRowResult> applied =
        catalogue.Apply(row.key, row.value, row.version);
    RC_ASSERT(applied.has_value());
    const bool is_newer = row.version > highest;
    RC_ASSERT((applied.value() == ApplyRowResult::kApplied) == is_newer);
    if (is_newer) highest = row.version;
    RC_ASSERT(catalogue.FindRecord(EntryName("scoring"))->version == highest);
  }
}

}  // namespace
}  // namespace chivewing
