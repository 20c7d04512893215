#include "cluster/dispatcher_runner.h"

#include <gtest/gtest.h>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster/worker_row.h"
#include "lease/lease_row.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kListed = "i-listed";
const char* const kService = "pool";

// A dispatcher runner on a table that holds back the read with which a
// take-over catches up.
class TakeOverTest : public testing::Test {
 protected:
  using ChangesCallback = std::function<void(ChangesResponse)>;

  void SetUp() override {
    DesiredState state;
    state.version = 1;
    state.services.emplace_back().name = kService;
    runner_.OnDesiredState(BootClock::now(), state);
    watcher_.set_needs_all_rows(true);
    watcher_.Tick(BootClock::now());
    watcher_.Tick(BootClock::now());
    runner_.StartLease([] { return BootClock::now(); });
    const TimePoint end = BootClock::now() + seconds(10);
    while (!catch_up_ && BootClock::now() < end) {
      runner_.Tick(BootClock::now());
      watcher_.Tick(BootClock::now());
      std::this_thread::sleep_for(milliseconds(2));
    }
    ASSERT_TRUE(catch_up_);
  }
  void TearDown() override { runner_.StopLease(); }
  void CatchUp() { catch_up_({.ok = true, .revision = 50}); }

  static PlatformInterface MakePlatform(ChangesCallback& catch_up) {
    PlatformInterface out;
    out.table.read_prefix = [](const auto& /*prefix*/, const auto& done) {
      done({.ok = true});
    };
    out.table.read_all = [](const auto& done) {
      done({.ok = true, .revision = 1});
    };
    out.table.changes = [&catch_up](auto /*since*/, milliseconds wait,
                                    const auto& done) {
      if (wait.count() == 0) catch_up = done;
    };
    out.commit_lease = [](const TableTransaction&, const auto& done) {
      done({.status = CommitStatus::kCommitted, .revision = 10});
    };
    // One worker in the full list, none among the changes.
    out.watch_workers = [](auto after, auto /*wait*/, const auto& done) {
      WorkerListUpdate update{.ok = true, .revision = 1};
      if (after == 0) {
        WorkerRegistration& listed = update.changed.emplace_back();
        listed.worker = WorkerId(kListed);
        listed.service = kService;
      }
      done(update);
    };
    return out;
  }
  static ClusterSettings MakeSettings() {
    ClusterSettings settings;
    settings.host = HostId("h1");
    return settings;
  }

  ChangesCallback catch_up_{};
  const PlatformInterface platform_ = MakePlatform(catch_up_);
  TableWatcher watcher_{platform_.table, "host/h1",
                        [](const auto& run) { run(BootClock::now()); },
                        [](TimePoint, const TableRow&) {}};
  DispatcherRunner runner_{
      BootClock::now(),
      MakeSettings(),
      /*incarnation=*/1,
      platform_,
      watcher_,
      {.post = [](LoopWork, const auto& run) { run(BootClock::now()); },
       .wake = [](LoopWork) {},
       .wall_clock = [] { return milliseconds(0); },
       .on_rows_committed = [](TimePoint, const std::vector<TableRow>&) {},
       .request_advice = [](const AdviceRequest&) {},
       .drop_calls = [] {}}};
};

TEST_F(TakeOverTest, BeginsToDispatchOnceItHasCaughtUp) {
  EXPECT_FALSE(runner_.dispatching());
  CatchUp();
  EXPECT_TRUE(runner_.dispatching());
}

// Changes that were read while the rows were still being read took the place of
// the list: no worker got tasks before its entry changed again.
TEST_F(TakeOverTest, KeepsTheListOfWorkersThatItHasRead) {
  const TimePoint later = BootClock::now() + milliseconds(250);
  runner_.Tick(later);
  CatchUp();
  ASSERT_TRUE(runner_.dispatching());
  EXPECT_TRUE(
      runner_.dispatcher()->state().workers.contains(WorkerId(kListed)));
}

// Rows that an earlier build had written for entries of other writers made each
// successor wait a whole lease for what they name.
TEST_F(TakeOverTest, RowsOfAServiceThatNobodyNamesAreNotWaitedFor) {
  WorkerRegistration worker;
  worker.service = kService;
  ChangesResponse rows{.ok = true, .revision = 10};
  rows.rows.push_back(
      {WorkerRowKey(WorkerId("i-1")), EncodeWorkerRow(worker), 5, "w"});
  worker.service = "billing";
  rows.rows.push_back(
      {WorkerRowKey(WorkerId("foreign")), EncodeWorkerRow(worker), 5, "w"});
  worker.service = "dropped";
  rows.rows.push_back(
      {WorkerRowKey(WorkerId("i-2")), EncodeWorkerRow(worker), 5, "w"});
  JobRecord record;
  record.queue.service = "dropped";
  record.queue.max_attempts = 1;
  record.spec.steps.emplace_back();
  rows.rows.push_back(
      {JobRecordKey(JobId("old")), EncodeJobRecord(record), 6, "w"});
  catch_up_(rows);
  ASSERT_TRUE(runner_.dispatching());
  const DispatchState& state = runner_.dispatcher()->state();
  EXPECT_EQ(state.unsynced_workers,
            (std::set<WorkerId>{WorkerId("i-1"), WorkerId("i-2")}));
  EXPECT_EQ(state.removed_workers, std::set<WorkerId>{WorkerId("foreign")});
}

// A job row that cannot be read may have had tasks on any worker.
TEST_F(TakeOverTest, AllRowsAreWaitedForBesideAJobThatCannotBeRead) {
  WorkerRegistration worker;
  worker.service = "billing";
  ChangesResponse rows{.ok = true, .revision = 10};
  rows.rows = {
      {WorkerRowKey(WorkerId("foreign")), EncodeWorkerRow(worker), 5, "w"},
      {JobRecordKey(JobId("odd")), "nonsense", 6, "w"}};
  catch_up_(rows);
  ASSERT_TRUE(runner_.dispatching());
  EXPECT_EQ(runner_.dispatcher()->state().unsynced_workers.size(), 1U);
}

