// Tests of the order in which the dispatcher writes progress rows and marks the
// ends of runs as persisted.

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRemovedWorkers = 100;

class WriteOrderTest : public testing::Test {
 protected:
  void SetUp() override {
    WorkerRegistration worker;
    worker.worker = WorkerId("w");
    dispatcher_.RegisterWorker(now_, worker);
    // A worker that has never answered gets no row.
    AnswerPolls();
    dispatcher_.OnSaved(now_, dispatcher_.TakeBatch(1));
  }

  // Each worker that is polled answers, with these ends.
  void AnswerPolls(const std::vector<EndedRunReport>& ended = {}) {
    DispatchEffects effects;
    dispatcher_.Decide(now_, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto* const poll = std::get_if<PollWorker>(&effect);
      if (poll == nullptr) continue;
      PollResponse response;
      response.outcome = CommandOutcome::kDone;
      response.clock = WorkerTimestamp(now_.time_since_epoch().count() / 1000);
      response.incarnation_start = incarnation_start_;
      response.ended = ended;
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id, response);
    }
  }

  void AddJob(const std::string& id) {
    JobRecord record;
    record.id = JobId(id);
    record.spec.steps.resize(1);
    record.spec.steps[0].task_count = 1;
    record.spec.steps[0].size = {1000, 1000, 0};
    record.spec.steps[0].estimate = seconds(1);
    dispatcher_.AddJob(now_, now_, record, std::nullopt, false);
  }

  void MakeDirty(const std::string& id) {
    AddJob(id);
    dispatcher_.CancelJob(JobId(id));
  }

  // The worker reports that the task of the job is done.
  void EndRun(const std::string& id, std::uint64_t end) { EndRuns({id}, end); }

  // The same for several jobs, with numbers from `first_end` on.
  void EndRuns(const std::vector<std::string>& ids, std::uint64_t first_end) {
    now_ += seconds(1);
    std::vector<EndedRunReport> ended;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      EndedRunReport& report = ended.emplace_back();
      report.number = first_end + i;
      report.run = {{JobId(ids[i]), 0, 0, 0}, 1};
      report.how = RunEndReason::kDone;
    }
    AnswerPolls(ended);
  }

  // For two seconds the worker is registered no more and answers no poll.
  void LoseWorker() {
    dispatcher_.UnregisterWorker(WorkerId("w"));
    const TimePoint end = now_ + seconds(2);
    for (; now_ < end; now_ += milliseconds(50)) {
      DispatchEffects effects;
      dispatcher_.Decide(now_, milliseconds(0), effects);
      for (const DispatchEffect& effect : effects) {
        const auto& poll = std::get<PollWorker>(effect);
        dispatcher_.OnPollResponse(now_, poll.worker, poll.poll_id, {});
      }
    }
  }

  static std::string JobsOf(const ProgressWriteBatch& batch) {
    std::string out;
    for (const auto& [id, progress] : batch.jobs) out += id.value() + " ";
    return out;
  }

  TimePoint now_{seconds(10)};
  milliseconds incarnation_start_{0};  // of the worker; 0: it reports none
  Dispatcher dispatcher_{{}, 1};
};

// Guards against jobs with high ids whose rows are never written under load.
TEST_F(WriteOrderTest, BusyJobsWithLowerIdsDoNotStarveAnother) {
  MakeDirty("z");
  MakeDirty("a");
  MakeDirty("b");
  EXPECT_EQ(JobsOf(dispatcher_.TakeBatch(1)), "z ");
  MakeDirty("aa");
  EXPECT_EQ(JobsOf(dispatcher_.TakeBatch(2)), "a b ");
  EXPECT_EQ(JobsOf(dispatcher_.TakeBatch(2)), "aa ");
}

// Guards against new workers that stay empty while the rows of jobs keep the
// table busy.
TEST_F(WriteOrderTest, NewWorkersAreEnrolledBeforeTheRowsOfManyJobs) {
  for (int i = 0; i < 200; ++i) MakeDirty("job-" + std::to_string(i));
  WorkerRegistration worker;
  worker.worker = WorkerId("new");
  dispatcher_.RegisterWorker(now_, worker);
  AnswerPolls();
  const ProgressWriteBatch batch = dispatcher_.TakeBatch(60);
  ASSERT_EQ(batch.enrolled.size(), 1U);
  EXPECT_EQ(batch.enrolled.front().worker, WorkerId("new"));
  EXPECT_EQ(batch.row_count(), 60U);
}

