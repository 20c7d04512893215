// Decoding and encoding of the platform's names and formats.

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/caller_codec.h"
#include "platform/desired_state_codec.h"
#include "platform/registration_codec.h"
#include "platform/store_codec.h"
#include "platform/task_name.h"
#include "platform/wire_json.h"
#include "platform/worker_codec.h"

namespace chivewing::wire {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST(WireJson, Base64RoundTrips) {
  for (const std::string& text :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\n", 3)}) {
    const std::string encoded = EncodeBase64(text);
    EXPECT_EQ(encoded.size() % 4, 0U);
    const Result<std::string> back = DecodeBase64(encoded);
    ASSERT_TRUE(back);
    EXPECT_EQ(back.value(), text);
  }
  EXPECT_EQ(EncodeBase64("node-1"), "bm9kZS0x");
  EXPECT_FALSE(DecodeBase64("not base64!"));
  EXPECT_FALSE(DecodeBase64("abcde"));
}

TEST(TaskName, RoundTrips) {
  const TaskKey task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  EXPECT_EQ(TaskName(task), "5c0e7a21d94b36f8.3.1.17");
  EXPECT_EQ(ParseTaskName("5c0e7a21d94b36f8.3.1.17"), task);
  for (const char* bad : {"", ".0.0.0", "a", "a.0", "a.0.0", "a.0.0.x",
                          "a.0.0.0.0", "a.-1.0.0", "a.0.0.0 "}) {
    EXPECT_FALSE(ParseTaskName(bad)) << bad;
  }
}

TEST(DesiredStateCodec, ReadsQueuesAndServices) {
  const Result<DesiredState> state = DecodeDesiredState(R"({"version":7,
    "routes":[{"name":"r-1","host":"nony24.example","pathPrefix":"/lohu930/",
      "kind":"non_idempotent","timeoutMs":3000,"sloMs":250,"priority":2,
      "service":"huvo11a","maxAttempts":4,"stretch":1.5,
      "advice":{"decideMs":22.5,"eachMs":0.32,"validMs":2500}}],
    "services":[{"name":"huvo11a","admissionCheck":true,"standby":false}],
    "limits":{"maxBodyBytes":1000}})");
  ASSERT_TRUE(state);
  EXPECT_EQ(state.value().version, 7U);
  const Queue& queue = state.value().queues.at(0);
  EXPECT_EQ(queue.path_prefix, "/lohu930/");
  EXPECT_EQ(queue.objective, milliseconds(250));
  EXPECT_EQ(queue.max_attempts, 4U);
  ASSERT_TRUE(queue.advice);
  EXPECT_EQ(queue.advice->decide, microseconds(22500));
  EXPECT_EQ(queue.advice->each, microseconds(320));
  EXPECT_TRUE(state.value().services.at(0).workers_check_room);
  EXPECT_EQ(state.value().max_body_bytes, 1000U);
}

struct InvalidInput {
  const char* name;
  const char* text;
};

class BadDesiredState : public testing::TestWithParam<InvalidInput> {};

TEST_P(BadDesiredState, IsRefused) {
  EXPECT_FALSE(DecodeDesiredState(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadDesiredState,
    testing::Values(
        InvalidInput{"Empty", ""}, InvalidInput{"NotJson", "{"},
        InvalidInput{"List", "[]"}, InvalidInput{"NoVersion", "{}"},
        InvalidInput{"VersionText", R"({"version":"7"})"},
        InvalidInput{
            "RouteWithoutHost",
            R"({"version":1,"routes":[{"name":"a","pathPrefix":"/"}]})"}),
    [](const auto& info) { return info.param.name; });

constexpr const char* kRegistration =
    R"({"service":"s","addr":"10.1.0.1:80","zone":"z","version":"v1",
        "slots":8,"state":"draining","coldLeftMs":0.5,
        "labels":["b","r1-3"],"capacity":{"cpu":16000,"memMb":32768},
        "remainingMs":1500,"born":99,"seq":4})";

