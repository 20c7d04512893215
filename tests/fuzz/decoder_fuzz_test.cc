// Malformed input at each decoder: it must return an error or a value that the
// program can work with, and must not throw, hang or take the process down.
// CHIVEWING_FUZZ_INPUTS sets the number of inputs for each decoder.

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "cluster/host_row.h"
#include "cluster/worker_row.h"
#include "dispatch/dispatcher.h"
#include "fuzz/mutator.h"
#include "lease/lease_row.h"
#include "peer/frame_buffer.h"
#include "peer/message_codec.h"
#include "platform/caller_codec.h"
#include "platform/desired_state_codec.h"
#include "platform/registration_codec.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDefaultInputs = 10000;
constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
const TimePoint kStart{std::chrono::hours(1)};
const milliseconds kWall{1'800'000'000'000};
const JobId kJob("5c0e7a21d94b36f8");
const WorkerId kWorker("i-1");

std::size_t InputCount() {
  const char* const text = std::getenv("CHIVEWING_FUZZ_INPUTS");
  return text == nullptr ? kDefaultInputs : std::strtoull(text, nullptr, 10);
}

const char* const kRegistration =
    R"({"service":"pool","addr":"10.0.0.1:80","zone":"z1","version":"1",
        "slots":8,"state":"ready","coldLeftMs":0,"seq":3,
        "born":1767225600000,
        "capacity":{"cpu":16000,"memMb":65536,"gpu":8},
        "labels":["a","r1"]})";
const char* const kLeavingRegistration =
    R"({"service":"pool","addr":"10.0.0.1:80","zone":"z1","version":"1",
        "slots":8,"state":"draining","coldLeftMs":0,"seq":4,
        "remainingMs":4000,"born":1767225600000,"labels":["a","r1"],
        "capacity":{"cpu":16000,"memMb":65536}})";
const char* const kBatchJob =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900,
        "colocate":"r1"},{"count":20,"cpu":2000,"memMb":1024,"estMs":7000,
        "after":[0],"checkpoint":true,"gang":true,"spread":2}]})";
const char* const kRepeatingJob =
    R"({"spec":"text","steps":[{"count":2,"cpu":500,"memMb":1,"estMs":100}],
        "repeats":3,"firstMs":1799999999000,"intervalMs":1000})";
const char* const kLastingJob =
    R"({"steps":[{"count":2,"cpu":500,"memMb":1,"daemon":true,"allowMiss":1,
        "image":"i","targetMs":40}]})";
const char* const kPoll =
    R"({"clockMs":482113,"born":1767225600000,
        "running":[["5c0e7a21d94b36f8.0.0.0",1,"0000",41,7]],
        "ended":[[58,"5c0e7a21d94b36f8.0.0.1",1,"done",""],
                 [59,"5c0e7a21d94b36f8.0.0.2",1,"failed","0a"]]})";
const char* const kDesiredState =
    R"({"version":7,"routes":[{"name":"r-1","host":"desk.example",
        "pathPrefix":"/jobs/","timeoutMs":3000,"sloMs":250,"priority":2,
        "service":"pool","maxAttempts":4,"stretch":1.5,
        "advice":{"decideMs":22.5,"eachMs":0.32,"validMs":2500}}],
        "services":[{"name":"pool","admissionCheck":true,"standby":false}],
        "limits":{"maxBodyBytes":1000}})";

// A dispatcher with one worker and one job, to which a decoded value is given.
class FuzzedDispatcher {
 public:
  FuzzedDispatcher() : dispatcher_(DispatchOptions{}, 1) {}

