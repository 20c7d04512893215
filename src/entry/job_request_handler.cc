#include "entry/job_request_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/caller_codec.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::size_t kJobIdMax = 128;  // bytes

JobStatusRow StatusOf(const JobId& job, const RowCache& rows) {
  const std::string key = JobStatusRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) return {};
  const Result<JobStatusRow> status = DecodeJobStatusRow(key, *found->value);
  return status ? status.value() : JobStatusRow{};
}

Json Describe(const JobRow& row, const JobStatusRow& status) {
  const bool unseen = status.state == JobState::kWaiting &&
                      status.detail.empty() && !row.cancel_requested;
  const std::string where =
      unseen ? "the placer of zone " + row.zone.value() + " has yet to see it"
             : status.detail;
  return {{"job", row.job.value()},
          {"entry", row.entry.value()},
          {"owner", row.owner.value()},
          {"tasks", row.tasks},
          {"zone", row.zone.value()},
          {"state", Name(status.state)},
          {"cancel_asked", row.cancel_requested},
          {"where", where},
          {"submitted_ms", row.submitted_ms}};
}

HttpServerResponse JsonReply(int status, const Json& body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = body.dump();
  return reply;
}

bool IsJobId(const std::string& id) {
  if (id.empty() || id.size() > kJobIdMax) return false;
  return std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

Error BadSubmission(std::string detail) {
  return {ResultCode::kBadRequest, std::move(detail)};
}

}  // namespace

JobRequestHandler::JobRequestHandler(JobRequestHandlerSettings settings,
                                     JobRequestCallbacks ports)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      resolver_({}, std::hash<std::string>{}(settings_.name)) {}

void JobRequestHandler::Refuse(std::uint64_t call, const Error& error) {
  ports_.answer(call, MakeErrorResponse(error));
}

void JobRequestHandler::HandleRequest(TimePoint now,
                                      const HttpServerRequest& call,
                                      const Catalogue& catalogue,
                                      const RowCache& rows) {
  if (call.path == kJobsPath) {
    if (call.method == "POST") {
      Submit(now, call, catalogue, rows);
    } else {
      List(call, rows);
    }
    return;
  }
  const JobId job(call.path.substr(kJobsPath.size() + 1));
  if (call.method == "DELETE") {
    Cancel(now, call, job, rows);
  } else {
    Show(call, job, rows);
  }
}

Result<JobRow> JobRequestHandler::ReadSubmission(
    const HttpServerRequest& call, const Catalogue& catalogue) const {
  const Json body = Json::parse(call.body, nullptr, false);
  if (!body.is_object()) return BadSubmission("the body is no JSON object");
  JobRow row;
  try {
    row.job = JobId(body.value("job", std::string()));
    row.entry = EntryName(body.at("entry").get<std::string>());
    row.tasks = body.value("tasks", 1);
    const double run_s = body.value("run_s", 0.0);
    row.run_time =
        std::chrono::milliseconds(static_cast<std::int64_t>(run_s * 1e3));
  } catch (const Json::exception& fault) {
    return BadSubmission(fault.what());
  }
  const CatalogueEntry* entry = catalogue.Find(row.entry);
  if (entry == nullptr) {
    return Error{ResultCode::kUnknownEntry,
                 "no entry named " + row.entry.value()};
  }
  const bool gang = entry->work_class == WorkClass::kGang;
  if (!gang && entry->work_class != WorkClass::kBatch) {
    return BadSubmission("entry " + row.entry.value() +
                         " takes no jobs: it is no batch or gang entry");
  }
  if (gang) row.tasks = entry->limits.gang_size;
  if (row.tasks < 1 || row.tasks > entry->limits.tasks) {
    return BadSubmission("a job of this entry has 1 to " +
                         std::to_string(entry->limits.tasks) + " tasks");
  }
  row.owner = entry->owner;
  const std::vector<ZoneId>& zones = entry->policy.zones;
  const bool here = zones.empty() || std::find(zones.begin(), zones.end(),
                                               settings_.zone) != zones.end();
  row.zone = here ? settings_.zone : zones.front();
  if (row.run_time.count() == 0) row.run_time = entry->policy.expected_run;
  return row;
}

void JobRequestHandler::Submit(TimePoint now, const HttpServerRequest& call,
                               const Catalogue& catalogue,
                               const RowCache& rows) {
  Result<JobRow> read = ReadSubmission(call, catalogue);
  if (!read) {
    Refuse(call.id, read.error());
    return;
  }
  JobRow row = std::move(read).value();
  if (row.job.empty()) {
    row.job = JobId(settings_.name + ".j" + std::to_string(next_write_));
  }
  if (!IsJobId(row.job.value())) {
    Refuse(call.id,
           BadSubmission("a job id has 1 to 128 of A-Z a-z 0-9 . _ -"));
    return;
  }
  if (rows.version(JobRowKey(row.job)) != 0) {
    Refuse(call.id, {ResultCode::kConflict, "a job of this id is known"});
    return;
  }
  row.submitted_ms = ports_.wall_time().count();
  Write(now, call.id, row, 0);
}