TEST(RegistrationCodec, ReadsAWorker) {
  const Result<WorkerRegistration> worker =
      DecodeRegistration(WorkerId("i-1"), kRegistration);
  ASSERT_TRUE(worker);
  EXPECT_TRUE(worker.value().draining);
  EXPECT_EQ(worker.value().kind, "b");
  EXPECT_EQ(worker.value().rack, "r1-3");
  EXPECT_EQ(worker.value().capacity, (Resources{16000, 32768, 0}));
  EXPECT_EQ(worker.value().leaves_after, milliseconds(1500));
  EXPECT_EQ(worker.value().incarnation_start, milliseconds(99));
}

class BadRegistration : public testing::TestWithParam<InvalidInput> {};

TEST_P(BadRegistration, IsRejected) {
  EXPECT_FALSE(DecodeRegistration(WorkerId("i-1"), GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(Cases, BadRegistration,
                         testing::Values(InvalidInput{"Bytes", "\xff\xfe"},
                                         InvalidInput{"Empty", "{}"},
                                         InvalidInput{"List", "[]"}),
                         [](const auto& info) { return info.param.name; });

class BadWorkerId : public testing::TestWithParam<InvalidInput> {};

// A line break in the id ends the header that names the worker: a second one
// after it could name another worker, which would then answer for this entry.
TEST_P(BadWorkerId, NamesNoWorker) {
  EXPECT_FALSE(DecodeRegistration(WorkerId(GetParam().text), kRegistration));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadWorkerId,
    testing::Values(InvalidInput{"LineBreak", "i-1\r\nX-Expect-Instance: i-2"},
                    InvalidInput{"Blank", "i 1"}, InvalidInput{"Empty", ""},
                    InvalidInput{"NotAscii", "i-\xc3\xbc"},
                    InvalidInput{"Delete", "i-\x7f"}),
    [](const auto& info) { return info.param.name; });

// A good registration with other members.
struct ChangedRegistration {
  std::string name{};
  std::string changes{};  // JSON object; a member that is null is removed
};

class ChangedRegistrationTest
    : public testing::TestWithParam<ChangedRegistration> {};

// An entry of another writer was taken for a worker though it lacked what each
// worker says of itself, or said it in another type (review cases 7 and 8).
TEST_P(ChangedRegistrationTest, NamesNoWorker) {
  nlohmann::json entry = nlohmann::json::parse(kRegistration);
  ASSERT_TRUE(DecodeRegistration(WorkerId("i-1"), entry.dump()));
  entry.merge_patch(nlohmann::json::parse(GetParam().changes));
  EXPECT_FALSE(DecodeRegistration(WorkerId("i-1"), entry.dump()));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ChangedRegistrationTest,
    testing::Values(
        ChangedRegistration{"NoService", R"({"service":null})"},
        ChangedRegistration{"ServiceNumber", R"({"service":1})"},
        ChangedRegistration{"NoAddress", R"({"addr":null})"},
        ChangedRegistration{"AddressNumber", R"({"addr":80})"},
        ChangedRegistration{"AddressWithPath",
                            R"({"addr":"10.1.0.1:80/rows-tx?x="})"},
        ChangedRegistration{"AddressWithUser", R"({"addr":"a@10.1.0.1:80"})"},
        ChangedRegistration{"AddressName", R"({"addr":"desk.example:80"})"},
        ChangedRegistration{"NoZone", R"({"zone":null})"},
        ChangedRegistration{"ZoneList", R"({"zone":["z"]})"},
        ChangedRegistration{"NoVersion", R"({"version":null})"},
        ChangedRegistration{"VersionNumber", R"({"version":1})"},
        ChangedRegistration{"NoSlots", R"({"slots":null})"},
        ChangedRegistration{"SlotsText", R"({"slots":"8"})"},
        ChangedRegistration{"NoState", R"({"state":null})"},
        ChangedRegistration{"StateNotKnown", R"({"state":"odd"})"},
        ChangedRegistration{"NoColdTime", R"({"coldLeftMs":null})"},
        ChangedRegistration{"ColdTimeText", R"({"coldLeftMs":"0"})"},
        ChangedRegistration{"NoSequence", R"({"seq":null})"},
        ChangedRegistration{"SequenceFraction", R"({"seq":1.5})"},
        ChangedRegistration{"NoLabels", R"({"labels":null})"},
        ChangedRegistration{"LabelsText", R"({"labels":"b"})"},
        ChangedRegistration{"OneLabel", R"({"labels":["b"]})"},
        ChangedRegistration{"LabelNumber", R"({"labels":["b",3]})"},
        ChangedRegistration{"NoCapacity", R"({"capacity":null})"},
        ChangedRegistration{"CapacityText", R"({"capacity":{"cpu":"1"}})"},
        ChangedRegistration{"NoMemory", R"({"capacity":{"memMb":null}})"},
        ChangedRegistration{"StartFraction", R"({"born":1.5})"},
        ChangedRegistration{"RemainingText", R"({"remainingMs":"9"})"}),
    [](const auto& info) { return info.param.name; });

TEST(CallerCodec, ReadsAJob) {
  const Result<JobDescription> job = DecodeJob(
      R"({"spec":"text","steps":[
        {"count":4,"cpu":500,"memMb":256,"estMs":900,"colocate":"r1-3"},
        {"count":20,"cpu":2000,"memMb":1024,"estMs":7000,"after":[0],
         "checkpoint":true,"gang":true,"sameRack":true,"allowDup":true,
         "daemon":true,"fills":true,"requires":"b","spread":2,"image":"x",
         "targetMs":40,"allowMiss":1}],
        "repeats":3,"firstMs":1000,"intervalMs":500})");
  ASSERT_TRUE(job);
  EXPECT_EQ(job.value().payload, "text");
  EXPECT_EQ(job.value().steps.at(0).data_rack, "r1-3");
  const StepSpec& step = job.value().steps.at(1);
  EXPECT_EQ(step.after, std::vector<std::size_t>{0});
  EXPECT_TRUE(step.checkpoints && step.gang && step.one_rack);
  EXPECT_TRUE(step.copies_allowed && step.long_running && step.best_effort);
  EXPECT_EQ(step.required_label, "b");
  EXPECT_EQ(step.most_per_worker, 2U);
  EXPECT_EQ(step.latency_target, milliseconds(40));
  EXPECT_EQ(step.max_unavailable, 1U);
  EXPECT_EQ(job.value().repeats, 3U);
}

class BadJob : public testing::TestWithParam<InvalidInput> {};

TEST_P(BadJob, IsRefused) { EXPECT_FALSE(DecodeJob(GetParam().text)); }

INSTANTIATE_TEST_SUITE_P(
    Cases, BadJob,
    testing::Values(
        InvalidInput{"Empty", ""}, InvalidInput{"NoSteps", R"({"spec":"a"})"},
        InvalidInput{"StepsNoList", R"({"spec":"a","steps":1})"},
        InvalidInput{"NoCount", R"({"spec":"a","steps":[{}]})"},
        InvalidInput{"NoTasks", R"({"spec":"a","steps":[{"count":0}]})"},
        InvalidInput{"TooMany", R"({"spec":"a","steps":[{"count":1000000}]})"},
        InvalidInput{"Negative",
                     R"({"spec":"a","steps":[{"count":1,"cpu":-1}]})"},
        InvalidInput{"TooManyInAll",
                     R"({"steps":[{"count":6000},{"count":6000}]})"},
        InvalidInput{"EstimateTooLong",
                     R"({"steps":[{"count":1,"estMs":1e300}]})"},
        InvalidInput{"EstimateNegative",
                     R"({"steps":[{"count":1,"estMs":-1}]})"},
        InvalidInput{"TooLargeForAnyWorker",
                     R"({"steps":[{"count":1,"memMb":9223372036854775807}]})"},
        InvalidInput{"SpreadNegative",
                     R"({"steps":[{"count":1,"spread":-1}]})"},
        InvalidInput{"TooManyRepeats", R"({"steps":[{"count":1}],
                     "repeats":1000000000,"firstMs":1,"intervalMs":1})"},
        InvalidInput{"IntervalNegative", R"({"steps":[{"count":1}],
                     "repeats":3,"firstMs":1,"intervalMs":-1})"},
        InvalidInput{"FirstTooLate", R"({"steps":[{"count":1}],
                     "repeats":3,"firstMs":9223372036854775807})"},
        InvalidInput{"AfterItself",
                     R"({"spec":"a","steps":[{"count":1,"after":[0]}]})"},
        InvalidInput{"GangText",
                     R"({"spec":"a","steps":[{"count":1,"gang":"yes"}]})"}),
    [](const auto& info) { return info.param.name; });

