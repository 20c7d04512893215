#include "cluster/verified_starts.h"

#include <gtest/gtest.h>

#include <vector>

#include "cluster/fake_worker_calls.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirst{1000};
constexpr milliseconds kSecond{2000};

class VerifiedStartsTest : public testing::Test {
 protected:
  void Start() {
    StartRun start;
    start.worker = WorkerId("w");
    start.fence = 3;
    start.incarnation_start = kFirst;
    verified_.start_run(start, [this](const CommandResponse& response) {
      outcomes_.push_back(response.outcome);
    });
  }
  void AnswerStart(CommandOutcome outcome) {
    const auto done = workers_.starts.front().second;
    workers_.starts.pop_front();
    done(CommandResponse{.outcome = outcome});
  }
  void AnswerPoll(CommandOutcome outcome, milliseconds incarnation) {
    const auto done = workers_.polls.front().second;
    workers_.polls.pop_front();
    PollResponse response;
    response.outcome = outcome;
    response.incarnation_start = incarnation;
    done(response);
  }

  FakeWorkerCalls workers_;
  const PlatformInterface direct_ = workers_.interface();
  const PlatformInterface verified_ = WithVerifiedStarts(direct_);
  std::vector<CommandOutcome> outcomes_;
};

TEST_F(VerifiedStartsTest, AStartOverAVerifiedConnectionIsSentOnce) {
  Start();
  AnswerStart(CommandOutcome::kDone);
  EXPECT_TRUE(workers_.polls.empty());
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kDone});
}

TEST_F(VerifiedStartsTest, AWorkerIsAskedWhoItIsAndGivenNothing) {
  Start();
  AnswerStart(CommandOutcome::kUnverified);
  ASSERT_EQ(workers_.polls.size(), 1U);
  const PollWorker& poll = workers_.polls.front().first;
  EXPECT_EQ(poll.fence, 3U);
  EXPECT_EQ(poll.persisted_end, 0U);
  EXPECT_FALSE(poll.deadline);
  EXPECT_EQ(poll.wait, milliseconds(0));
  AnswerPoll(CommandOutcome::kDone, kFirst);
  AnswerStart(CommandOutcome::kDone);
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kDone});
}

TEST_F(VerifiedStartsTest, AnotherIncarnationIsSentNoStart) {
  Start();
  AnswerStart(CommandOutcome::kUnverified);
  AnswerPoll(CommandOutcome::kDone, kSecond);
  EXPECT_TRUE(workers_.starts.empty());
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kNotSent});
}

struct AnswerCase {
  CommandOutcome answer;
  CommandOutcome outcome;
};

class UnsentStartTest : public VerifiedStartsTest,
                        public testing::WithParamInterface<AnswerCase> {};

TEST_P(UnsentStartTest, EndsByWhatTheWorkerSays) {
  Start();
  AnswerStart(CommandOutcome::kUnverified);
  AnswerPoll(GetParam().answer, kFirst);
  EXPECT_TRUE(workers_.starts.empty());
  EXPECT_EQ(outcomes_, std::vector{GetParam().outcome});
}

INSTANTIATE_TEST_SUITE_P(
    Answers, UnsentStartTest,
    testing::Values(
        AnswerCase{CommandOutcome::kFenced, CommandOutcome::kFenced},
        AnswerCase{CommandOutcome::kWrongIncarnation,
                   CommandOutcome::kWrongIncarnation},
        AnswerCase{CommandOutcome::kNoResponse, CommandOutcome::kNotSent},
        AnswerCase{CommandOutcome::kNotSent, CommandOutcome::kNotSent},
        AnswerCase{CommandOutcome::kUnhealthy, CommandOutcome::kUnhealthy}));

// Other starts took the connection over which the worker had answered: starts
// that came at once were given up and decided anew.
TEST_F(VerifiedStartsTest, AStartWhoseConnectionIsTakenIsVerifiedAnew) {
  Start();
  for (int taken = 0; taken < 3; ++taken) {
    AnswerStart(CommandOutcome::kUnverified);
    ASSERT_EQ(workers_.polls.size(), 1U);
    AnswerPoll(CommandOutcome::kDone, kFirst);
  }
  AnswerStart(CommandOutcome::kDone);
  EXPECT_TRUE(workers_.polls.empty());
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kDone});
}

// Each time the worker must still be the one that is meant.
TEST_F(VerifiedStartsTest, AWorkerThatStartsAgainMeanwhileIsSentNoStart) {
  Start();
  AnswerStart(CommandOutcome::kUnverified);
  AnswerPoll(CommandOutcome::kDone, kFirst);
  AnswerStart(CommandOutcome::kUnverified);
  AnswerPoll(CommandOutcome::kDone, kSecond);
  EXPECT_TRUE(workers_.starts.empty());
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kNotSent});
}

TEST_F(VerifiedStartsTest, AStartThatNeverFindsItsConnectionIsNotSent) {
  Start();
  AnswerStart(CommandOutcome::kUnverified);
  std::size_t asked = 0;
  while (!workers_.polls.empty()) {
    ++asked;
    AnswerPoll(CommandOutcome::kDone, kFirst);
    AnswerStart(CommandOutcome::kUnverified);
  }
  EXPECT_EQ(asked, 4U);
  EXPECT_EQ(outcomes_, std::vector{CommandOutcome::kNotSent});
}

}  // namespace
}  // namespace chivewing
