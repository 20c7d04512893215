#include "settings/settings_check.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>

namespace chivewing {
namespace {

constexpr std::size_t kMinSharedKeyLength = 16;

void CheckSharedKey(const Settings& settings,
                    ValidationErrorCollector& errors) {
  if (errors.HasErrorFor({"shared_key"})) return;
  if (settings.shared_key.size() >= kMinSharedKeyLength) return;
  errors.AddAtKey("shared_key", "must have at least 16 characters");
}

void CheckAddresses(const Settings& settings,
                    ValidationErrorCollector& errors) {
  if (errors.HasErrorFor(
          {"caller_address", "operator_address", "peer_address"})) {
    return;
  }
  if (settings.caller_address == settings.operator_address) {
    errors.AddAtKey("operator_address", "is the same as caller_address");
  }
  if (settings.peer_address == settings.caller_address ||
      settings.peer_address == settings.operator_address) {
    errors.AddAtKey("peer_address",
                    "is the same as caller_address or operator_address");
  }
}

void CheckLeases(const Settings& settings, ValidationErrorCollector& errors) {
  if (errors.HasErrorFor({"lease_ms", "lease_margin_ms"})) return;
  if (settings.lease_margin * 2 >= settings.lease) {
    errors.AddAtKey("lease_margin_ms", "must be less than half of lease_ms");
  }
  if (errors.HasErrorFor({"task_lease_ms"})) return;
  if (settings.task_lease_duration <= settings.lease + settings.lease_margin) {
    errors.AddAtKey("task_lease_ms",
                    "must be over lease_ms and lease_margin_ms together, so "
                    "that another entry host can renew in time");
  }
}

void CheckHeartbeat(const Settings& settings,
                    ValidationErrorCollector& errors) {
  if (errors.HasErrorFor({"heartbeat_ms", "peer_silence_ms"})) return;
  if (settings.heartbeat_interval < settings.peer_timeout) return;
  errors.AddAtKey("heartbeat_ms", "must be less than peer_silence_ms");
}

void CheckStopTimeout(const Settings& settings,
                      ValidationErrorCollector& errors) {
  if (errors.HasErrorFor({"stop_within_ms", "longest_request_ms"})) return;
  if (settings.stop_timeout > settings.max_request_time) return;
  errors.AddAtKey("stop_within_ms",
                  "must be over longest_request_ms, so that a planned stop "
                  "lets requests finish");
}

std::string PeerKey(std::size_t index, const std::string& name) {
  return "peers[" + std::to_string(index) + "]." + name;
}

void CheckPeersUnique(const Settings& settings,
                      ValidationErrorCollector& errors) {
  std::set<HostId> hosts;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const PeerSettings& peer = settings.peers[i];
    if (!peer.host.empty() && !hosts.insert(peer.host).second) {
      errors.AddAtKey(PeerKey(i, "host"),
                      "host " + peer.host.value() + " is listed twice");
    }
    if (!peer.address.empty() && !addresses.insert(peer.address).second) {
      errors.AddAtKey(PeerKey(i, "address"),
                      "address " + peer.address + " is listed twice");
    }
  }
}

}  // namespace

void CheckSettings(const Settings& settings, ValidationErrorCollector& errors) {
  CheckSharedKey(settings, errors);
  CheckAddresses(settings, errors);
  CheckLeases(settings, errors);
  CheckHeartbeat(settings, errors);
  CheckStopTimeout(settings, errors);
  CheckPeersUnique(settings, errors);
}

void RemoveSelfFromPeers(Settings& settings, ValidationErrorCollector& errors) {
  const auto own = std::find_if(settings.peers.begin(), settings.peers.end(),
                                [&settings](const PeerSettings& peer) {
                                  return peer.host == settings.host;
                                });
  if (own == settings.peers.end() || settings.host.empty()) return;
  const auto index = static_cast<std::size_t>(own - settings.peers.begin());
  if (own->zone != settings.zone && !errors.HasErrorFor({"zone"})) {
    errors.AddAtKey(PeerKey(index, "zone"),
                    "differs from this host's own key zone");
  }
  if (own->address != settings.peer_address &&
      !errors.HasErrorFor({"peer_address"})) {
    errors.AddAtKey(PeerKey(index, "address"),
                    "differs from this host's own key peer_address");
  }
  settings.peers.erase(own);
}

}  // namespace chivewing