TEST(CallerCodec, ReadsACall) {
  HttpServerRequest call;
  call.method = "DELETE";
  call.path = "/q/5c0e7a21d94b36f8";
  call.headers = {{"host", "nony24.example:80"}, {"x-deadline-ms", "2500"}};
  const CallerRequest decoded = DecodeCallerRequest(call);
  EXPECT_EQ(decoded.kind, CallerRequestKind::kCancel);
  EXPECT_EQ(decoded.host, "nony24.example");
  EXPECT_EQ(decoded.timeout, milliseconds(2500));
  call.headers["x-deadline-ms"] = "soon";
  EXPECT_FALSE(DecodeCallerRequest(call).timeout);
}

TEST(CallerCodec, EncodesEachKindOfResponse) {
  CallerResponse reply;
  reply.kind = CallerResponseKind::kRetryLater;
  reply.retry_after = milliseconds(1200);
  const HttpServerResponse refused = EncodeCallerResponse(reply);
  EXPECT_EQ(refused.status, 503);
  ASSERT_EQ(refused.headers.size(), 1U);
  EXPECT_EQ(refused.headers[0].name, "Retry-After");
  EXPECT_EQ(refused.headers[0].value, "2");
  reply.kind = CallerResponseKind::kState;
  reply.state = JobPhase::kCompleted;
  EXPECT_EQ(EncodeCallerResponse(reply).body, R"({"state":"completed"})");
  reply.kind = CallerResponseKind::kJobNotFound;
  EXPECT_EQ(EncodeCallerResponse(reply).status, 410);
  reply.kind = CallerResponseKind::kQueueNotFound;
  EXPECT_EQ(EncodeCallerResponse(reply).status, 404);
  reply.kind = CallerResponseKind::kUnconfirmed;
  EXPECT_EQ(EncodeCallerResponse(reply).status, 504);
}

