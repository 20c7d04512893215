#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/log.h"

namespace chivewing {

// Where the platform's table, objects and host list are reached.
struct PlatformSettings {
  std::vector<std::string> addresses;       // "ip:port", tried in turn
  std::chrono::milliseconds timeout{1000};  // of one call
  std::chrono::milliseconds poll{1000};     // between two polls of changes
};

// Another entry host of the region.
struct PeerSettings {
  HostId host;
  ZoneId zone;
  std::string address;         // "ip:port" of its peers' port
  std::string caller_address;  // "ip:port" of its callers' port
};

// What one process accepts from outside.
struct LimitSettings {
  int body_kb = 1024;                     // of one HTTP request
  int header_kb = 16;                     // of one HTTP request
  int connections = 1024;                 // of one HTTP port
  int frame_kb = 4096;                    // of one frame between entry hosts
  int ring_capacity = 8192;               // messages in one ring between duties
  std::chrono::milliseconds idle{60000};  // until a silent connection is closed
};

// What one process learns from its settings file. docs/SETTINGS.md lists the
// keys.
struct Settings {
  HostId host;
  ZoneId zone;
  std::string caller_address;    // "ip:port", callers' HTTP port
  std::string operator_address;  // "ip:port", operators' HTTP port
  std::string peer_address;      // "ip:port", entry hosts' TCP port
  std::string shared_key;        // secret: neither logged nor dumped

  PlatformSettings platform;
  std::vector<PeerSettings> peers;  // the others; this host is left out

  std::chrono::milliseconds lease{3000};                 // placer lease
  std::chrono::milliseconds lease_margin{500};           // kept free at its end
  std::chrono::milliseconds task_lease_duration{15000};  // of tasks at workers
  double drift_margin = 0.01;                            // share of a lease
  std::chrono::milliseconds heartbeat_interval{200};     // to peers
  std::chrono::milliseconds peer_timeout{1000};  // until a peer counts as lost
  std::chrono::milliseconds max_request_time{10000};
  std::chrono::milliseconds stop_timeout{20000};

  LimitSettings limits;
  int http_threads = 2;
  LogLevel log_level = LogLevel::kInfo;
  bool forward = true;  // whether requests are forwarded to peers
};

}  // namespace chivewing
