#include "cluster/caller_request_handler.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Assumed timeout of a caller that states none.
constexpr milliseconds kDefaultCallerTimeout{3000};
// Reserved at the end of a caller's timeout for sending the response.
constexpr milliseconds kResponseMargin{150};
// Attempts of a write that the table has certainly not applied.
constexpr int kMaxWriteAttempts = 4;
constexpr milliseconds kInitialRetryDelay{40};
// While the table is unreachable, a write without a result after this time is
// reported as unconfirmed.
constexpr milliseconds kUnconfirmedTimeout{700};
// Retry delay given to callers while the table is unreachable.
constexpr milliseconds kRetryAfterTableUnreachable{1000};
constexpr milliseconds kRetryAfterNoDesiredState{500};
// A host that has not read the desired state for so long may not know a version
// that has been in force for two seconds.
constexpr milliseconds kMaxDesiredStateAge{1750};
constexpr std::size_t kJobIdLength = 16;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

CallerResponse MakeRetryLaterResponse(milliseconds retry_after) {
  CallerResponse response;
  response.kind = CallerResponseKind::kRetryLater;
  response.retry_after = retry_after;
  return response;
}

CallerResponse MakeResponse(CallerResponseKind kind) {
  CallerResponse response;
  response.kind = kind;
  return response;
}

CallerResponse MakeBadRequestResponse(std::string problem) {
  CallerResponse response;
  response.kind = CallerResponseKind::kBadRequest;
  response.error_detail = std::move(problem);
  return response;
}

}  // namespace

void CallerRequestHandler::Respond(std::uint64_t call_id,
                                   const CallerResponse& response) {
  switch (response.kind) {
    case CallerResponseKind::kAccepted:
      ++counters_.accepted;
      break;
    case CallerResponseKind::kCancelled:
      ++counters_.cancelled;
      break;
    case CallerResponseKind::kRetryLater:
      ++counters_.refused;
      break;
    case CallerResponseKind::kUnconfirmed:
      ++counters_.unconfirmed;
      break;
    case CallerResponseKind::kBadRequest:
    case CallerResponseKind::kQueueNotFound:
      ++counters_.malformed;
      break;
    case CallerResponseKind::kState:
    case CallerResponseKind::kWaiting:
    case CallerResponseKind::kJobNotFound:
      break;
  }
  callbacks_.respond_to_caller(call_id, response);
}

void CallerRequestHandler::RespondRetryLater(std::uint64_t call_id,
                                             milliseconds retry_after) {
  Respond(call_id, MakeRetryLaterResponse(retry_after));
}

void CallerRequestHandler::OnRequest(TimePoint now, std::uint64_t call_id,
                                     const CallerRequest& request,
                                     const std::string& body) {
  if (!desired_state_.ready()) {
    RespondRetryLater(call_id, kRetryAfterNoDesiredState);
    return;
  }
  const Queue* const queue =
      desired_state_.FindQueue(request.host, request.path);
  if (queue == nullptr) {
    RespondQueueNotFound(now, call_id, request);
    return;
  }
  const std::string name = request.path.substr(queue->path_prefix.size());
  if (name.empty() && request.kind == CallerRequestKind::kState) {
    CallerResponse response = MakeResponse(CallerResponseKind::kWaiting);
    response.waiting = job_status_.CountWaiting(queue->name);
    Respond(call_id, response);
    return;
  }
  if (!IsJobId(name)) {
    Respond(call_id,
            MakeBadRequestResponse("the last part of the path must be a job id "
                                   "of 16 lower-case hex digits"));
    return;
  }
  const JobId job(name);
  switch (request.kind) {
    case CallerRequestKind::kSubmit:
      Submit(now, call_id, request, *queue, job, body);
      return;
    case CallerRequestKind::kState:
      RespondWithState(now, call_id, job);
      return;
    case CallerRequestKind::kCancel:
      Cancel(now, call_id, request, job);
      return;
    case CallerRequestKind::kUnknown:
      Respond(call_id,
              MakeBadRequestResponse("the method must be POST, GET or DELETE"));
      return;
  }
}

void CallerRequestHandler::RespondQueueNotFound(TimePoint now,
                                                std::uint64_t call_id,
                                                const CallerRequest& request) {
  const Duration age =
      callbacks_.time_since_desired_state_read(now).value_or(Duration::max());
  const bool behind = age > kMaxDesiredStateAge;
  LogRequest(LogPart::kRouter, request.path, [&] {
    return "request names no queue host=" + request.host +
           " path=" + request.path +
           " version=" + std::to_string(desired_state_.state().version) +
           " desired_state_read_ms_ago=" +
           std::to_string(
               std::chrono::duration_cast<milliseconds>(age).count()) +
           " behind=" + (behind ? "1" : "0");
  });
  if (behind) {
    RespondRetryLater(call_id, kRetryAfterNoDesiredState);
    return;
  }
  Respond(call_id, MakeResponse(CallerResponseKind::kQueueNotFound));
}

