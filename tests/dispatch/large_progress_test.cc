// Jobs whose progress is larger than what the table takes at once.

#include <gtest/gtest.h>

#include "dispatch/cluster_model.h"
#include "dispatch/job_progress.h"

namespace chivewing {
namespace {

// What the platform takes: bytes of a row, and of a transaction, which holds
// the values as base64.
constexpr std::size_t kPlatformRowBytes = 65'536;
constexpr std::size_t kPlatformTransactionBytes = 1'000'000;
constexpr std::size_t kRowsPerBatch = 60;
const char* const kCheckpoint = "0123456789abcdef";

// So many tasks of each step, every fourth with a failed run and every fifth
// done.
JobProgress LargeProgress(std::size_t steps, std::size_t tasks) {
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.occurrences[0].resize(steps);
  for (StepProgress& step : progress.occurrences[0]) {
    for (std::size_t i = 0; i < tasks; ++i) {
      step[i].done = i % 5 == 0;
      if (step[i].done) continue;
      step[i].saved = kCheckpoint;
      if (i % 4 == 0) step[i].failed_runs = {1, 1001};
    }
  }
  return progress;
}

// A release of workers stopped thousands of tasks with checkpoints; the store
// refused the row, and with it the progress of all jobs (review case 2, Acks).
TEST(LargeProgressTest, ARowFitsAndLacksOnlyCheckpoints) {
  const JobProgress progress = LargeProgress(4, 1'050);
  ASSERT_GT(EncodeJobProgress(progress).size(), kPlatformRowBytes);
  const ProgressRowValue row =
      EncodeProgressRow(progress, kMaxProgressRowBytes);
  EXPECT_LE(row.text.size(), kMaxProgressRowBytes);
  EXPECT_GT(row.checkpoints_left_out, 0U);
  const Result<JobProgress> back = DecodeJobProgress(row.text);
  ASSERT_TRUE(back);
  std::size_t kept = 0;
  std::size_t all = 0;
  for (std::size_t s = 0; s < progress.occurrences.at(0).size(); ++s) {
    for (const auto& [index, task] : progress.occurrences.at(0)[s]) {
      const StepProgress& step = back.value().occurrences.at(0)[s];
      const auto found = step.find(index);
      const TaskProgress read =
          found == step.end() ? TaskProgress{} : found->second;
      EXPECT_EQ(read.done, task.done);
      EXPECT_EQ(read.failed_runs, task.failed_runs);
      all += task.saved.empty() ? 0 : 1;
      if (read.saved.empty()) continue;
      EXPECT_EQ(read.saved, task.saved);
      ++kept;
    }
  }
  EXPECT_EQ(kept + row.checkpoints_left_out, all);
  EXPECT_GT(kept, 0U);
}

TEST(LargeProgressTest, ASmallRowKeepsAll) {
  const JobProgress progress = LargeProgress(2, 20);
  const ProgressRowValue row =
      EncodeProgressRow(progress, kMaxProgressRowBytes);
  EXPECT_EQ(row.text, EncodeJobProgress(progress));
  EXPECT_EQ(row.checkpoints_left_out, 0U);
}

// After a take-over beside a lost worker all waiting tasks of a wide job were
// noted as suspected; the store refused the row (review case 6, LOST).
TEST(LargeProgressTest, ManyTasksThatAreAlikeFit) {
  constexpr std::size_t tasks = 10'000;
  constexpr std::size_t workers = 48;
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.highest_run = 2001;
  progress.occurrences[0].resize(1);
  StepProgress& step = progress.occurrences[0].front();
  for (std::size_t i = 0; i < tasks; ++i) {
    step[i].done = i % 3 == 0;
    if (step[i].done) continue;
    step[i].crashes = 1 + i % 2;
    NotedStart& start = step[i].noted_start.emplace();
    if (i % 4 == 0) continue;
    start.worker = WorkerId("i-" + std::to_string(i % workers));
    start.incarnation_start = std::chrono::milliseconds(1'800'000'000'000);
    if (i % 5 == 0) step[i].failed_runs = {1, 2001};
  }
  const ProgressRowValue row =
      EncodeProgressRow(progress, kMaxProgressRowBytes);
  EXPECT_LT(row.text.size(), kPlatformRowBytes);
  EXPECT_EQ(row.checkpoints_left_out, 0U);
  const Result<JobProgress> back = DecodeJobProgress(row.text);
  ASSERT_TRUE(back);
  EXPECT_EQ(EncodeJobProgress(back.value()), EncodeJobProgress(progress));
  ASSERT_TRUE(DecodeJobPhase(row.text));
}

// Sixty rows of the largest size would be refused together.
TEST(LargeProgressTest, ABatchFitsIntoOneTransaction) {
  ModelOptions options;
  options.jobs = 0;
  ClusterModel model(options);
  Dispatcher dispatcher({}, 1);
  const TimePoint now = model.now();
  StepSpec step;
  step.task_count = 1'000;
  step.checkpoints = true;
  for (std::size_t i = 0; i < kRowsPerBatch; ++i) {
    const JobRecord record =
        model.MakeJob("j" + std::to_string(i), {step, step});
    JobProgress progress = LargeProgress(2, step.task_count);
    // Resolved, and so changed, when the job is added.
    progress.occurrences[0][0][1].noted_start = NotedStart{};
    dispatcher.AddJob(now, now, record, progress, false);
  }
  std::size_t jobs = 0;
  std::size_t batches = 0;
  while (dispatcher.HasDirty()) {
    const ProgressWriteBatch batch = dispatcher.TakeBatch(kRowsPerBatch);
    ASSERT_FALSE(batch.empty());
    std::size_t bytes = 0;
    for (const auto& [id, progress] : batch.jobs) {
      bytes += EncodeProgressRow(progress, kMaxProgressRowBytes).text.size();
    }
    EXPECT_LT(bytes * 4 / 3, kPlatformTransactionBytes);
    jobs += batch.jobs.size();
    ++batches;
    dispatcher.OnSaved(now, batch);
  }
  EXPECT_EQ(jobs, kRowsPerBatch);
  EXPECT_GT(batches, 1U);
}

}  // namespace
}  // namespace chivewing