  void Register(const WorkerRegistration& registration) {
    dispatcher_.RegisterWorker(now_, registration);
  }
  void Add(JobRecord record) {
    dispatcher_.AddJob(now_, now_, std::move(record), std::nullopt, false);
  }
  void OnPoll(const PollResponse& response) {
    dispatcher_.OnPollResponse(now_, kWorker, 1, response);
  }
  // Some turns, and what they write to the table.
  void Run() {
    for (int turn = 0; turn < 4; ++turn) {
      DispatchEffects effects;
      const auto passed =
          std::chrono::duration_cast<milliseconds>(now_ - kStart);
      dispatcher_.Decide(now_, kWall + passed, effects);
      dispatcher_.OnSaved(now_, dispatcher_.TakeBatch(60));
      now_ += milliseconds(300);
    }
  }
  const DispatchState& state() const { return dispatcher_.state(); }

 private:
  TimePoint now_ = kStart;
  Dispatcher dispatcher_;
};

WorkerRegistration GoodWorker() {
  return wire::DecodeRegistration(kWorker, kRegistration).value();
}

JobRecord GoodJob(const std::string& body) {
  JobRecord record;
  record.id = kJob;
  record.queue = wire::DecodeDesiredState(kDesiredState).value().queues.at(0);
  record.queue.advice.reset();
  record.spec = wire::DecodeJob(body).value();
  return record;
}

void DecodeCallersJob(const std::string& text) {
  const Result<JobDescription> job = wire::DecodeJob(text);
  if (!job) return;
  JobRecord record = GoodJob(kBatchJob);
  record.spec = job.value();
  const std::string row = EncodeJobRecord(record);
  const Result<JobRecord> stored = DecodeJobRecord(kJob, row);
  ASSERT_TRUE(stored) << stored.error().detail;
  FuzzedDispatcher dispatcher;
  dispatcher.Register(GoodWorker());
  dispatcher.Add(stored.value());
  dispatcher.Run();
  EXPECT_EQ(dispatcher.state().counts.invariant_breaches, 0U) << text;
}

void DecodeJobRow(const std::string& text) {
  const Result<JobRecord> record = DecodeJobRecord(kJob, text);
  if (!record) return;
  FuzzedDispatcher dispatcher;
  dispatcher.Register(GoodWorker());
  dispatcher.Add(record.value());
  dispatcher.Run();
}

void DecodeWorkersRegistration(const std::string& text) {
  const Result<WorkerRegistration> worker =
      wire::DecodeRegistration(kWorker, text);
  if (!worker) return;
  const Result<WorkerRegistration> stored =
      DecodeWorkerRow(kWorker, EncodeWorkerRow(worker.value()));
  ASSERT_TRUE(stored) << text;
  FuzzedDispatcher dispatcher;
  dispatcher.Register(stored.value());
  dispatcher.Add(GoodJob(kBatchJob));
  dispatcher.Run();
}

void DecodeWorkersList(const std::string& text) {
  const PollResponse response = wire::DecodePollResponse(200, text);
  FuzzedDispatcher dispatcher;
  dispatcher.Register(GoodWorker());
  dispatcher.Add(GoodJob(kBatchJob));
  dispatcher.Run();
  dispatcher.OnPoll(response);
  dispatcher.Run();
}

void DecodePeerMessage(const std::string& text) {
  const Result<PeerMessage> message = Decode(text);
  if (message) static_cast<void>(Encode(message.value()));
  FrameBuffer frames(kMaxFrameBytes);
  frames.Append(text);
  while (true) {
    const Result<std::optional<std::string>> frame = frames.Next();
    if (!frame || !frame.value()) return;
  }
}

void DecodeRow(const std::string& text) {
  static_cast<void>(DecodeJobProgress(text));
  static_cast<void>(DecodeJobPhase(text));
  static_cast<void>(DecodeLeaseRow(text));
  static_cast<void>(DecodeHostRow("host/h1", text));
  static_cast<void>(DecodeWorkerRow(kWorker, text));
}

std::string SampleProgress() {
  JobProgress progress;
  progress.state = JobPhase::kRunning;
  progress.highest_run = 7;
  progress.occurrences[0] = {{{3, TaskProgress{true, {1, 2}, "saved"}}}, {}};
  return EncodeJobProgress(progress);
}

