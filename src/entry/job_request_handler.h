#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue.h"
#include "entry/job_row.h"
#include "http/http_server.h"
#include "store/commit_resolver.h"
#include "store/row_cache.h"
#include "store/table.h"

namespace chivewing {

// Operations that JobRequestHandler needs from its owner. No callback blocks;
// the result of a commit comes back through OnCommit.
struct JobRequestCallbacks {
  std::function<void(const TableTransaction&)> commit;
  std::function<void(std::uint64_t call_id, HttpServerResponse)> respond;
  std::function<void(const std::vector<TableRow>&)> publish_committed_rows;
  // Milliseconds since the Unix epoch (UTC), for timestamps in rows.
  std::function<std::chrono::milliseconds()> wall_time;
};

struct JobRequestHandlerSettings {
  std::string process_name;  // prefix of write ids, unique to this process
  ZoneId home_zone;          // default zone of jobs submitted here
  // A caller is told after this time that the write failed or is unconfirmed.
  Duration commit_timeout = std::chrono::seconds(10);
};

// Serves callers' requests to /v1/jobs: submit, cancel, list and show. A job is
// accepted once its row is committed; the placer of its zone then places its
// tasks. Does no I/O but through its callbacks; runs on the control plane's
// thread.
class JobRequestHandler {
 public:
  JobRequestHandler(JobRequestHandlerSettings settings,
                    JobRequestCallbacks callbacks);

  void HandleRequest(TimePoint now, const HttpServerRequest& request,
                     const Catalogue& catalogue, const RowCache& rows);
  void OnCommit(TimePoint now, const std::string& write_id,
                CommitResponse response);
  void Tick(TimePoint now);

 private:
  struct PendingWrite {
    std::uint64_t call_id = 0;
    JobRow row;
    TimePoint deadline;
    bool responded = false;
    std::uint64_t commit_id = 0;  // id of the commit in resolver_
  };

  void Submit(TimePoint now, const HttpServerRequest& request,
              const Catalogue& catalogue, const RowCache& rows);
  Result<JobRow> ParseSubmission(const HttpServerRequest& request,
                                 const Catalogue& catalogue) const;
  void Cancel(TimePoint now, const HttpServerRequest& request, const JobId& job,
              const RowCache& rows);
  void List(const HttpServerRequest& request, const RowCache& rows);
  void Show(const HttpServerRequest& request, const JobId& job,
            const RowCache& rows);
  void CommitJobRow(TimePoint now, std::uint64_t call_id, const JobRow& row,
                    std::uint64_t version);
  void Apply(TimePoint now, std::vector<CommitEffect>& effects);
  void OnCommitResolved(const CommitResolved& end);
  void OnJobCommitted(const PendingWrite& write, const CommitResolved& end);
  void RespondWithError(std::uint64_t call_id, const Error& error);

  JobRequestHandlerSettings settings_;
  JobRequestCallbacks callbacks_;
  CommitResolver resolver_;
  std::map<std::string, PendingWrite> pending_writes_;  // by write id
  std::uint64_t next_write_ = 1;
};

}  // namespace chivewing
