#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/latency_histogram.h"
#include "base/time.h"
#include "cluster/desired_state_cache.h"
#include "cluster/job_status_index.h"
#include "cluster/platform_interface.h"

namespace chivewing {

// Responses to callers by outcome, counted since the process started.
struct CallerRequestCounters {
  std::uint64_t accepted = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t malformed = 0;
  LatencyHistogram write_latency{};  // from the request until its row is stored
};

// Handles callers' requests: submits and cancels jobs, and reports their state.
// A job or a cancel is acknowledged once its row is committed. The row's key
// contains the job's id, so a repeated request finds the row at any host. Does
// no I/O itself: it calls the table, and runs on the thread of its owner.
class CallerRequestHandler {
 public:
  using Post = std::function<void(std::function<void(TimePoint)>)>;
  struct Callbacks {
    Post post{};
    // Sends the response to the HTTP request with this id.
    std::function<void(std::uint64_t call_id, const CallerResponse& response)>
        respond_to_caller{};
    // Called for each row that this handler committed or read.
    std::function<void(TimePoint, const TableRow&)> on_row{};
    // True while this host gets no responses from the table.
    std::function<bool(TimePoint)> is_table_unreachable{};
    // Wall-clock time since the Unix epoch.
    std::function<std::chrono::milliseconds()> wall_clock{};
    std::function<Result<JobDescription>(const std::string&)> decode_job{};
    // The table's steady clock; nullopt while it is not known.
    std::function<std::optional<std::chrono::milliseconds>(TimePoint)>
        table_clock{};
    // How long ago this host last read the desired state; nullopt if never.
    std::function<std::optional<Duration>(TimePoint)>
        time_since_desired_state_read{};
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
  // Retries writes that are due and ends those past their deadline. Returns
  // when it must be called next.
  TimePoint Tick(TimePoint now);

  const CallerRequestCounters& counters() const { return counters_; }

 private:
  // A row that is being committed, and the requests that wait for it.
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

  void RespondQueueNotFound(TimePoint now, std::uint64_t call_id,
                            const CallerRequest& request);
  void Submit(TimePoint now, std::uint64_t call_id,
              const CallerRequest& request, const Queue& queue,
              const JobId& job, const std::string& body);
  void RespondWithState(TimePoint now, std::uint64_t call_id, const JobId& job);
  void Cancel(TimePoint now, std::uint64_t call_id,
              const CallerRequest& request, const JobId& job);
  // Calls `on_read` with whether the table has the row. If the table cannot be
  // read, responds to the request itself.
  void ReadRow(TimePoint now, std::uint64_t call_id, const std::string& key,
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
