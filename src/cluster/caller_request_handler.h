#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/latency_histogram.h"
#include "base/time.h"
#include "cluster/desired_state_cache.h"
#include "cluster/job_status_index.h"
#include "cluster/platform_interface.h"

namespace chivewing {

// What callers were told, counted since the start.
struct CallerRequestCounters {
  std::uint64_t accepted = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t malformed = 0;
  LatencyHistogram write_latency{};  // from the request to its stored row
};

// Answers callers. A job or a cancel is acknowledged once its row is in the
// table; the row's key is the job's id, so that a request which comes again, at
// any host, finds it.
class CallerRequestHandler {
 public:
  using Post = std::function<void(std::function<void(TimePoint)>)>;
  struct Callbacks {
    Post post{};
    // Answers the call with this id.
    std::function<void(std::uint64_t call_id, const CallerResponse& response)>
        respond_to_caller{};
    // A row has been written here, or was read for a caller.
    std::function<void(TimePoint, const TableRow&)> on_row{};
    // Whether the table is out of this host's reach.
    std::function<bool(TimePoint)> is_table_unreachable{};
    // The time of day since 1970.
    std::function<std::chrono::milliseconds()> wall_clock{};
    std::function<Result<JobDescription>(const std::string&)> decode_job{};
  };

  CallerRequestHandler(TableInterface table,
                       const DesiredStateCache& desired_state,
                       const JobStatusIndex& job_status, Callbacks callbacks)
      : table_(std::move(table)),
        desired_state_(desired_state),
        job_status_(job_status),
        callbacks_(std::move(callbacks)) {}

  void OnRequest(TimePoint now, std::uint64_t call_id,
                 const CallerRequest& request, const std::string& body);
  // Sends writes again that are due; returns when it is to be called again.
  TimePoint Tick(TimePoint now);

  const CallerRequestCounters& counters() const { return counters_; }

 private:
  // A row on its way to the table, and the calls that wait for it.
  struct PendingWrite {
    TableTransaction transaction{};
    CallerResponseKind success_kind = CallerResponseKind::kAccepted;
    std::vector<std::uint64_t> call_ids{};
    TimePoint deadline{};
    TimePoint first_sent{};
    bool unconfirmed = false;
    bool in_flight = false;
    int attempts = 0;
    TimePoint next_send_time{};
  };

  void Submit(TimePoint now, std::uint64_t call_id,
              const CallerRequest& request, const Queue& queue,
              const JobId& job, const std::string& body);
  void RespondWithState(TimePoint now, std::uint64_t call_id, const JobId& job);
  void Cancel(TimePoint now, std::uint64_t call_id,
              const CallerRequest& request, const JobId& job);
  // Calls `then` with whether the job's row is in the table; answers the call
  // itself when the table cannot be read.
  void ReadJobRow(TimePoint now, std::uint64_t call_id, const JobId& job,
                  std::function<void(TimePoint, bool)> on_read);
  void StartWrite(TimePoint now, std::uint64_t call_id,
                  const CallerRequest& request, const std::string& key,
                  std::string value, CallerResponseKind success_kind);
  void Send(TimePoint now, const std::string& key, PendingWrite& write);
  void OnCommitResponse(TimePoint now, const std::string& key,
                        const CommitResponse& response);
  void FinishWrite(const std::string& key, const CallerResponse& response);
  void Respond(std::uint64_t call_id, const CallerResponse& response);
  void RespondRetryLater(std::uint64_t call_id,
                         std::chrono::milliseconds retry_after);

  TableInterface table_;
  const DesiredStateCache& desired_state_;
  const JobStatusIndex& job_status_;
  Callbacks callbacks_;
  CallerRequestCounters counters_;
  std::map<std::string, PendingWrite> writes_;  // by row key
  std::uint64_t next_write_number_ = 1;
};

}  // namespace chivewing
