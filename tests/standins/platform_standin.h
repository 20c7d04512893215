#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "standins/standin_server.h"
#include "store/row_cache.h"
#include "store/table.h"

namespace chivewing {

struct PlatformStandinOptions {
  std::string listen = "127.0.0.1:0";
  std::chrono::milliseconds list_lag{0};
  std::uint64_t seed = 1;  // for choosing the lost requests and responses
};

// Requests served by a platform stand-in.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t commits = 0;
  std::uint64_t conflicts = 0;
};

// HTTP stand-in for the platform, in memory: table, object store and host list
// of docs/PROTOCOLS.md. It also accepts
//   POST /hosts             registers the host in the body
//   DELETE /hosts/ID        marks the host as gone
//   POST /hosts/ID/state    sets the host's state to {"state"}
//   GET /counts             returns PlatformCounts and the bytes transferred
// In addition to the faults of StandinServer it accepts
//   lose_answer_percent     share of requests that take effect but get no
//                           response
//   lose_request_percent    share of requests that are dropped without effect
//   list_lag_ms             delay until a host change appears in the list
class PlatformStandin {
 public:
  explicit PlatformStandin(const PlatformStandinOptions& options = {});
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  Status Start();
  void Stop() { server_.Stop(); }

  std::string address() const { return server_.address(); }
  bool SetFaults(const std::string& json) { return server_.InjectFaults(json); }
  void SetHost(const PlatformHost& host);
  // The current row or tombstone; nullopt if the key was never written.
  std::optional<TableRow> Row(const std::string& key);
  std::vector<TableRow> Rows(const std::string& prefix);
  // Commits directly, without HTTP, for tests that set up or overwrite rows.
  CommitResponse Commit(const TableTransaction& transaction);
  PlatformCounts counts();

 private:
  struct HostChange {
    TimePoint at;
    PlatformHost host;
  };

  void OnCall(const HttpServerRequest& call);
  bool OnFault(const std::string& json);
  bool IsLost(int percent);
  HttpServerResponse Route(const HttpServerRequest& call);
  HttpServerResponse ReplyToCommit(const HttpServerRequest& call);
  HttpServerResponse ReplyToRead(const HttpServerRequest& call);
  HttpServerResponse ReplyToChanges(const HttpServerRequest& call);
  HttpServerResponse ReplyToObject(const HttpServerRequest& call);
  HttpServerResponse ReplyToHosts(const HttpServerRequest& call);
  HttpServerResponse ReplyToHostChange(const HttpServerRequest& call);
  HttpServerResponse ReplyToCounts();
  TableRow PresentRow(const std::string& key) const;
  CommitResponse CommitLocked(const TableTransaction& transaction);
  std::vector<PlatformHost> ListedHosts(TimePoint now) const;

  StandinServer server_;
  std::mutex mutex_;
  RowCache table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, std::vector<HostChange>, std::less<>> hosts_;
  PlatformCounts counts_;
  std::chrono::milliseconds list_lag_;
  std::atomic<int> lose_answer_percent_ = 0;
  std::atomic<int> lose_request_percent_ = 0;
  std::mt19937_64 random_;
};

}  // namespace chivewing