std::vector<std::string> SampleMessages() {
  WorkerCalls calls;
  JobFeed feed;
  feed.changes.push_back({kJob, "queue", true, JobPhase::kRunning});
  feed.rows.push_back({"host/a", "value", 4, "write"});
  RowsPush rows;
  rows.rows.push_back({"job/a", "value", 4, "write"});
  PeerAdviceRequest request;
  request.job = kJob;
  request.workers = {kWorker};
  const std::vector<PeerMessage> messages = {
      Hello{HostId("h"), ZoneId("z"), 3, "key", 1},
      Heartbeat{4},
      calls,
      feed,
      JobFeedRequest{7},
      rows,
      request};
  std::vector<std::string> out;
  for (const PeerMessage& message : messages) {
    out.push_back(Encode(message));
    out.push_back(MakeFrame(out.back()));
  }
  return out;
}

struct FuzzCase {
  std::string name;
  std::vector<std::string> samples;
  std::function<void(const std::string&)> decode;
};

std::vector<FuzzCase> FuzzCases() {
  return {
      {"CallersJob", {kBatchJob, kRepeatingJob, kLastingJob}, DecodeCallersJob},
      {"JobRow",
       {EncodeJobRecord(GoodJob(kBatchJob)),
        EncodeJobRecord(GoodJob(kRepeatingJob))},
       DecodeJobRow},
      {"Registration",
       {kRegistration, kLeavingRegistration},
       DecodeWorkersRegistration},
      {"WorkersList", {kPoll}, DecodeWorkersList},
      {"CommandResponse",
       {R"({"clockMs":482113,"reason":"fence"})"},
       [](const std::string& text) {
         static_cast<void>(wire::DecodeCommandResponse(409, text));
       }},
      {"AdviceResponse",
       {R"({"good":[["i-1","ticket"],["i-2","other"]],"validMs":2500})"},
       [](const std::string& text) {
         static_cast<void>(wire::DecodeAdviceResponse(200, text));
       }},
      {"DesiredState",
       {kDesiredState},
       [](const std::string& text) {
         static_cast<void>(wire::DecodeDesiredState(text));
       }},
      {"StoreRows",
       {R"({"rows":[{"table":"t","part":"p","key":"k","value":"bm9kZS0x",
            "ver":7},{"key":"l","tombstone":true,"ver":8}],"ver":9,
            "nowMs":12,"morePages":true})",
        R"({"parts":["a","b"],"ver":9})"},
       [](const std::string& text) {
         static_cast<void>(wire::DecodeRows(text));
         static_cast<void>(wire::DecodePartitionList(text));
       }},
      {"TableRow",
       {SampleProgress(),
        EncodeHostRow({HostId("h1"), ZoneId("z"), "10.0.0.1:7000", 3}),
        EncodeLeaseRow({HostId("h1"), 3, 4, seconds(1), 5}),
        EncodeWorkerRow(GoodWorker())},
       DecodeRow},
      {"PeerMessage", SampleMessages(), DecodePeerMessage},
  };
}

class DecoderFuzzTest : public testing::TestWithParam<FuzzCase> {};

TEST_P(DecoderFuzzTest, MalformedInputDoesNoHarm) {
  Mutator mutator(kSeed);
  for (const std::string& sample : GetParam().samples) {
    GetParam().decode(sample);
  }
  for (std::size_t i = 0; i < InputCount() && !HasFailure(); ++i) {
    const std::string input = mutator.Mutate(GetParam().samples);
    EXPECT_NO_THROW(GetParam().decode(input)) << input;
  }
}

INSTANTIATE_TEST_SUITE_P(Decoders, DecoderFuzzTest,
                         testing::ValuesIn(FuzzCases()),
                         [](const testing::TestParamInfo<FuzzCase>& each) {
                           return each.param.name;
                         });

}  // namespace
}  // namespace chivewing
