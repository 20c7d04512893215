// Client verbs for jobs: submit, cancel, jobs and where.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <string>
#include <utility>

#include "cli/entry_host_client.h"
#include "cli/report.h"
#include "cli/text_table.h"
#include "cli/url.h"
#include "cli/verb.h"

namespace chivewing {
namespace {

using Json = nlohmann::ordered_json;

constexpr long kMostTasks = 1'000'000;
constexpr long kLongestRunSeconds = 604'800;
constexpr int kIdCharacters = 12;
const std::string kJobsPath = "/v1/jobs";

std::string NewJobId() {
  constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::random_device device;
  std::uniform_int_distribution<std::size_t> pick(0, letters.size() - 1);
  std::string id = "job-";
  for (int i = 0; i < kIdCharacters; ++i) id += letters[pick(device)];
  return id;
}

// Returns the value of an integer option, or its default.
Result<long> IntegerOption(const Arguments& arguments, const std::string& name,
                           long fallback, long least, long most) {
  if (!arguments.Has(name)) return fallback;
  return ParseInteger(name, arguments.Value(name), least, most);
}

Result<HttpRequest> SubmitRequest(const Arguments& arguments,
                                  const std::string& id) {
  const Result<long> tasks =
      IntegerOption(arguments, "tasks", 1, 1, kMostTasks);
  if (!tasks) return tasks.error();
  const Result<long> run =
      IntegerOption(arguments, "run-s", 0, 0, kLongestRunSeconds);
  if (!run) return run.error();
  HttpRequest request;
  request.method = "POST";
  request.url = kJobsPath;
  request.headers = {{"Content-Type", "application/json"}};
  const Json body = {{"job", id},
                     {"entry", arguments.operands().front()},
                     {"tasks", tasks.value()},
                     {"run_s", run.value()}};
  request.body = body.dump();
  return request;
}

ExitStatus Submit(const Arguments& arguments, const CliEnvironment& hooks) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return ReportError(client.error(), hooks);
  const std::string id =
      arguments.Has("job") ? arguments.Value("job") : NewJobId();
  const Result<HttpRequest> request = SubmitRequest(arguments, id);
  if (!request) return ReportError(request.error(), hooks);
  const HttpResponse answer =
      client.value().Send(request.value(), ResendPolicy::kForbidden);
  if (!IsSuccess(answer)) {
    const Error error = ResponseError(answer);
    return ReportError({error.code, "job " + id + ": " + error.detail}, hooks);
  }
  *hooks.out << (arguments.Has("json") ? Json{{"job", id}}.dump() : id) << "\n";
  return ExitStatus::kOk;
}

ExitStatus Cancel(const Arguments& arguments, const CliEnvironment& hooks) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return ReportError(client.error(), hooks);
  ExitStatus status = ExitStatus::kOk;
  for (const std::string& id : arguments.operands()) {
    HttpRequest request;
    request.method = "DELETE";
    request.url = kJobsPath + "/" + EscapeUrl(id);
    const HttpResponse answer =
        client.value().Send(request, ResendPolicy::kAllowed);
    if (IsSuccess(answer)) {
      *hooks.out << id << ": cancelled\n";
      continue;
    }
    const Error error = ResponseError(answer);
    status = std::max(
        status, ReportError({error.code, id + ": " + error.detail}, hooks));
  }
  return status;
}

std::string JobFieldText(const Json& job, const std::string& name) {
  const auto found = job.find(name);
  if (found == job.end()) return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string JobsText(const Json& jobs) {
  TextTable table({"JOB", "ENTRY", "OWNER", "ZONE", "STATE", "TASKS"});
  for (const Json& job : jobs) {
    table.AddRow({JobFieldText(job, "job"), JobFieldText(job, "entry"),
                  JobFieldText(job, "owner"), JobFieldText(job, "zone"),
                  JobFieldText(job, "state"), JobFieldText(job, "tasks")});
  }
  return table.Text();
}

// Fetches one job or all jobs and returns the parsed response.
Result<Json> FetchJobs(const Arguments& arguments,
                       const CliEnvironment& hooks) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return client.error();
  HttpRequest request;
  request.url = kJobsPath;
  if (!arguments.operands().empty()) {
    request.url += "/" + EscapeUrl(arguments.operands().front());
  }
  const HttpResponse answer =
      client.value().Send(request, ResendPolicy::kAllowed);
  if (!IsSuccess(answer)) return ResponseError(answer);
  Json json = Json::parse(answer.body, nullptr, false);
  if (json.is_object()) return json;
  return Error{ResultCode::kBadAnswer, "the response is not a JSON object"};
}