// An entry that names no worker got a row, for which each successor waited a
// whole lease.
TEST_F(WriteOrderTest, AWorkerThatHasNeverAnsweredGetsNoRow) {
  WorkerRegistration worker;
  worker.worker = WorkerId("foreign");
  worker.address = "10.0.0.1:9";
  dispatcher_.RegisterWorker(now_, worker);
  EXPECT_TRUE(dispatcher_.TakeBatch(60).empty());
  DispatchEffects effects;
  dispatcher_.Decide(now_, milliseconds(0), effects);
  for (const DispatchEffect& effect : effects) {
    const auto& poll = std::get<PollWorker>(effect);
    dispatcher_.OnPollResponse(now_, poll.worker, poll.poll_id, {});
  }
  EXPECT_TRUE(dispatcher_.TakeBatch(60).empty());
}

// Guards against rows of a failed batch that fall behind the others for good.
TEST_F(WriteOrderTest, ManyRemovedWorkersDoNotOverfillABatch) {
  for (std::size_t i = 0; i < kRemovedWorkers; ++i) {
    WorkerRegistration worker;
    worker.worker = WorkerId("gone" + std::to_string(i));
    dispatcher_.RegisterWorker(now_, worker);
  }
  AnswerPolls();
  const ProgressWriteBatch enrolling = dispatcher_.TakeBatch(kRemovedWorkers);
  ASSERT_EQ(enrolling.enrolled.size(), kRemovedWorkers);
  dispatcher_.OnSaved(now_, enrolling);
  for (std::size_t i = 0; i < kRemovedWorkers; ++i) {
    dispatcher_.UnregisterWorker(WorkerId("gone" + std::to_string(i)));
  }
  const TimePoint end = now_ + seconds(20);
  for (; now_ < end; now_ += milliseconds(100)) {
    DispatchEffects effects;
    dispatcher_.Decide(now_, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto& poll = std::get<PollWorker>(effect);
      dispatcher_.OnPollResponse(now_, poll.worker, poll.poll_id, {});
    }
  }
  std::size_t removed = 0;
  for (int batch = 0; batch < 2; ++batch) {
    const std::size_t rows = dispatcher_.TakeBatch(60).removed_workers.size();
    EXPECT_LE(rows, 60U);
    removed += rows;
  }
  EXPECT_EQ(removed, kRemovedWorkers);
}

// The row of a worker that had left stayed for the rest of its lease. If the
// table was away by then, a successor waited for the worker.
TEST_F(WriteOrderTest, TheRowOfAWorkerThatHasLeftEmptyIsRemovedAtOnce) {
  dispatcher_.UnregisterWorker(WorkerId("w"));
  const TimePoint left = now_;
  std::set<WorkerId> removed;
  for (; removed.empty() && now_ < left + seconds(20);
       now_ += milliseconds(50)) {
    DispatchEffects effects;
    dispatcher_.Decide(now_, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto& poll = std::get<PollWorker>(effect);
      dispatcher_.OnPollResponse(now_, poll.worker, poll.poll_id, {});
    }
    removed = dispatcher_.TakeBatch(60).removed_workers;
  }
  EXPECT_EQ(removed, std::set<WorkerId>{WorkerId("w")});
  EXPECT_LT(now_, left + seconds(1));
}

// A run that may still be there keeps the row.
TEST_F(WriteOrderTest, TheRowOfAWorkerThatMayRunATaskIsKeptForItsLease) {
  WorkerRegistration worker;
  worker.worker = WorkerId("w");
  worker.capacity = {16000, 32000, 0};
  dispatcher_.RegisterWorker(now_, worker);
  AddJob("ended");
  EndRun("ended", 1);  // the worker's clock is known from here on
  AddJob("z");
  DispatchEffects effects;
  dispatcher_.Decide(now_, milliseconds(0), effects);
  const bool started = std::any_of(
      effects.begin(), effects.end(), [](const DispatchEffect& effect) {
        return std::holds_alternative<StartRun>(effect);
      });
  ASSERT_TRUE(started);
  dispatcher_.UnregisterWorker(WorkerId("w"));
  const TimePoint left = now_;
  for (; now_ < left + seconds(5); now_ += milliseconds(50)) {
    effects.clear();
    dispatcher_.Decide(now_, milliseconds(0), effects);
    for (const DispatchEffect& effect : effects) {
      const auto* const poll = std::get_if<PollWorker>(&effect);
      if (poll == nullptr) continue;
      dispatcher_.OnPollResponse(now_, poll->worker, poll->poll_id, {});
    }
    EXPECT_TRUE(dispatcher_.TakeBatch(60).removed_workers.empty());
  }
}

