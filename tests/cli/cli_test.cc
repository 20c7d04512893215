#include "cli/cli.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "catalogue/catalogue_messages.h"
#include "catalogue/entry_reader.h"

namespace chivewing {
namespace {

const std::string kBatch =
    R"({"name":"scoring","owner":"puzzles","class":"batch"})";

HttpResponse CannedResponse(int status, std::string body) {
  HttpResponse answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

HttpResponse FailedResponse(HttpError fault, bool maybe_sent) {
  HttpResponse answer;
  answer.error = fault;
  answer.maybe_sent = maybe_sent;
  return answer;
}

// Runs command lines against canned responses, looked up by "METHOD URL".
class Cli : public testing::Test {
 protected:
  void TearDown() override {
    for (const std::string& file : files_) std::remove(file.c_str());
  }

  int Run(const std::vector<std::string>& words) {
    std::ostringstream out;
    std::ostringstream err;
    CliEnvironment hooks;
    hooks.call = [this](const HttpRequest& request) { return Take(request); };
    hooks.serve = [this](const Settings& settings) {
      served_ = settings.host.value();
      return 0;
    };
    hooks.environment = [](const std::string&) { return "wanjiru"; };
    hooks.out = &out;
    hooks.err = &err;
    const int status = RunCli(words, hooks);
    out_ = out.str();
    err_ = err.str();
    return status;
  }

  HttpResponse Take(const HttpRequest& request) {
    requests_.push_back(request);
    const auto found = answers_.find(request.method + " " + request.url);
    if (found != answers_.end()) return found->second;
    return FailedResponse(HttpError::kConnect, false);
  }

  std::string WriteFile(const std::string& name, const std::string& text) {
    files_.push_back(testing::TempDir() + "chivewing_cli_" + name);
    std::ofstream(files_.back()) << text;
    return files_.back();
  }

  CatalogueRecord Present(std::uint64_t version) {
    CatalogueRecord record;
    record.entry = ReadEntry(kBatch, "").value();
    record.name = record.entry->name;
    record.version = version;
    record.serial = 1;
    record.changed_by = "kofi";
    return record;
  }

  std::string Listing(std::uint64_t version) {
    return EncodeListing({std::chrono::milliseconds(12), {Present(version)}});
  }

  // Makes the catalogue list the entry at this version.
  void List(std::uint64_t version) {
    answers_["GET http://127.0.0.1:2/v1/catalogue"] =
        CannedResponse(200, Listing(version));
  }

  std::vector<std::string> files_;
  std::map<std::string, HttpResponse> answers_;
  std::vector<HttpRequest> requests_;
  std::string served_;
  std::string out_;
  std::string err_;
};

TEST_F(Cli, EveryVerbHasHelpWithAnExample) {
  for (const Verb& verb : Verbs()) {
    std::istringstream name{std::string(verb.name)};
    std::vector<std::string> words;
    for (std::string word; name >> word;) words.push_back(word);
    words.emplace_back("--help");
    EXPECT_EQ(Run(words), 0) << verb.name;
    EXPECT_NE(out_.find("chivewing " + std::string(verb.name)),
              std::string::npos);
    EXPECT_NE(out_.find("Examples:\n  chivewing"), std::string::npos);
  }
  EXPECT_TRUE(requests_.empty());
}

struct UsageCase {
  const char* label;
  std::vector<std::string> words;
  const char* message;
};

class CliUsage : public Cli, public testing::WithParamInterface<UsageCase> {};

TEST_P(CliUsage, GivesOneLineAndStatus2) {
  EXPECT_EQ(Run(GetParam().words), 2);
  EXPECT_EQ(err_, std::string("chivewing: ") + GetParam().message + "\n");
  EXPECT_TRUE(requests_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All, CliUsage,
    testing::Values(
        UsageCase{"NoVerb",
                  {},
                  "no verb given; chivewing --help lists all verbs [105 "
                  "bad_usage]"},
        UsageCase{"UnknownOption",
                  {"jobs", "--colour"},
                  "unknown option --colour [105 bad_usage]"},
        UsageCase{"NoValue",
                  {"jobs", "--address"},
                  "option --address needs a value [105 bad_usage]"},
        UsageCase{"NoAddress",
                  {"jobs"},
                  "--address IP:PORT is needed [105 bad_usage]"},
        UsageCase{"HostName",
                  {"jobs", "--address", "localhost:1"},
                  "--address localhost:1 is not an IP address and port [105 "
                  "bad_usage]"},
        UsageCase{"Operands",
                  {"where", "--address", "127.0.0.1:2"},
                  "where takes JOB [105 bad_usage]"},
        UsageCase{
            "Number",
            {"submit", "scoring", "--tasks", "0", "--address", "127.0.0.1:2"},
            "--tasks must be an integer from 1 to 1000000 [105 "
            "bad_usage]"},
        UsageCase{"KeyFile",
                  {"state", "--address", "127.0.0.1:2", "--key-file", "none"},
                  "none: cannot be read: No such file or directory [105 "
                  "bad_usage]"},
        UsageCase{"Settings",
                  {"serve", "--settings", "none"},
                  "none: cannot be read: No such file or directory [104 "
                  "bad_settings]"}),
    [](const auto& info) { return std::string(info.param.label); });

struct AnswerCase {
  const char* label;
  HttpResponse answer;
  int status;
};

class CliAnswer : public Cli, public testing::WithParamInterface<AnswerCase> {};

TEST_P(CliAnswer, HasItsExitStatus) {
  answers_["POST http://127.0.0.1:2/v1/requests/desk"] = GetParam().answer;
  EXPECT_EQ(Run({"request", "desk", "--address", "127.0.0.1:2", "--address",
                 "127.0.0.1:3"}),
            GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    All, CliAnswer,
    testing::Values(
        AnswerCase{"Done", CannedResponse(200, "42"), 0},
        AnswerCase{"NotRun",
                   CannedResponse(503, R"({"outcome":"not_run","code":200})"),
                   1},
        AnswerCase{"Unknown",
                   CannedResponse(504, R"({"outcome":"unknown","code":300})"),
                   4},
        AnswerCase{"NoBody", CannedResponse(504, ""), 4},
        AnswerCase{"Broken", CannedResponse(500, ""), 4},
        AnswerCase{"RefusedWithoutReason", CannedResponse(503, ""), 4},
        AnswerCase{"Internal", CannedResponse(500, R"({"code":601})"), 4},
        AnswerCase{"TooLarge", CannedResponse(413, ""), 2},
        AnswerCase{"KeyMissing", CannedResponse(400, R"({"code":108})"), 2},
        AnswerCase{"NoEntry", CannedResponse(404, R"({"code":102})"), 2},
        AnswerCase{"Silent", FailedResponse(HttpError::kTimeout, true), 4},
        AnswerCase{"Unreachable", FailedResponse(HttpError::kConnect, false),
                   5}),
    [](const auto& info) { return std::string(info.param.label); });

TEST_F(Cli, AnUnreachableAddressIsTriedOnceAtTheNext) {
  answers_["POST http://127.0.0.1:3/v1/requests/desk"] =
      CannedResponse(200, "42");
  EXPECT_EQ(Run({"request", "desk", "--body", "x", "--idempotency-key", "k 1",
                 "--address", "127.0.0.1:2", "--address", "127.0.0.1:3"}),
            0);
  EXPECT_EQ(out_, "42\n");
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_[1].headers[0].value, "k 1");
}

TEST_F(Cli, ARequestThatMayHaveBeenSentIsNotSentAgain) {
  answers_["POST http://127.0.0.1:2/v1/requests/desk"] =
      FailedResponse(HttpError::kConnectionLost, true);
  EXPECT_EQ(Run({"request", "desk", "--address", "127.0.0.1:2", "--address",
                 "127.0.0.1:3"}),
            4);
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(Cli, NothingIsSentWhenOneEntryIsBad) {
  const std::string good = WriteFile("good.json", kBatch);
  const std::string bad = WriteFile(
      "bad.json", R"([{"name":"a","owner":"o","class":"batch","prio":1},
                      {"name":"b","owner":"o","class":"gang"}])");
  EXPECT_EQ(Run({"catalogue", "apply", good, bad, "--address", "127.0.0.1:2"}),
            2);
  EXPECT_TRUE(requests_.empty());
  EXPECT_NE(err_.find("bad.json:1: [0].prio: unknown key"), std::string::npos);
  EXPECT_NE(err_.find("limits.gang_size: must be at least 2"),
            std::string::npos);
}

TEST_F(Cli, ApplySendsTheVersionThatWasEdited) {
  const std::string file = WriteFile(
      "edit.json",
      R"({"version":4,"name":"scoring","owner":"puzzles","class":"batch",
          "policy":{"priority":7}})");
  const std::string key = WriteFile("key", " sixteen-letters!\n");
  List(4);
  answers_["PUT http://127.0.0.1:2/v1/catalogue/scoring"] =
      CannedResponse(200, R"({"version":9})");
  EXPECT_EQ(Run({"catalogue", "apply", file, "--address", "127.0.0.1:2",
                 "--key-file", key}),
            0)
      << err_;
  EXPECT_EQ(out_, "scoring: changed, version 9\n  policy.priority: 500 -> 7\n");
  const ValidationResult<CatalogueEdit> sent =
      ReadEdit(EntryName("scoring"), requests_.back().body);
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent.value().version, 4U);
  EXPECT_EQ(sent.value().changed_by, "wanjiru");
  EXPECT_EQ(requests_.back().headers.back().value, "Bearer sixteen-letters!");
}

TEST_F(Cli, AConflictShowsBothVersionsAndWhoChangedIt) {
  const std::string file = WriteFile(
      "conflict.json",
      R"({"version":3,"name":"scoring","owner":"puzzles","class":"batch",
          "policy":{"priority":7}})");
  List(4);
  CatalogueEntry mine = *Present(4).entry;
  mine.policy.priority = 7;
  answers_["PUT http://127.0.0.1:2/v1/catalogue/scoring"] = CannedResponse(
      409, EncodeConflict({Present(4), {mine.name, 3, "wanjiru", mine}}));
  EXPECT_EQ(Run({"catalogue", "apply", file, "--address", "127.0.0.1:2"}), 3);
  for (const char* part : {"changed by kofi to version 4", "version 3",
                           "policy.priority: 500 -> 7", "[401 conflict]"}) {
    EXPECT_NE(err_.find(part), std::string::npos) << part << "\n" << err_;
  }
}

TEST_F(Cli, AnEditThatIsInForceAlreadyIsAccepted) {
  const std::string file = WriteFile("again.json", kBatch);
  answers_["GET http://127.0.0.1:2/v1/catalogue"] =
      CannedResponse(200, R"({"age_ms":1,"entries":[]})");
  answers_["PUT http://127.0.0.1:2/v1/catalogue/scoring"] = CannedResponse(
      409,
      EncodeConflict({Present(4),
                      {EntryName("scoring"), 0, "wanjiru", Present(4).entry}}));
  EXPECT_EQ(Run({"catalogue", "apply", file, "--address", "127.0.0.1:2"}), 0);
  EXPECT_EQ(out_, "scoring: added, version 4\n");
}

TEST_F(Cli, AFileWithoutAVersionOverwritesOnlyWhenAsked) {
  const std::string file = WriteFile(
      "bare.json", R"({"name":"scoring","owner":"puzzles","class":"batch",
                       "policy":{"priority":7}})");
  List(4);
  const std::vector<std::string> words = {"catalogue", "apply", file,
                                          "--address", "127.0.0.1:2"};
  Run(words);
  EXPECT_EQ(
      ReadEdit(EntryName("scoring"), requests_.back().body).value().version,
      0U);
  std::vector<std::string> overwriting = words;
  overwriting.emplace_back("--overwrite");
  Run(overwriting);
  EXPECT_EQ(
      ReadEdit(EntryName("scoring"), requests_.back().body).value().version,
      4U);
}

