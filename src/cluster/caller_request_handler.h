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
  std::uint64_t in_doubt = 0;
  std::uint64_t malformed = 0;
  LatencyHistogram writes{};  // from the request to its stored row
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
    std::function<void(std::uint64_t call, const CallerResponse& reply)>
        answer{};
    // A row has been written here, or was read for a caller.
    std::function<void(TimePoint, const TableRow&)> on_row{};
    // Whether the table is out of this host's reach.
    std::function<bool(TimePoint)> is_table_unreachable{};
    // The time of day since 1970.
    std::function<std::chrono::milliseconds()> wall_clock{};
    std::function<Result<JobDescription>(const std::string&)> decode_job{};
  };

  CallerRequestHandler(TableInterface calls, const DesiredStateCache& queues,
                       const JobStatusIndex& index, Callbacks hooks)
      : calls_(std::move(calls)),
        queues_(queues),
        index_(index),
        hooks_(std::move(hooks)) {}

  void OnCall(TimePoint now, std::uint64_t call, const CallerRequest& request,
              const std::string& body);
  // Sends writes again that are due; returns when it is to be called again.
  TimePoint Tick(TimePoint now);

  const CallerRequestCounters& counts() const { return counts_; }

 private:
  // A row on its way to the table, and the calls that wait for it.
  struct Write {
    TableTransaction transaction{};
    CallerResponseKind done = CallerResponseKind::kAccepted;
    std::vector<std::uint64_t> calls{};
    TimePoint deadline{};
    TimePoint first_sent{};
    bool in_doubt = false;
    bool open = false;
    int tries = 0;
    TimePoint next_send{};
  };

  void Submit(TimePoint now, std::uint64_t call, const CallerRequest& request,
              const Queue& queue, const JobId& job, const std::string& body);
  void TellState(TimePoint now, std::uint64_t call, const JobId& job);
  void Cancel(TimePoint now, std::uint64_t call, const CallerRequest& request,
              const JobId& job);
  // Calls `then` with whether the job's row is in the table; answers the call
  // itself when the table cannot be read.
  void LookUp(TimePoint now, std::uint64_t call, const JobId& job,
              std::function<void(TimePoint, bool)> then);
  void StartWrite(TimePoint now, std::uint64_t call,
                  const CallerRequest& request, const std::string& key,
                  std::string value, CallerResponseKind done);
  void Send(TimePoint now, const std::string& key, Write& write);
  void OnCommit(TimePoint now, const std::string& key,
                const CommitResponse& answer);
  void End(const std::string& key, const CallerResponse& reply);
  void Answer(std::uint64_t call, const CallerResponse& reply);
  void Refuse(std::uint64_t call, std::chrono::milliseconds retry_after);

  TableInterface calls_;
  const DesiredStateCache& queues_;
  const JobStatusIndex& index_;
  Callbacks hooks_;
  CallerRequestCounters counts_;
  std::map<std::string, Write> writes_;  // by row key
  std::uint64_t next_write_ = 1;
};

}  // namespace chivewing