ExitStatus ListJobs(const Arguments& arguments, const CliEnvironment& hooks) {
  const Result<Json> answer = FetchJobs(arguments, hooks);
  if (!answer) return ReportError(answer.error(), hooks);
  if (arguments.Has("json")) {
    *hooks.out << answer.value().dump() << "\n";
    return ExitStatus::kOk;
  }
  const bool is_one = !arguments.operands().empty();
  const Json one = Json::array({answer.value()});
  const Json all = answer.value().value("jobs", Json::array());
  *hooks.out << JobsText(is_one ? one : all);
  return ExitStatus::kOk;
}

ExitStatus Where(const Arguments& arguments, const CliEnvironment& hooks) {
  const Result<Json> answer = FetchJobs(arguments, hooks);
  if (!answer) return ReportError(answer.error(), hooks);
  const Json& job = answer.value();
  if (arguments.Has("json")) {
    const Json where = {{"job", JobFieldText(job, "job")},
                        {"state", JobFieldText(job, "state")},
                        {"where", JobFieldText(job, "where")}};
    *hooks.out << where.dump() << "\n";
    return ExitStatus::kOk;
  }
  *hooks.out << JobFieldText(job, "where") << "\n";
  return ExitStatus::kOk;
}

Verb SubmitVerb() {
  Verb verb;
  verb.name = "submit";
  verb.operands = "ENTRY";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary =
      "Submits a job of a batch or gang entry and shows its id once it is "
      "recorded.";
  verb.options =
      With(CallerOptions(),
           {{"tasks", "N", "number of tasks (1)"},
            {"run-s", "N", "run time of a task in s; 0: until it ends (0)"},
            {"job", "ID", "id of the job (default: a new one)"},
            kJsonOption});
  verb.examples =
      "  chivewing submit difficulty-scoring --tasks 40 --run-s 60 --address "
      "127.0.0.1:7001\n";
  verb.run = Submit;
  return verb;
}

Verb CancelVerb() {
  Verb verb;
  verb.name = "cancel";
  verb.operands = "JOB...";
  verb.min_operands = 1;
  verb.max_operands = kAnyNumber;
  verb.summary = "Cancels jobs; cancelling twice does no harm.";
  verb.options = CallerOptions();
  verb.examples =
      "  chivewing cancel job-a81k2m40x9qz --address 127.0.0.1:7001\n";
  verb.run = Cancel;
  return verb;
}

Verb JobsVerb() {
  Verb verb;
  verb.name = "jobs";
  verb.operands = "[JOB]";
  verb.max_operands = 1;
  verb.summary = "Lists jobs and their states.";
  verb.options = With(CallerOptions(), {kJsonOption});
  verb.examples = "  chivewing jobs --address 127.0.0.1:7001\n";
  verb.run = ListJobs;
  return verb;
}

Verb WhereVerb() {
  Verb verb;
  verb.name = "where";
  verb.operands = "JOB";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary =
      "Says in one sentence where a job runs, why it waits or why it was "
      "refused.";
  verb.options = With(CallerOptions(), {kJsonOption});
  verb.examples =
      "  chivewing where job-a81k2m40x9qz --address 127.0.0.1:7001\n";
  verb.run = Where;
  return verb;
}

}  // namespace

std::vector<Verb> JobVerbs() {
  return {SubmitVerb(), CancelVerb(), JobsVerb(), WhereVerb()};
}

}  // namespace chivewing
