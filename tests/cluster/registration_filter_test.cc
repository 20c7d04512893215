// Which registrations the dispatcher is told of, for each order in which
// entries, desired states and jobs may come.

#include "cluster/registration_filter.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace chivewing {
namespace {

const char* const kPool = "pool";
const char* const kForeign = "billing";

class RegistrationFilterTest : public testing::Test {
 protected:
  static WorkerRegistration Registration(const std::string& id,
                                         const std::string& service) {
    WorkerRegistration out;
    out.worker = WorkerId(id);
    out.service = service;
    return out;
  }

  // Passes an update on, and tracks what comes through.
  void Update(const std::vector<WorkerRegistration>& changed,
              const std::vector<std::string>& removed = {},
              bool is_full_list = false) {
    WorkerListUpdate update{.ok = true, .changed = changed};
    for (const std::string& id : removed) update.removed.emplace_back(id);
    const WorkerListUpdate told =
        filter_.Filter(update, is_full_list, [this](const WorkerId& id) {
          const auto found = tracked_.find(id);
          return found == tracked_.end() ? nullptr : &found->second;
        });
    for (const WorkerRegistration& each : told.changed) Track(each);
    removed_.clear();
    for (const WorkerId& id : told.removed) removed_ += id.value() + " ";
  }
  void TrackNamed() {
    for (const WorkerRegistration& each : filter_.TakeNamed()) Track(each);
  }
  void Track(const WorkerRegistration& each) {
    tracked_[each.worker] = each.service;
  }
  bool IsTracked(const std::string& id) const {
    return tracked_.contains(WorkerId(id));
  }

  RegistrationFilter filter_;
  std::map<WorkerId, std::string> tracked_;
  std::string removed_;  // of the last update
};

TEST_F(RegistrationFilterTest, AServiceThatIsNamedComesThrough) {
  filter_.set_services({kPool});
  Update({Registration("w", kPool)});
  EXPECT_TRUE(IsTracked("w"));
}

// An entry of another writer was taken for a worker: no task of any job was
// started, or a task ran twice (review cases 7 and 8).
TEST_F(RegistrationFilterTest, AServiceThatNobodyNamesIsHeldBack) {
  filter_.set_services({kPool});
  testing::internal::CaptureStdout();
  Update({Registration("foreign", kForeign), Registration("w", kPool)});
  Update({Registration("foreign", kForeign)});
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_FALSE(IsTracked("foreign"));
  EXPECT_TRUE(IsTracked("w"));
  EXPECT_EQ(removed_, "");
  EXPECT_EQ(filter_.held_back(), 1U);
  const std::size_t line = log.find("not using it worker=foreign");
  EXPECT_NE(line, std::string::npos) << log;
  EXPECT_EQ(log.find("worker=foreign", line + 20), std::string::npos) << log;
}

TEST_F(RegistrationFilterTest, AnEntryMayComeBeforeItsDesiredState) {
  Update({Registration("w", kPool)});
  EXPECT_FALSE(IsTracked("w"));
  filter_.set_services({kPool});
  TrackNamed();
  EXPECT_TRUE(IsTracked("w"));
  EXPECT_EQ(filter_.held_back(), 0U);
}

// The desired state of this host is old: another host has accepted the job.
TEST_F(RegistrationFilterTest, AJobNamesItsService) {
  filter_.set_services({"old"});
  Update({Registration("w", kPool)});
  EXPECT_FALSE(IsTracked("w"));
  EXPECT_TRUE(filter_.AddJobService(kPool));
  EXPECT_FALSE(filter_.AddJobService(kPool));
  TrackNamed();
  EXPECT_TRUE(IsTracked("w"));
}

// The newest entry counts.
TEST_F(RegistrationFilterTest, WhatIsHeldBackFollowsItsEntry) {
  filter_.set_services({"old"});
  Update({Registration("a", kPool), Registration("b", kPool),
          Registration("c", kPool)});
  Update({Registration("a", kForeign)}, {"b"});
  filter_.set_services({kPool});
  TrackNamed();
  EXPECT_FALSE(IsTracked("a"));
  EXPECT_FALSE(IsTracked("b"));
  EXPECT_TRUE(IsTracked("c"));
}

TEST_F(RegistrationFilterTest, AFullListReplacesWhatIsHeldBack) {
  filter_.set_services({"old"});
  Update({Registration("gone", kPool)});
  Update({Registration("w", kPool)}, {}, true);
  filter_.set_services({kPool});
  TrackNamed();
  EXPECT_FALSE(IsTracked("gone"));
  EXPECT_TRUE(IsTracked("w"));
}

// A worker of a dropped service may run tasks: it is not forgotten, and what it
// says of itself still counts.
TEST_F(RegistrationFilterTest, AWorkerOfADroppedServiceStays) {
  filter_.set_services({kPool});
  Update({Registration("w", kPool)});
  filter_.set_services({"other"});
  Update({Registration("w", kPool), Registration("new", kPool)});
  EXPECT_EQ(removed_, "");
  EXPECT_FALSE(IsTracked("new"));
  filter_.set_services({kPool, "other"});
  TrackNamed();
  EXPECT_TRUE(IsTracked("new"));
}

// The same while this host has read no desired state yet.
TEST_F(RegistrationFilterTest, AnAdoptedWorkerStaysBeforeAnyDesiredState) {
  Track(Registration("w", kPool));
  Update({Registration("w", kPool)}, {}, true);
  EXPECT_EQ(removed_, "");
  EXPECT_EQ(filter_.held_back(), 0U);
}

// The entry of a known worker is overwritten: the worker gets no new tasks
// until it comes right again.
TEST_F(RegistrationFilterTest, AnOverwrittenEntryIsTakenBackUntilItComesRight) {
  filter_.set_services({kPool});
  Update({Registration("w", kPool)});
  Update({Registration("w", kForeign)});
  EXPECT_EQ(removed_, "w ");
  EXPECT_EQ(tracked_.at(WorkerId("w")), kPool);
  Update({Registration("w", kPool)});
  EXPECT_EQ(removed_, "");
  EXPECT_EQ(filter_.held_back(), 0U);
}

// Another dispatcher of this host knows only the jobs that are read for it.
TEST_F(RegistrationFilterTest, ResettingForgetsJobsAndEntries) {
  filter_.set_services({"old"});
  filter_.AddJobService(kPool);
  Update({Registration("foreign", kForeign)});
  filter_.Reset();
  EXPECT_FALSE(filter_.IsNamed(kPool));
  EXPECT_TRUE(filter_.IsNamed("old"));
  EXPECT_EQ(filter_.held_back(), 0U);
}

}  // namespace
}  // namespace chivewing