struct OutcomeCase {
  const char* name;
  int status;
  const char* body;
  CommandOutcome outcome;
};

class OutcomeTest : public testing::TestWithParam<OutcomeCase> {};

TEST_P(OutcomeTest, FollowsStatusAndReason) {
  const OutcomeCase& c = GetParam();
  EXPECT_EQ(DecodeCommandResponse(c.status, c.body).outcome, c.outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, OutcomeTest,
    testing::Values(
        OutcomeCase{"Done", 200, R"({"clockMs":1})", CommandOutcome::kDone},
        OutcomeCase{"Fence", 409, R"({"clockMs":1,"reason":"fence"})",
                    CommandOutcome::kFenced},
        OutcomeCase{"Old", 409, R"({"clockMs":1,"reason":"old"})",
                    CommandOutcome::kSuperseded},
        OutcomeCase{"Late", 409, R"({"clockMs":1,"reason":"late"})",
                    CommandOutcome::kDeadlineExceeded},
        OutcomeCase{"Room", 409, R"({"clockMs":1,"reason":"room"})",
                    CommandOutcome::kNoRoom},
        OutcomeCase{"WorkerTicket", 409, R"({"clockMs":1,"reason":"ticket"})",
                    CommandOutcome::kTicketRefused},
        OutcomeCase{"OtherBoot", 421, "", CommandOutcome::kWrongIncarnation},
        OutcomeCase{"Busy", 429, "", CommandOutcome::kUnhealthy},
        OutcomeCase{"Unhealthy", 503, "", CommandOutcome::kUnhealthy},
        OutcomeCase{"Malformed", 400, "", CommandOutcome::kRefused},
        OutcomeCase{"Odd", 500, "", CommandOutcome::kNoResponse}),
    [](const auto& info) { return info.param.name; });

TEST(WorkerCodec, ReadsLists) {
  const PollResponse answer = DecodePollResponse(200, R"({"clockMs":482113,
    "born":77,"running":[["j.0.1.17",2,"00bb",41,350],["odd",1,"",0]],
    "ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",3,"failed","cc"],
             [60,"j.0.1.7",3,"vanished",""]]})");
  EXPECT_EQ(answer.outcome, CommandOutcome::kDone);
  EXPECT_EQ(answer.clock, WorkerTimestamp(482113));
  EXPECT_EQ(answer.incarnation_start, milliseconds(77));
  ASSERT_EQ(answer.running.size(), 1U);
  EXPECT_EQ(answer.running[0].run.task.index, 17U);
  EXPECT_EQ(answer.running[0].saved, "00bb");
  EXPECT_EQ(answer.running[0].percent, 41);
  EXPECT_EQ(answer.running[0].load, 350);
  ASSERT_EQ(answer.ended.size(), 2U);
  EXPECT_EQ(answer.ended[1].number, 59U);
  EXPECT_EQ(answer.ended[1].how, RunEndReason::kFailed);
}