// A worker whose registration had lapsed lost its row before the ends that it
// had reported were written. A successor did not wait for it and started the
// tasks again (TWICE).
TEST_F(WriteOrderTest, TheRowOfAWorkerIsKeptUntilItsEndsAreWritten) {
  AddJob("z");
  EndRun("z", 1);
  LoseWorker();
  const ProgressWriteBatch first = dispatcher_.TakeBatch(1);
  EXPECT_EQ(JobsOf(first), "z ");
  EXPECT_TRUE(first.removed_workers.empty());
  dispatcher_.OnSaved(now_, first);
  LoseWorker();
  EXPECT_EQ(dispatcher_.TakeBatch(1).removed_workers,
            std::set<WorkerId>{WorkerId("w")});
}

// Ends behind one of a job that is not known yet were no reason to keep the
// row (TWICE).
TEST_F(WriteOrderTest, TheRowOfAWorkerIsKeptForEndsBehindAnUnknownOne) {
  AddJob("z");
  EndRuns({"unknown", "z"}, 1);
  LoseWorker();
  EXPECT_TRUE(dispatcher_.TakeBatch(kRemovedWorkers).removed_workers.empty());
}

// A batch that was written late marked ends of the next incarnation, which then
// forgot them unwritten (TWICE).
TEST_F(WriteOrderTest, ABatchMarksNoEndsOfALaterIncarnation) {
  incarnation_start_ = milliseconds(1000);
  AddJob("z");
  EndRun("z", 1);
  const ProgressWriteBatch late = dispatcher_.TakeBatch(1);
  ASSERT_EQ(late.ends.at(WorkerId("w")), 1U);
  incarnation_start_ = milliseconds(2000);
  AddJob("y");
  EndRun("y", 1);
  const TrackedWorker& worker = dispatcher_.state().workers.at(WorkerId("w"));
  ASSERT_EQ(worker.processed_end, 1U);
  dispatcher_.OnSaved(now_, late);
  EXPECT_EQ(worker.persisted_end, 0U);
}

TEST_F(WriteOrderTest, UnwrittenRowsAreNextInTheirOrder) {
  for (const char* const id : {"y", "x", "a"}) MakeDirty(id);
  const ProgressWriteBatch failed = dispatcher_.TakeBatch(2);
  dispatcher_.OnNotSaved(failed);
  EXPECT_EQ(JobsOf(dispatcher_.TakeBatch(3)), "y x a ");
}

// Guards against ends that no worker may forget while any job is dirty.
TEST_F(WriteOrderTest, EndsArePersistedWhileLaterChangesAreLeftToWrite) {
  MakeDirty("y");
  AddJob("z");
  EndRun("z", 1);
  MakeDirty("a");
  const ProgressWriteBatch first = dispatcher_.TakeBatch(1);
  EXPECT_EQ(JobsOf(first), "y ");
  EXPECT_TRUE(first.ends.empty()) << "the row of z is not written yet";
  dispatcher_.OnSaved(now_, first);
  const ProgressWriteBatch second = dispatcher_.TakeBatch(1);
  EXPECT_EQ(JobsOf(second), "z ");
  ASSERT_TRUE(second.ends.contains(WorkerId("w")));
  EXPECT_EQ(second.ends.at(WorkerId("w")), 1U);
  dispatcher_.OnSaved(now_, second);
  EXPECT_TRUE(dispatcher_.HasDirty());
}

// Guards against ends that are marked although their row was not written.
TEST_F(WriteOrderTest, EndsOfAnUnwrittenRowAreNotPersisted) {
  AddJob("z");
  EndRun("z", 1);
  MakeDirty("a");
  dispatcher_.OnNotSaved(dispatcher_.TakeBatch(1));
  MakeDirty("b");
  EXPECT_TRUE(dispatcher_.TakeBatch(0).ends.empty());
  const ProgressWriteBatch retried = dispatcher_.TakeBatch(1);
  EXPECT_EQ(JobsOf(retried), "z ");
  EXPECT_EQ(retried.ends.size(), 1U);
}

}  // namespace
}  // namespace chivewing