void JobRequestHandler::Cancel(TimePoint now, const HttpServerRequest& call,
                               const JobId& job, const RowCache& rows) {
  const std::string key = JobRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) {
    Refuse(call.id, {ResultCode::kNotFound, "no job " + job.value()});
    return;
  }
  Result<JobRow> row = DecodeJobRow(key, *found->value);
  if (!row) {
    Refuse(call.id, row.error());
    return;
  }
  const JobStatusRow status = StatusOf(job, rows);
  if (row.value().cancel_requested || HasEnded(status.state)) {
    ports_.answer(call.id, JsonReply(202, Describe(row.value(), status)));
    return;
  }
  row.value().cancel_requested = true;
  Write(now, call.id, row.value(), found->version);
}

void JobRequestHandler::List(const HttpServerRequest& call,
                             const RowCache& rows) {
  Json list = Json::array();
  rows.ForEach(kJobRowPrefix, [&list, &rows](const TableRow& each) {
    const Result<JobRow> row = DecodeJobRow(each.key, *each.value);
    if (!row) return;
    list.push_back(Describe(row.value(), StatusOf(row.value().job, rows)));
  });
  ports_.answer(call.id, JsonReply(200, Json{{"jobs", list}}));
}

void JobRequestHandler::Show(const HttpServerRequest& call, const JobId& job,
                             const RowCache& rows) {
  const std::string key = JobRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) {
    Refuse(call.id, {ResultCode::kNotFound, "no job " + job.value()});
    return;
  }
  const Result<JobRow> row = DecodeJobRow(key, *found->value);
  if (!row) {
    Refuse(call.id, row.error());
    return;
  }
  ports_.answer(call.id,
                JsonReply(200, Describe(row.value(), StatusOf(job, rows))));
}

void JobRequestHandler::Write(TimePoint now, std::uint64_t call,
                              const JobRow& row, std::uint64_t version) {
  const std::string id = settings_.name + ".w" + std::to_string(next_write_++);
  const std::string key = JobRowKey(row.job);
  TableTransaction transaction;
  transaction.write_id = id;
  transaction.conditions = {{key, version}};
  transaction.writes = {{key, EncodeJobRow(row)}};
  OpenWrite& open = writes_[id];
  open = {call, row, now + settings_.commit_timeout, false, 0};
  std::vector<CommitEffect> effects;
  const Result<std::uint64_t> flight =
      resolver_.Submit(std::move(transaction), effects);
  if (flight) open.flight = flight.value();
  Apply(now, effects);
}

void JobRequestHandler::Apply(TimePoint /*now*/,
                              std::vector<CommitEffect>& effects) {
  for (CommitEffect& effect : effects) {
    if (auto* send = std::get_if<SendCommit>(&effect)) {
      ports_.commit(send->transaction);
    } else if (auto* end = std::get_if<CommitResolved>(&effect)) {
      Finish(*end);
    }
  }
}

void JobRequestHandler::OnCommit(TimePoint now, const std::string& write_id,
                                 CommitResponse answer) {
  const auto found = writes_.find(write_id);
  if (found == writes_.end()) return;
  std::vector<CommitEffect> effects;
  resolver_.OnAnswer(now, found->second.flight, std::move(answer), effects);
  Apply(now, effects);
}

void JobRequestHandler::Tick(TimePoint now) {
  std::vector<CommitEffect> effects;
  resolver_.Tick(now, effects);
  Apply(now, effects);
  for (auto& [id, write] : writes_) {
    if (write.answered || now < write.give_up) continue;
    write.answered = true;
    const bool doubt = resolver_.in_doubt(write.flight);
    if (!doubt) resolver_.Abandon(write.flight);
    Refuse(write.call, {doubt ? ResultCode::kWriteInDoubt
                              : ResultCode::kPlatformUnavailable,
                        "the platform's table did not answer in time"});
  }
  std::erase_if(writes_, [this](const auto& each) {
    return each.second.answered && !resolver_.in_doubt(each.second.flight);
  });
}

void JobRequestHandler::Finish(const CommitResolved& end) {
  const auto found = writes_.find(end.transaction.write_id);
  if (found == writes_.end()) return;
  const OpenWrite write = std::move(found->second);
  writes_.erase(found);
  if (end.outcome == CommitOutcome::kCommitted) {
    Accept(write, end);
    return;
  }
  if (write.answered) return;
  const bool doubt = end.outcome == CommitOutcome::kAmbiguous;
  Refuse(write.call,
         {doubt ? ResultCode::kWriteInDoubt : ResultCode::kConflict,
          "the job was written by somebody else; ask for its state"});
}

void JobRequestHandler::Accept(const OpenWrite& write,
                               const CommitResolved& end) {
  TableRow row;
  row.key = JobRowKey(write.row.job);
  row.value = EncodeJobRow(write.row);
  row.version = end.revision;
  row.write_id = end.transaction.write_id;
  ports_.publish_committed_rows({row});
  if (write.answered) return;
  ports_.answer(write.call, JsonReply(202, Describe(write.row, {})));
}

}  // namespace chivewing