// A worker returns 500 ends at a time, so a list of that length may lack some.
TEST(WorkerCodec, AListOfEndsThatIsFullMayLackSome) {
  for (const std::size_t ends : {kMaxListedEnds - 1, kMaxListedEnds}) {
    std::string body = R"({"clockMs":1,"born":7,"running":[],"ended":[)";
    for (std::size_t i = 1; i <= ends; ++i) {
      if (i > 1) body += ",";
      body += "[" + std::to_string(i) + R"(,"j.0.1.9",)" + std::to_string(i) +
              R"(,"done",""])";
    }
    const PollResponse answer = DecodePollResponse(200, body + "]}");
    EXPECT_EQ(answer.ended.size(), ends);
    EXPECT_EQ(answer.ListsAllRuns(), ends < kMaxListedEnds);
  }
}

TEST(WorkerCodec, OmitsEmptyFields) {
  StartRun start;
  start.run = {{JobId("j"), 0, 1, 2}, 3};
  start.payload = "p";
  start.deadline = WorkerTimestamp(10);
  start.fence = 7;
  EXPECT_EQ(
      EncodeStartRun(start),
      R"({"deadlineMs":10,"fence":7,"run":3,"spec":"p","task":"j.0.1.2"})");
  PollWorker poll;
  poll.fence = 7;
  EXPECT_EQ(EncodePollWorker(poll), R"({"fence":7,"lastSeen":0})");
}

TEST(StoreCodec, SpreadsJobsOverPartitionsAndKeepsTheRestInOne) {
  EXPECT_EQ(PartitionOf("placer/all"), "control");
  EXPECT_EQ(PartitionOf("progress/5c0e7a21d94b36f8"), "control");
  EXPECT_EQ(PartitionOf("job/5c0e7a21d94b36f8"),
            PartitionOf("cancel/5c0e7a21d94b36f8"));
  EXPECT_TRUE(PartitionOf("job/5c0e7a21d94b36f8").starts_with("jobs-"));
}

// A store that is seventy times slower commits two transactions a second in
// each partition; thirty jobs a second must not overload any.
TEST(StoreCodecTest, JobsSpreadOverManyPartitions) {
  std::map<std::string, int> jobs_in;
  const int all_jobs = 2000;
  for (int i = 0; i < all_jobs; ++i)
    ++jobs_in[PartitionOf("job/" + std::to_string(i))];
  for (const auto& [part, count] : jobs_in) {
    EXPECT_LT(count * 30, all_jobs * 2) << part;
  }
}

TEST(StoreCodec, OmitsRowsThatCannotBeDecoded) {
  const Result<RowsPage> page = DecodeRows(R"({"rows":[
    {"table":"t","part":"p","key":"a","value":"bm9kZS0x","ver":3},
    {"table":"t","part":"p","key":"b","value":"?","ver":4},
    {"table":"t","part":"p","key":"c","tombstone":true,"ver":5}],
    "morePages":true,"ver":9,"nowMs":1})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page.value().rows.size(), 2U);
  EXPECT_EQ(page.value().rows[0].value, "node-1");
  EXPECT_TRUE(page.value().rows[1].deleted);
  EXPECT_TRUE(page.value().more);
  EXPECT_FALSE(DecodeRows("[]"));
}

}  // namespace
}  // namespace chivewing::wire
