#include "cluster/caller_request_handler.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// Time that a caller is taken to wait when it does not say.
constexpr milliseconds kUsualTimeLimit{3000};
// Kept free at the end of a caller's time, for the way of the answer.
constexpr milliseconds kAnswerMargin{150};
// Writes that the table certainly did not take are tried this often.
constexpr int kMostTries = 4;
constexpr milliseconds kFirstRetry{40};
// With the table out of reach, an outcome that is not known by then is said to
// be in doubt.
constexpr milliseconds kDoubtPatience{700};
// When a caller may come back after the table was not to be reached.
constexpr milliseconds kRetryAfterTable{1000};
constexpr milliseconds kRetryAfterStart{500};
constexpr std::size_t kJobIdLength = 16;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

CallerResponse NotRun(milliseconds retry_after) {
  CallerResponse reply;
  reply.kind = CallerResponseKind::kRetryLater;
  reply.retry_after = retry_after;
  return reply;
}

CallerResponse Plain(CallerResponseKind kind) {
  CallerResponse reply;
  reply.kind = kind;
  return reply;
}

CallerResponse Bad(std::string problem) {
  CallerResponse reply;
  reply.kind = CallerResponseKind::kBadRequest;
  reply.problem = std::move(problem);
  return reply;
}

}  // namespace

void CallerRequestHandler::Answer(std::uint64_t call,
                                  const CallerResponse& reply) {
  switch (reply.kind) {
    case CallerResponseKind::kAccepted:
      ++counts_.accepted;
      break;
    case CallerResponseKind::kCancelled:
      ++counts_.cancelled;
      break;
    case CallerResponseKind::kRetryLater:
      ++counts_.refused;
      break;
    case CallerResponseKind::kUnconfirmed:
      ++counts_.in_doubt;
      break;
    case CallerResponseKind::kBadRequest:
    case CallerResponseKind::kQueueNotFound:
      ++counts_.malformed;
      break;
    case CallerResponseKind::kState:
    case CallerResponseKind::kWaiting:
    case CallerResponseKind::kJobNotFound:
      break;
  }
  hooks_.answer(call, reply);
}

void CallerRequestHandler::Refuse(std::uint64_t call,
                                  milliseconds retry_after) {
  Answer(call, NotRun(retry_after));
}

void CallerRequestHandler::OnCall(TimePoint now, std::uint64_t call,
                                  const CallerRequest& request,
                                  const std::string& body) {
  if (!queues_.ready()) {
    Refuse(call, kRetryAfterStart);
    return;
  }
  const Queue* const queue = queues_.Find(request.host, request.path);
  if (queue == nullptr) {
    Answer(call, Plain(CallerResponseKind::kQueueNotFound));
    return;
  }
  const std::string name = request.path.substr(queue->path_prefix.size());
  if (name.empty() && request.kind == CallerRequestKind::kState) {
    CallerResponse reply = Plain(CallerResponseKind::kWaiting);
    reply.waiting = index_.CountWaiting(queue->name);
    Answer(call, reply);
    return;
  }
  if (!IsJobId(name)) {
    Answer(call, Bad("the path names no job"));
    return;
  }
  const JobId job(name);
  switch (request.kind) {
    case CallerRequestKind::kSubmit:
      Submit(now, call, request, *queue, job, body);
      return;
    case CallerRequestKind::kState:
      TellState(now, call, job);
      return;
    case CallerRequestKind::kCancel:
      Cancel(now, call, request, job);
      return;
    case CallerRequestKind::kUnknown:
      Answer(call, Bad("the method is not known"));
      return;
  }
}

void CallerRequestHandler::Submit(TimePoint now, std::uint64_t call,
                                  const CallerRequest& request,
                                  const Queue& queue, const JobId& job,
                                  const std::string& body) {
  if (index_.PhaseOf(job)) {
    Answer(call, Plain(CallerResponseKind::kAccepted));
    return;
  }
  Result<JobDescription> spec = hooks_.decode_job(body);
  if (!spec) {
    LogInfo(LogPart::kRouter,
            "refused job=" + job.value() + " why=" + spec.error().detail);
    Answer(call, Bad(spec.error().detail));
    return;
  }
  JobRecord record;
  record.id = job;
  record.queue = queue;
  record.spec = std::move(spec.value());
  record.accepted_at = hooks_.wall_clock();
  StartWrite(now, call, request, JobRecordKey(job), EncodeJobRecord(record),
             CallerResponseKind::kAccepted);
}

void CallerRequestHandler::TellState(TimePoint now, std::uint64_t call,
                                     const JobId& job) {
  const auto tell = [this, call](JobPhase state) {
    CallerResponse reply = Plain(CallerResponseKind::kState);
    reply.state = state;
    Answer(call, reply);
  };
  if (const std::optional<JobPhase> state = index_.PhaseOf(job)) {
    tell(*state);
    return;
  }
  LookUp(now, call, job, [this, call, job, tell](TimePoint, bool found) {
    if (!found) {
      Answer(call, Plain(CallerResponseKind::kJobNotFound));
      return;
    }
    tell(index_.PhaseOf(job).value_or(JobPhase::kQueued));
  });
}