void CallerRequestHandler::Submit(TimePoint now, std::uint64_t call_id,
                                  const CallerRequest& request,
                                  const Queue& queue, const JobId& job,
                                  const std::string& body) {
  if (job_status_.PhaseOf(job)) {
    Respond(call_id, MakeResponse(CallerResponseKind::kAccepted));
    return;
  }
  Result<JobDescription> spec = callbacks_.decode_job(body);
  if (!spec) {
    LogInfo(LogPart::kRouter, "rejected a malformed job job=" + job.value() +
                                  " why=" + spec.error().detail);
    Respond(call_id, MakeBadRequestResponse(spec.error().detail));
    return;
  }
  JobRecord record;
  record.id = job;
  record.queue = queue;
  record.spec = std::move(spec.value());
  record.accepted_at = callbacks_.wall_clock();
  record.accepted_at_table = callbacks_.table_clock(now);
  StartWrite(now, call_id, request, JobRecordKey(job), EncodeJobRecord(record),
             CallerResponseKind::kAccepted);
}

void CallerRequestHandler::RespondWithState(TimePoint now,
                                            std::uint64_t call_id,
                                            const JobId& job) {
  const auto respond = [this, call_id](JobPhase state) {
    CallerResponse response = MakeResponse(CallerResponseKind::kState);
    response.state = state;
    Respond(call_id, response);
  };
  if (const std::optional<JobPhase> state = job_status_.PhaseOf(job)) {
    respond(*state);
    return;
  }
  const auto on_progress = [this, job, respond](TimePoint, bool /*found*/) {
    respond(job_status_.PhaseOf(job).value_or(JobPhase::kQueued));
  };
  ReadRow(now, call_id, JobRecordKey(job),
          [this, call_id, job, on_progress](TimePoint then, bool found) {
            if (!found) {
              Respond(call_id, MakeResponse(CallerResponseKind::kJobNotFound));
              return;
            }
            ReadRow(then, call_id, ProgressRowKey(job), on_progress);
          });
}

void CallerRequestHandler::Cancel(TimePoint now, std::uint64_t call_id,
                                  const CallerRequest& request,
                                  const JobId& job) {
  const auto write = [this, call_id, request, job](TimePoint when,
                                                   CallerResponseKind kind) {
    StartWrite(when, call_id, request, CancelRowKey(job), "{}", kind);
  };
  const std::optional<JobPhase> state = job_status_.PhaseOf(job);
  if (state == JobPhase::kCancelled) {
    Respond(call_id, MakeResponse(CallerResponseKind::kCancelled));
    return;
  }
  if (state) {
    write(now, CallerResponseKind::kCancelled);
    return;
  }
  // The write of the job's row may still be on its way: the caller that got no
  // response to it takes "not found" for the end of the job. The cancel row
  // holds for a job row that is committed after it.
  ReadRow(now, call_id, JobRecordKey(job), [write](TimePoint when, bool found) {
    write(when, found ? CallerResponseKind::kCancelled
                      : CallerResponseKind::kJobNotFound);
  });
}

void CallerRequestHandler::ReadRow(
    TimePoint now, std::uint64_t call_id, const std::string& key,
    std::function<void(TimePoint, bool)> on_read) {
  if (callbacks_.is_table_unreachable(now)) {
    RespondRetryLater(call_id, kRetryAfterTableUnreachable);
    return;
  }
  const auto on_response =
      [this, call_id, then = std::move(on_read)](const ReadResponse& response) {
        callbacks_.post([this, call_id, then, response](TimePoint now) {
          if (!response.ok) {
            RespondRetryLater(call_id, kRetryAfterTableUnreachable);
            return;
          }
          bool found = false;
          for (const TableRow& row : response.rows) {
            if (!row.value) continue;
            found = true;
            callbacks_.on_row(now, row);
          }
          then(now, found);
        });
      };
  table_.read(key, on_response);
}

void CallerRequestHandler::StartWrite(TimePoint now, std::uint64_t call_id,
                                      const CallerRequest& request,
                                      const std::string& key, std::string value,
                                      CallerResponseKind success_kind) {
  // Nothing has been sent, so the caller can safely try another host at once.
  if (callbacks_.is_table_unreachable(now) && !writes_.contains(key)) {
    RespondRetryLater(call_id, kRetryAfterTableUnreachable);
    return;
  }
  const milliseconds timeout = request.timeout.value_or(kDefaultCallerTimeout);
  const TimePoint deadline =
      now + std::max(milliseconds(0), timeout - kResponseMargin);
  const auto [found, added] = writes_.try_emplace(key);
  PendingWrite& write = found->second;
  write.call_ids.push_back(call_id);
  write.deadline = std::max(write.deadline, deadline);
  if (!added) return;
  write.success_kind = success_kind;
  write.first_sent = now;
  write.transaction.write_id = std::to_string(next_write_number_++);
  write.transaction.conditions = {{key, 0}};
  write.transaction.writes = {{key, std::move(value)}};
  Send(now, key, write);
}