// Jobs accepted since the lease before was over waited, like older ones, for
// each worker that could not be reached.
TEST_F(TakeOverTest, OnlyJobsThatTheHolderBeforeMayKnowWaitForItsWorkers) {
  std::this_thread::sleep_for(milliseconds(700));
  const milliseconds clock = seconds(100);
  WorkerRegistration worker;
  worker.worker = WorkerId("i-1");
  worker.service = kService;
  JobRecord record;
  record.queue.service = kService;
  record.queue.max_attempts = 1;
  record.spec.steps.emplace_back();
  ChangesResponse rows{.ok = true, .revision = 10};
  rows.clock = clock;
  rows.rows.push_back(
      {WorkerRowKey(worker.worker), EncodeWorkerRow(worker), 5, "w"});
  const auto add = [&](const std::string& id, milliseconds accepted_at) {
    record.accepted_at_table = accepted_at;
    rows.rows.push_back(
        {JobRecordKey(JobId(id)), EncodeJobRecord(record), 6, "w"});
  };
  add("old", clock - seconds(10));
  add("new", clock);
  testing::internal::CaptureStdout();
  catch_up_(rows);
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find(" jobs=2 jobs_uncertain=1 jobs_certain_by_clock=1 "),
            std::string::npos)
      << log;
  ASSERT_TRUE(runner_.dispatching());
  const auto& jobs = runner_.dispatcher()->state().jobs;
  EXPECT_TRUE(jobs.at(JobId("old")).uncertain);
  EXPECT_FALSE(jobs.at(JobId("new")).uncertain);
}

// By these lines it is found out why a successor has started a task again.
TEST_F(TakeOverTest, LogsWhatItKnowsAndWhatItCannotRead) {
  WorkerRegistration worker;
  worker.worker = WorkerId("i-1");
  worker.service = kService;
  JobRecord record;
  record.queue.service = kService;
  record.queue.max_attempts = 1;
  record.spec.steps.emplace_back();
  ChangesResponse rows{.ok = true, .revision = 10};
  const JobId job("old");
  rows.rows = {
      {WorkerRowKey(worker.worker), EncodeWorkerRow(worker), 5, "w"},
      {JobRecordKey(job), EncodeJobRecord(record), 6, "w"},
      {ProgressRowKey(job), "nonsense", 7, "w"},
  };
  testing::internal::CaptureStdout();
  catch_up_(rows);
  const std::string log = testing::internal::GetCapturedStdout();
  for (const char* part :
       {"placer: progress row cannot be decoded; taking its job for one "
        "without progress key=progress/old why=",
        "placer: started dispatching fence=",
        " jobs=1 jobs_uncertain=1 jobs_certain_by_clock=0 workers=2 "
        "workers_unsynced=1 rows_known_to=10 certain_from_version=10 "
        "holder_before_ended_ms_ago=",
        " took_ms=", " all_rows_read_anew=0 all_rows_read_ms_ago="}) {
    EXPECT_NE(log.find(part), std::string::npos) << part << "\n" << log;
  }
}

// The successor began with rows older than its lease, of version 10.
TEST_F(TakeOverTest, CountsRowsOlderThanItsLeaseThatComeLate) {
  const auto row = [](const std::string& key, std::uint64_t version) {
    return TableRow{key, "nonsense", version, "w"};
  };
  runner_.OnRow(BootClock::now(), row("progress/early", 3));
  EXPECT_EQ(runner_.late_rows(), 0U);
  CatchUp();
  ASSERT_TRUE(runner_.dispatching());
  const TimePoint now = BootClock::now();
  testing::internal::CaptureStdout();
  runner_.OnRow(now, row("progress/a", 9));
  runner_.OnRow(now, row("progress/b", 10));
  runner_.OnRow(now, row("progress/c", 11));
  runner_.OnRow(now, row("host/d", 9));
  runner_.OnRow(now + seconds(1), row("worker/e", 8));
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_EQ(runner_.late_rows(), 3U);
  for (const char* part :
       {"placer: a row that is older than the lease has come after "
        "dispatching began key=progress/a version=9 lease_version=10 "
        "rows_known_to=50 late_rows=1 lines_left_out=0",
        "key=worker/e version=8 lease_version=10 rows_known_to=50 late_rows=3 "
        "lines_left_out=1"}) {
    EXPECT_NE(log.find(part), std::string::npos) << part << "\n" << log;
  }
  EXPECT_EQ(log.find("progress/b"), std::string::npos) << log;
}

// While the table is away nobody can take the lease: the host that dispatches
// goes on without it.
TEST_F(TakeOverTest, HandsOverOnlyALeaseThatItHolds) {
  CatchUp();
  ASSERT_TRUE(runner_.dispatching());
  runner_.HandOver(BootClock::now() + seconds(60));
  EXPECT_TRUE(runner_.dispatching()) << "the lease is over by then";
  runner_.HandOver(BootClock::now());
  EXPECT_FALSE(runner_.dispatching());
}

TEST_F(TakeOverTest, DoesNotBeginToDispatchAfterAnotherHostTookTheLease) {
  const LeaseRow other{HostId("h2"), 7, 99, seconds(1), 1};
  runner_.OnRow(BootClock::now(), {LeaseManager::RowKey(ZoneId("all")),
                                   EncodeLeaseRow(other), 20, "write-of-h2"});
  CatchUp();
  EXPECT_FALSE(runner_.dispatching());
}

}  // namespace
}  // namespace chivewing