TEST_F(Cli, ShowWritesAFileThatCanBeApplied) {
  answers_["GET http://127.0.0.1:2/v1/catalogue/scoring"] =
      CannedResponse(200, Listing(4));
  EXPECT_EQ(Run({"catalogue", "show", "scoring", "--address", "127.0.0.1:2"}),
            0);
  const ValidationResult<std::vector<EntryDraft>> drafts = ReadDrafts(out_, "");
  ASSERT_TRUE(drafts);
  EXPECT_EQ(drafts.value()[0].version, 4U);
}

TEST_F(Cli, RemoveNamesTheVersionAndWho) {
  List(4);
  answers_
      ["DELETE http://127.0.0.1:2/v1/catalogue/"
       "scoring?version=4&changed_by=wanjiru%20k"] =
          CannedResponse(200, R"({"version":5})");
  EXPECT_EQ(Run({"catalogue", "remove", "scoring", "--changed-by", "wanjiru k",
                 "--address", "127.0.0.1:2"}),
            0);
  EXPECT_EQ(out_, "scoring: removed, version 5\n");
}

TEST_F(Cli, NothingIsSentWhenAnEntryWouldHaveNoService) {
  const std::string file =
      WriteFile("served.json", R"({"name":"check","owner":"o","class":"service",
          "served_by":"scoring","limits":{"instances":0}})");
  List(4);
  EXPECT_EQ(Run({"catalogue", "apply", file, "--address", "127.0.0.1:2"}), 2);
  EXPECT_EQ(err_,
            "chivewing: check: served_by scoring is no service [103 "
            "bad_entry]\n");
  EXPECT_EQ(requests_.size(), 1U) << "only the listing is asked for";
}

