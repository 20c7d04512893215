#include "entry/job_request_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/caller_codec.h"

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::size_t kMaxJobIdBytes = 128;

JobStatusRow FindJobStatus(const JobId& job, const RowCache& rows) {
  const std::string key = JobStatusRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) return {};
  const Result<JobStatusRow> status = DecodeJobStatusRow(key, *found->value);
  return status ? status.value() : JobStatusRow{};
}

Json JobToJson(const JobRow& row, const JobStatusRow& status) {
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
          {"state", JobStateName(status.state)},
          {"cancel_asked", row.cancel_requested},
          {"where", where},
          {"submitted_ms", row.submitted_ms}};
}

HttpServerResponse JsonResponse(int status, const Json& body) {
  HttpServerResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

bool IsValidJobId(const std::string& id) {
  if (id.empty() || id.size() > kMaxJobIdBytes) return false;
  return std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

Error SubmissionError(std::string detail) {
  return {ResultCode::kBadRequest, std::move(detail)};
}

}  // namespace

JobRequestHandler::JobRequestHandler(JobRequestHandlerSettings settings,
                                     JobRequestCallbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      resolver_({}, std::hash<std::string>{}(settings_.process_name)) {}

void JobRequestHandler::RespondWithError(std::uint64_t call_id,
                                         const Error& error) {
  callbacks_.respond(call_id, MakeErrorResponse(error));
}

void JobRequestHandler::HandleRequest(TimePoint now,
                                      const HttpServerRequest& request,
                                      const Catalogue& catalogue,
                                      const RowCache& rows) {
  if (request.path == kJobsPath) {
    if (request.method == "POST") {
      Submit(now, request, catalogue, rows);
    } else {
      List(request, rows);
    }
    return;
  }
  const JobId job(request.path.substr(kJobsPath.size() + 1));
  if (request.method == "DELETE") {
    Cancel(now, request, job, rows);
  } else {
    Show(request, job, rows);
  }
}

Result<JobRow> JobRequestHandler::ParseSubmission(
    const HttpServerRequest& request, const Catalogue& catalogue) const {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return SubmissionError("the body is not a JSON object");
  JobRow row;
  try {
    row.job = JobId(body.value("job", std::string()));
    row.entry = EntryName(body.at("entry").get<std::string>());
    row.tasks = body.value("tasks", 1);
    const double run_s = body.value("run_s", 0.0);
    row.run_time =
        std::chrono::milliseconds(static_cast<std::int64_t>(run_s * 1e3));
  } catch (const Json::exception& error) {
    return SubmissionError(error.what());
  }
  const CatalogueEntry* entry = catalogue.Find(row.entry);
  if (entry == nullptr) {
    return Error{ResultCode::kUnknownEntry,
                 "no entry named " + row.entry.value()};
  }
  const bool gang = entry->work_class == WorkClass::kGang;
  if (!gang && entry->work_class != WorkClass::kBatch) {
    return SubmissionError(
        "entry " + row.entry.value() +
        " does not accept jobs: it is not a batch or gang entry");
  }
  if (gang) row.tasks = entry->limits.gang_size;
  if (row.tasks < 1 || row.tasks > entry->limits.tasks) {
    return SubmissionError("a job of this entry has 1 to " +
                           std::to_string(entry->limits.tasks) + " tasks");
  }
  row.owner = entry->owner;
  const std::vector<ZoneId>& zones = entry->policy.zones;
  const bool here =
      zones.empty() ||
      std::find(zones.begin(), zones.end(), settings_.home_zone) != zones.end();
  row.zone = here ? settings_.home_zone : zones.front();
  if (row.run_time.count() == 0) row.run_time = entry->policy.expected_run;
  return row;
}

void JobRequestHandler::Submit(TimePoint now, const HttpServerRequest& request,
                               const Catalogue& catalogue,
                               const RowCache& rows) {
  Result<JobRow> read = ParseSubmission(request, catalogue);
  if (!read) {
    RespondWithError(request.id, read.error());
    return;
  }
  JobRow row = std::move(read).value();
  if (row.job.empty()) {
    row.job =
        JobId(settings_.process_name + ".j" + std::to_string(next_write_));
  }
  if (!IsValidJobId(row.job.value())) {
    RespondWithError(
        request.id,
        SubmissionError(
            "a job id consists of 1 to 128 characters of A-Z a-z 0-9 . _ -"));
    return;
  }
  if (rows.version(JobRowKey(row.job)) != 0) {
    RespondWithError(request.id, {ResultCode::kConflict,
                                  "a job with this id already exists"});
    return;
  }
  row.submitted_ms = callbacks_.wall_time().count();
  CommitJobRow(now, request.id, row, 0);
}

void JobRequestHandler::Cancel(TimePoint now, const HttpServerRequest& request,
                               const JobId& job, const RowCache& rows) {
  const std::string key = JobRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) {
    RespondWithError(request.id,
                     {ResultCode::kNotFound, "no job " + job.value()});
    return;
  }
  Result<JobRow> row = DecodeJobRow(key, *found->value);
  if (!row) {
    RespondWithError(request.id, row.error());
    return;
  }
  const JobStatusRow status = FindJobStatus(job, rows);
  if (row.value().cancel_requested || HasEnded(status.state)) {
    callbacks_.respond(request.id,
                       JsonResponse(202, JobToJson(row.value(), status)));
    return;
  }
  row.value().cancel_requested = true;
  CommitJobRow(now, request.id, row.value(), found->version);
}

void JobRequestHandler::List(const HttpServerRequest& request,
                             const RowCache& rows) {
  Json list = Json::array();
  rows.ForEach(kJobRowPrefix, [&list, &rows](const TableRow& each) {
    const Result<JobRow> row = DecodeJobRow(each.key, *each.value);
    if (!row) return;
    list.push_back(
        JobToJson(row.value(), FindJobStatus(row.value().job, rows)));
  });
  callbacks_.respond(request.id, JsonResponse(200, Json{{"jobs", list}}));
}

void JobRequestHandler::Show(const HttpServerRequest& request, const JobId& job,
                             const RowCache& rows) {
  const std::string key = JobRowKey(job);
  const TableRow* found = rows.Find(key);
  if (found == nullptr) {
    RespondWithError(request.id,
                     {ResultCode::kNotFound, "no job " + job.value()});
    return;
  }
  const Result<JobRow> row = DecodeJobRow(key, *found->value);
  if (!row) {
    RespondWithError(request.id, row.error());
    return;
  }
  callbacks_.respond(
      request.id,
      JsonResponse(200, JobToJson(row.value(), FindJobStatus(job, rows))));
}

void JobRequestHandler::CommitJobRow(TimePoint now, std::uint64_t call_id,
                                     const JobRow& row, std::uint64_t version) {
  const std::string id =
      settings_.process_name + ".w" + std::to_string(next_write_++);
  const std::string key = JobRowKey(row.job);
  TableTransaction transaction;
  transaction.write_id = id;
  transaction.conditions = {{key, version}};
  transaction.writes = {{key, EncodeJobRow(row)}};
  PendingWrite& pending = pending_writes_[id];
  pending = {call_id, row, now + settings_.commit_timeout, false, 0};
  std::vector<CommitEffect> effects;
  const Result<std::uint64_t> commit_id =
      resolver_.Submit(std::move(transaction), effects);
  if (commit_id) pending.commit_id = commit_id.value();
  Apply(now, effects);
}

void JobRequestHandler::Apply(TimePoint /*now*/,
                              std::vector<CommitEffect>& effects) {
  for (CommitEffect& effect : effects) {
    if (auto* send = std::get_if<SendCommit>(&effect)) {
      callbacks_.commit(send->transaction);
    } else if (auto* end = std::get_if<CommitResolved>(&effect)) {
      OnCommitResolved(*end);
    }
  }
}

void JobRequestHandler::OnCommit(TimePoint now, const std::string& write_id,
                                 CommitResponse response) {
  const auto found = pending_writes_.find(write_id);
  if (found == pending_writes_.end()) return;
  std::vector<CommitEffect> effects;
  resolver_.OnAnswer(now, found->second.commit_id, std::move(response),
                     effects);
  Apply(now, effects);
}

void JobRequestHandler::Tick(TimePoint now) {
  std::vector<CommitEffect> effects;
  resolver_.Tick(now, effects);
  Apply(now, effects);
  for (auto& [id, write] : pending_writes_) {
    if (write.responded || now < write.deadline) continue;
    write.responded = true;
    const bool unconfirmed = resolver_.in_doubt(write.commit_id);
    if (!unconfirmed) resolver_.Abandon(write.commit_id);
    RespondWithError(write.call_id,
                     {unconfirmed ? ResultCode::kWriteInDoubt
                                  : ResultCode::kPlatformUnavailable,
                      "the platform's table did not respond in time"});
  }
  std::erase_if(pending_writes_, [this](const auto& each) {
    return each.second.responded && !resolver_.in_doubt(each.second.commit_id);
  });
}

void JobRequestHandler::OnCommitResolved(const CommitResolved& end) {
  const auto found = pending_writes_.find(end.transaction.write_id);
  if (found == pending_writes_.end()) return;
  const PendingWrite write = std::move(found->second);
  pending_writes_.erase(found);
  if (end.outcome == CommitOutcome::kCommitted) {
    OnJobCommitted(write, end);
    return;
  }
  if (write.responded) return;
  const bool unconfirmed = end.outcome == CommitOutcome::kAmbiguous;
  RespondWithError(
      write.call_id,
      {unconfirmed ? ResultCode::kWriteInDoubt : ResultCode::kConflict,
       "the job's row was changed by another writer; query the job's state"});
}

void JobRequestHandler::OnJobCommitted(const PendingWrite& write,
                                       const CommitResolved& end) {
  TableRow row;
  row.key = JobRowKey(write.row.job);
  row.value = EncodeJobRow(write.row);
  row.version = end.revision;
  row.write_id = end.transaction.write_id;
  callbacks_.publish_committed_rows({row});
  if (write.responded) return;
  callbacks_.respond(write.call_id,
                     JsonResponse(202, JobToJson(write.row, {})));
}

}  // namespace chivewing
