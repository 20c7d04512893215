#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/log.h"

namespace chivewing {

// How the platform's table, objects and host list are reached.
struct PlatformSettings {
  std::vector<std::string> addresses;  // "ip:port"; a failure selects the next
  std::chrono::milliseconds timeout{1000};  // of one call
  std::chrono::milliseconds poll{1000};  // interval of polling for changed rows
};

// Another entry host of the region.
struct PeerSettings {
  HostId host;
  ZoneId zone;
  std::string address;         // "ip:port" for connections between entry hosts
  std::string caller_address;  // "ip:port" for HTTP requests of callers
};

// Limits on what one process accepts and buffers.
struct LimitSettings {
  int body_kb = 1024;        // of one HTTP request
  int header_kb = 16;        // of one HTTP request
  int connections = 1024;    // open at one HTTP port
  int frame_kb = 4096;       // of one frame between entry hosts
  int ring_capacity = 8192;  // messages in one ring between two threads
  std::chrono::milliseconds idle{60000};  // idle time-out of HTTP connections
};

// The settings of one entry host process. settings_fields.h binds the keys of
// the settings file to these members; docs/SETTINGS.md lists them.
struct Settings {
  HostId host;
  ZoneId zone;
  std::string caller_address;    // "ip:port" of the HTTP port for callers
  std::string operator_address;  // "ip:port" of the HTTP port for operators
  std::string peer_address;      // "ip:port" of the TCP port for entry hosts
  std::string shared_key;        // secret; never logged or dumped

  PlatformSettings platform;
  std::vector<PeerSettings> peers;  // the other entry hosts, without this one

  std::chrono::milliseconds lease{3000};  // duration of the placer lease
  // Time before the placer lease expires in which its holder starts nothing.
  std::chrono::milliseconds lease_margin{500};
  // Duration of the lease of a task at its worker.
  std::chrono::milliseconds task_lease_duration{15000};
  // Fraction of a lease that is not used, because two clocks may drift apart.
  double drift_margin = 0.01;
  std::chrono::milliseconds heartbeat_interval{200};  // to peers
  // Time without data after which the connection to a peer is closed.
  std::chrono::milliseconds peer_timeout{1000};
  std::chrono::milliseconds max_request_time{10000};
  std::chrono::milliseconds stop_timeout{20000};

  LimitSettings limits;
  int http_threads = 2;
  LogLevel log_level = LogLevel::kInfo;
  bool forward = true;  // true if requests may be forwarded to peers
};

}  // namespace chivewing
