#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "catalogue/catalogue_change.h"
#include "http/http_server.h"
#include "store/table.h"

namespace chivewing {

// Operations that CatalogueRequestHandler needs from its owner. No callback
// blocks; results come back through OnRead and OnCommit.
struct CatalogueRequestCallbacks {
  std::function<void(std::uint64_t read, const std::vector<std::string>& keys)>
      read_rows;
  std::function<void(const TableTransaction&)> commit;
  std::function<void(std::uint64_t call_id, HttpServerResponse)> respond;
  std::function<void(const std::vector<TableRow>&)> publish_committed_rows;
  // Milliseconds since the Unix epoch (UTC), for timestamps in rows.
  std::function<std::chrono::milliseconds()> wall_time;
};

// Serves operator requests to /v1/catalogue. Reads are answered from the local
// copy of the catalogue; changes and history go through the table. Does no I/O
// but through its callbacks; runs on the control plane's thread.
class CatalogueRequestHandler {
 public:
  // `process_name` is the prefix that makes write ids unique to this process.
  CatalogueRequestHandler(std::string name,
                          CatalogueRequestCallbacks callbacks);

  // `age` is the age of `catalogue`, the local copy.
  void HandleRequest(TimePoint now, const HttpServerRequest& request,
                     const Catalogue& catalogue, Duration age);
  void OnRead(TimePoint now, std::uint64_t read, const ReadResponse& response);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitResponse& response);
  // Sends the commits that are due, retries included.
  void Tick(TimePoint now);

 private:
  struct PendingChange {
    std::uint64_t call_id = 0;
    CatalogueChange change;
  };
  struct ScheduledCommit {
    TimePoint send_at;
    TableTransaction transaction;
  };

  void List(const HttpServerRequest& request, const Catalogue& catalogue,
            Duration age);
  void Show(const HttpServerRequest& request, const std::string& name,
            const Catalogue& catalogue, Duration age);
  void ReadHistory(const HttpServerRequest& request, const std::string& name,
                   const Catalogue& catalogue);
  void Put(TimePoint now, const HttpServerRequest& request,
           const std::string& name);
  void Remove(TimePoint now, const HttpServerRequest& request,
              const std::string& name);
  void StartChange(TimePoint now, std::uint64_t call_id, CatalogueEdit edit);
  void Apply(TimePoint now, const std::string& id, ChangeEffects& effects);
  void OnChangeFinished(const std::string& id, const FinishChange& end);
  void RespondWithError(std::uint64_t call_id, const Error& error);

  std::string process_name_;
  CatalogueRequestCallbacks callbacks_;
  std::map<std::string, PendingChange> pending_changes_;  // by write id
  std::map<std::uint64_t, std::string> change_reads_;     // write id by read id
  std::map<std::uint64_t, std::uint64_t> history_reads_;  // call id by read id
  std::vector<ScheduledCommit> scheduled_commits_;
  std::uint64_t next_id_ = 1;
};

}  // namespace chivewing
