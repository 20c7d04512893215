#include "dispatch/job_urgency.h"

#include <gtest/gtest.h>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

// Two steps of one second each, one after the other.
TrackedJob MakeJob() {
  TrackedJob job;
  job.record.id = JobId("job");
  job.record.queue.stretch = 2.0;
  job.record.queue.objective = milliseconds(500);
  StepSpec step;
  step.estimate = seconds(1);
  job.record.spec.steps = {step, step};
  job.record.spec.steps[1].after = {0};
  job.accepted_at = kStart;
  job.due = kStart + JobObjective(job.record);
  job.useless_after = kStart + JobUsefulTime(job.record);
  job.OpenOccurrence(0);
  return job;
}

TEST(JobUrgencyTest, TheObjectiveAllowsForTheAdviceOfEachStep) {
  TrackedJob job = MakeJob();
  EXPECT_EQ(JobObjective(job.record), milliseconds(4500));
  job.record.queue.advice = AdvicePolicy{.decide = milliseconds(40),
                                         .each = milliseconds(2),
                                         .valid_for = seconds(2)};
  EXPECT_EQ(JobObjective(job.record), milliseconds(4900));
}

struct UrgencyCase {
  milliseconds after{0};  // the acceptance
  bool first_step_done = false;
  JobUrgency expected = JobUrgency::kInTime;
};

class UrgencyTest : public testing::TestWithParam<UrgencyCase> {};

TEST_P(UrgencyTest, DropsWithTheTimeThatIsLeft) {
  TrackedJob job = MakeJob();
  if (GetParam().first_step_done) job.FindStep(0, 0)->done_count = 1;
  EXPECT_EQ(UrgencyAt(kStart + GetParam().after, job, 0), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Times, UrgencyTest,
    testing::Values(UrgencyCase{milliseconds(0), false, JobUrgency::kInTime},
                    UrgencyCase{milliseconds(3500), false, JobUrgency::kInTime},
                    UrgencyCase{milliseconds(3501), false, JobUrgency::kLate},
                    UrgencyCase{milliseconds(4000), true, JobUrgency::kInTime},
                    UrgencyCase{milliseconds(4001), true, JobUrgency::kLate},
                    UrgencyCase{milliseconds(13499), false, JobUrgency::kLate},
                    UrgencyCase{milliseconds(13500), false,
                                JobUrgency::kUseless}));

TEST(JobUrgencyTest, EachChangeIsFoundAtItsTime) {
  const TrackedJob job = MakeJob();
  TimePoint now = kStart;
  for (const JobUrgency next : {JobUrgency::kLate, JobUrgency::kUseless}) {
    const TimePoint change = NextUrgencyChange(now, job, 0);
    EXPECT_GT(UrgencyAt(change, job, 0), UrgencyAt(now, job, 0));
    EXPECT_EQ(UrgencyAt(change, job, 0), next);
    EXPECT_LT(UrgencyAt(change - Duration(1), job, 0), next);
    now = change;
  }
  EXPECT_EQ(NextUrgencyChange(now, job, 0), TimePoint::max());
}

}  // namespace
}  // namespace chivewing
