#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/log.h"
#include "schema/validation_error.h"

namespace chivewing {

// Settings of a cluster host, read once at the start from a file;
// docs/SETTINGS.md lists the keys.
struct ClusterSettings {
  HostId host{};
  ZoneId zone{};
  std::string caller_address{};   // "ip:port", callers' HTTP port
  std::string ready_address{};    // "ip:port" of the readiness check
  std::string peer_address{};     // "ip:port", entry hosts' TCP port
  std::string metrics_address{};  // "ip:port"; empty if not served
  std::string store_address{};    // "ip:port" of the platform's store
  std::string advice_address{};   // "ip:port" of the advice service; may be ""
  std::chrono::milliseconds max_worker_lease{10000};  // that a worker accepts
  std::chrono::milliseconds worker_lease{6000};       // granted by commands
  std::chrono::milliseconds host_lease{600};          // dispatcher's lease
  std::chrono::milliseconds stop_timeout{5000};       // of a graceful stop
  // Share of a core that this host may use, and how many times as fast as one
  // core it is; a share of 0 is not known.
  double processor_share = 0;
  double processor_cores = 1;
  LogLevel log_level = LogLevel::kInfo;
};

// The processor time of this host in thousandths of a core; 0 if not known.
std::int64_t ProcessorMilli(const ClusterSettings& settings);

// Reads the settings from JSON text with comments, or returns all its errors.
// `file` names the text in them.
ValidationResult<ClusterSettings> ReadClusterSettings(std::string_view text,
                                                      const std::string& file);
ValidationResult<ClusterSettings> ReadClusterSettingsFile(
    const std::string& path);

// The table of keys in docs/SETTINGS.md, as Markdown.
std::string ClusterSettingsTable();

}  // namespace chivewing