TEST_F(Cli, AServiceThatServesOthersIsNotRemoved) {
  CatalogueRecord desk = Present(4);
  desk.entry =
      ReadEntry(R"({"name":"desk","owner":"o","class":"service"})", "").value();
  desk.name = desk.entry->name;
  CatalogueRecord check = desk;
  check.entry->name = EntryName("check");
  check.name = check.entry->name;
  check.entry->served_by = desk.name;
  check.entry->limits.instances = 0;
  answers_["GET http://127.0.0.1:2/v1/catalogue"] = CannedResponse(
      200, EncodeListing({std::chrono::milliseconds(1), {check, desk}}));
  EXPECT_EQ(Run({"catalogue", "remove", "desk", "--address", "127.0.0.1:2"}),
            2);
  EXPECT_EQ(err_,
            "chivewing: check: served_by desk names no entry [103 "
            "bad_entry]\n");
}

TEST_F(Cli, AResponseWithoutDetailIsExplainedByItsCode) {
  answers_["GET http://127.0.0.1:2/v1/catalogue"] = CannedResponse(401, "");
  EXPECT_EQ(Run({"catalogue", "list", "--address", "127.0.0.1:2"}), 1);
  EXPECT_EQ(err_,
            "chivewing: the shared key is missing or wrong (HTTP status 401) "
            "[106 unauthorised]\n");
}

TEST_F(Cli, WhereAnswersInOneSentence) {
  answers_["GET http://127.0.0.1:2/v1/jobs/job-1"] = CannedResponse(
      200, R"({"job":"job-1","state":"waiting","where":"It waits."})");
  EXPECT_EQ(Run({"where", "job-1", "--address", "127.0.0.1:2"}), 0);
  EXPECT_EQ(out_, "It waits.\n");
}

TEST_F(Cli, StateQueriesEveryAddress) {
  answers_["GET http://127.0.0.1:3/v1/state"] =
      CannedResponse(200, R"({"a":1})");
  EXPECT_EQ(Run({"state", "--json", "--address", "127.0.0.1:2", "--address",
                 "127.0.0.1:3"}),
            5);
  EXPECT_EQ(out_, "{\"address\":\"127.0.0.1:3\",\"state\":{\"a\":1}}\n");
}

}  // namespace
}  // namespace chivewing