void CallerRequestHandler::Cancel(TimePoint now, std::uint64_t call,
                                  const CallerRequest& request,
                                  const JobId& job) {
  const auto write = [this, call, request, job](TimePoint when) {
    StartWrite(when, call, request, CancelRowKey(job), "{}",
               CallerResponseKind::kCancelled);
  };
  const std::optional<JobPhase> state = index_.PhaseOf(job);
  if (state == JobPhase::kCancelled) {
    Answer(call, Plain(CallerResponseKind::kCancelled));
    return;
  }
  if (state) {
    write(now);
    return;
  }
  LookUp(now, call, job, [this, call, write](TimePoint when, bool found) {
    if (found) {
      write(when);
    } else {
      Answer(call, Plain(CallerResponseKind::kJobNotFound));
    }
  });
}

void CallerRequestHandler::LookUp(TimePoint now, std::uint64_t call,
                                  const JobId& job,
                                  std::function<void(TimePoint, bool)> then) {
  if (hooks_.is_table_unreachable(now)) {
    Refuse(call, kRetryAfterTable);
    return;
  }
  const auto done = [this, call,
                     then = std::move(then)](const ReadResponse& answer) {
    hooks_.post([this, call, then, answer](TimePoint now) {
      if (!answer.ok) {
        Refuse(call, kRetryAfterTable);
        return;
      }
      bool found = false;
      for (const TableRow& row : answer.rows) {
        if (!row.value) continue;
        found = true;
        hooks_.on_row(now, row);
      }
      then(now, found);
    });
  };
  calls_.read(JobRecordKey(job), done);
}

void CallerRequestHandler::StartWrite(TimePoint now, std::uint64_t call,
                                      const CallerRequest& request,
                                      const std::string& key, std::string value,
                                      CallerResponseKind done) {
  // Nothing has been sent: the caller can go to another host at once.
  if (hooks_.is_table_unreachable(now) && !writes_.contains(key)) {
    Refuse(call, kRetryAfterTable);
    return;
  }
  const milliseconds limit = request.timeout.value_or(kUsualTimeLimit);
  const TimePoint deadline =
      now + std::max(milliseconds(0), limit - kAnswerMargin);
  const auto [found, added] = writes_.try_emplace(key);
  Write& write = found->second;
  write.calls.push_back(call);
  write.deadline = std::max(write.deadline, deadline);
  if (!added) return;
  write.done = done;
  write.first_sent = now;
  write.transaction.write_id = std::to_string(next_write_++);
  write.transaction.conditions = {{key, 0}};
  write.transaction.writes = {{key, std::move(value)}};
  Send(now, key, write);
}

void CallerRequestHandler::Send(TimePoint /*now*/, const std::string& key,
                                Write& write) {
  write.open = true;
  ++write.tries;
  calls_.commit(write.transaction, [this, key](const CommitResponse& answer) {
    hooks_.post(
        [this, key, answer](TimePoint now) { OnCommit(now, key, answer); });
  });
}

void CallerRequestHandler::OnCommit(TimePoint now, const std::string& key,
                                    const CommitResponse& answer) {
  const auto found = writes_.find(key);
  if (found == writes_.end()) return;
  Write& write = found->second;
  write.open = false;
  if (answer.status == CommitStatus::kCommitted) {
    const TableRow row{key, write.transaction.writes.front().value,
                       answer.revision, write.transaction.write_id};
    counts_.writes.Add(now - write.first_sent);
    LogInfo(LogPart::kRouter,
            "stored row=" + key + " ms=" +
                std::to_string(std::chrono::duration_cast<milliseconds>(
                                   now - write.first_sent)
                                   .count()) +
                " tries=" + std::to_string(write.tries));
    hooks_.on_row(now, row);
    End(key, Plain(write.done));
    return;
  }
  // The row is there already: from this caller's request sent before, or from
  // an earlier copy of this write.
  if (answer.status == CommitStatus::kConflict) {
    for (const TableRow& row : answer.rows) hooks_.on_row(now, row);
    End(key, Plain(write.done));
    return;
  }
  write.in_doubt |= answer.status == CommitStatus::kUnknown;
  const int doublings = std::min(write.tries - 1, 3);
  write.next_send = now + kFirstRetry * (1 << doublings);
  if (!write.in_doubt && write.tries >= kMostTries) {
    LogWarning(LogPart::kPlatform, "table refused row=" + key +
                                       " tries=" + std::to_string(write.tries));
    End(key, NotRun(kRetryAfterTable));
  }
}

void CallerRequestHandler::End(const std::string& key,
                               const CallerResponse& reply) {
  const auto node = writes_.extract(key);
  for (const std::uint64_t call : node.mapped().calls) {
    Answer(call, reply);
  }
}

TimePoint CallerRequestHandler::Tick(TimePoint now) {
  TimePoint next = TimePoint::max();
  std::vector<std::string> over;
  for (auto& [key, write] : writes_) {
    // A caller who learns early that the outcome is not known can ask another
    // host, which finds the row if it was written.
    const TimePoint doubted = write.first_sent + kDoubtPatience;
    const bool hopeless = now >= doubted && hooks_.is_table_unreachable(now);
    if (now >= write.deadline || hopeless) {
      over.push_back(key);
      continue;
    }
    if (now < doubted) next = std::min(next, doubted);
    if (!write.open && now >= write.next_send) Send(now, key, write);
    next = std::min(next, write.deadline);
    if (!write.open) next = std::min(next, write.next_send);
  }
  for (const std::string& key : over) {
    const Write& write = writes_.at(key);
    const bool unsure = write.in_doubt || write.open;
    LogWarning(LogPart::kPlatform, "no answer of the table in time row=" + key +
                                       " in_doubt=" + (unsure ? "1" : "0"));
    End(key, unsure ? Plain(CallerResponseKind::kUnconfirmed)
                    : NotRun(kRetryAfterTable));
  }
  return next;
}

}  // namespace chivewing
