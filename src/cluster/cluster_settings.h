#pragma once

#include <chrono>
#include <string>

#include "base/id.h"
#include "base/log.h"
#include "schema/validation_error.h"

namespace chivewing {

// What a cluster host learns from its settings file; docs/SETTINGS.md lists
// the keys.
struct ClusterSettings {
  HostId host{};
  ZoneId zone{};
  std::string caller_address{};   // "ip:port", callers' HTTP port
  std::string ready_address{};    // "ip:port", readiness for the balancer
  std::string peer_address{};     // "ip:port", entry hosts' TCP port
  std::string metrics_address{};  // "ip:port"; empty: none are served
  std::string store_address{};    // "ip:port" of the platform's store
  std::string advice_address{};   // "ip:port" of the advice service; may be ""
  std::chrono::milliseconds max_worker_lease{10000};  // that workers grant
  std::chrono::milliseconds worker_lease{6000};       // that orders give
  std::chrono::milliseconds host_lease{600};          // of the dispatching host
  std::chrono::milliseconds stop_timeout{5000};       // of a planned stop
  LogLevel log_level = LogLevel::kInfo;
};

// Reads the settings from JSON text with comments, or tells all its faults.
ValidationResult<ClusterSettings> ReadClusterSettings(std::string_view text,
                                                      const std::string& file);
ValidationResult<ClusterSettings> ReadClusterSettingsFile(
    const std::string& path);

// The docs' table of keys.
std::string ClusterSettingsTable();

}  // namespace chivewing