void CallerRequestHandler::Send(TimePoint /*now*/, const std::string& key,
                                PendingWrite& write) {
  write.in_flight = true;
  ++write.attempts;
  table_.commit(write.transaction, [this, key](const CommitResponse& response) {
    callbacks_.post([this, key, response](TimePoint now) {
      OnCommitResponse(now, key, response);
    });
  });
}

void CallerRequestHandler::OnCommitResponse(TimePoint now,
                                            const std::string& key,
                                            const CommitResponse& response) {
  const auto found = writes_.find(key);
  if (found == writes_.end()) return;
  PendingWrite& write = found->second;
  write.in_flight = false;
  if (response.status == CommitStatus::kCommitted) {
    const TableRow row{key, write.transaction.writes.front().value,
                       response.revision, write.transaction.write_id};
    counters_.write_latency.Add(now - write.first_sent);
    LogRequest(LogPart::kRouter, key.substr(key.find('/') + 1), [&] {
      return "stored a row for a caller row=" + key + " ms=" +
             std::to_string(std::chrono::duration_cast<milliseconds>(
                                now - write.first_sent)
                                .count()) +
             " tries=" + std::to_string(write.attempts);
    });
    callbacks_.on_row(now, row);
    FinishWrite(key, MakeResponse(write.success_kind));
    return;
  }
  // The row already exists: an earlier request of this caller, or an earlier
  // attempt of this write, has committed it.
  if (response.status == CommitStatus::kConflict) {
    for (const TableRow& row : response.rows) callbacks_.on_row(now, row);
    FinishWrite(key, MakeResponse(write.success_kind));
    return;
  }
  if (response.status == CommitStatus::kRejected) {
    LogWarning(
        LogPart::kPlatform,
        "the table never takes this row; the caller's request is "
        "refused row=" +
            key + " bytes=" +
            std::to_string(write.transaction.writes.front().value->size()));
    FinishWrite(key, MakeBadRequestResponse(
                         "the job is larger than one row of the table"));
    return;
  }
  write.unconfirmed |= response.status == CommitStatus::kUnknown;
  const int doublings = std::min(write.attempts - 1, 3);
  write.next_send_time = now + kInitialRetryDelay * (1 << doublings);
  if (!write.unconfirmed && write.attempts >= kMaxWriteAttempts) {
    LogWarning(LogPart::kPlatform,
               "table did not apply a write; the caller is told to retry row=" +
                   key + " tries=" + std::to_string(write.attempts));
    FinishWrite(key, MakeRetryLaterResponse(kRetryAfterTableUnreachable));
  }
}

void CallerRequestHandler::FinishWrite(const std::string& key,
                                       const CallerResponse& response) {
  const auto node = writes_.extract(key);
  for (const std::uint64_t call_id : node.mapped().call_ids) {
    Respond(call_id, response);
  }
}

TimePoint CallerRequestHandler::Tick(TimePoint now) {
  TimePoint next = TimePoint::max();
  std::vector<std::string> expired;
  for (auto& [key, write] : writes_) {
    // A caller that learns early that the outcome is unknown can ask another
    // host, which finds the row if it was committed.
    const TimePoint confirm_by = write.first_sent + kUnconfirmedTimeout;
    const bool timed_out_early =
        now >= confirm_by && callbacks_.is_table_unreachable(now);
    if (now >= write.deadline || timed_out_early) {
      expired.push_back(key);
      continue;
    }
    if (now < confirm_by) next = std::min(next, confirm_by);
    if (!write.in_flight && now >= write.next_send_time) Send(now, key, write);
    next = std::min(next, write.deadline);
    if (!write.in_flight) next = std::min(next, write.next_send_time);
  }
  for (const std::string& key : expired) {
    const PendingWrite& write = writes_.at(key);
    const bool unconfirmed = write.unconfirmed || write.in_flight;
    LogWarning(LogPart::kPlatform,
               "write has no definite result at its deadline; responding to "
               "the caller row=" +
                   key + " in_doubt=" + (unconfirmed ? "1" : "0"));
    FinishWrite(key, unconfirmed
                         ? MakeResponse(CallerResponseKind::kUnconfirmed)
                         : MakeRetryLaterResponse(kRetryAfterTableUnreachable));
  }
  return next;
}

}  // namespace chivewing
