#include "entry/controller_settings.h"

#include <algorithm>
#include <set>
#include <string>

namespace chivewing {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
constexpr int kRenewalsPerLease = 3;
// The host list is large and lags behind in any case, so it is fetched less
// often than changes.
constexpr int kPollsPerHostList = 2;
// In points of the catalogue's priorities, which range from 0 to 1000.
constexpr int kAgeingLimitPoints = 200;
constexpr int kDuePoints = 500;

std::string MakeProcessName(const Settings& settings,
                            std::uint64_t incarnation) {
  return settings.host.value() + "." + std::to_string(incarnation);
}

Duration ScaleDuration(std::chrono::milliseconds duration, double factor) {
  const double nanoseconds =
      static_cast<double>(Duration(duration).count()) * factor;
  return Duration(static_cast<Duration::rep>(nanoseconds));
}

}  // namespace

PeerMeshSettings MakeMeshSettings(const Settings& settings,
                                  std::uint64_t incarnation) {
  PeerMeshSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = incarnation;
  out.key = settings.shared_key;
  out.listen_address = settings.peer_address;
  for (const PeerSettings& peer : settings.peers) {
    out.peers.push_back({peer.host, peer.address});
  }
  out.heartbeat_interval = settings.heartbeat_interval;
  out.read_idle_timeout = settings.peer_timeout;
  out.hello_timeout = settings.peer_timeout;
  out.max_frame_bytes =
      static_cast<std::size_t>(settings.limits.frame_kb) * kBytesPerKb;
  return out;
}

RequestControllerSettings MakeRequestControllerSettings(
    const Settings& settings, std::uint64_t incarnation) {
  RequestControllerSettings out;
  out.host = settings.host;
  out.incarnation = incarnation;
  out.max_in_progress = static_cast<std::size_t>(settings.limits.ring_capacity);
  out.max_request_duration = settings.max_request_time;
  if (!settings.forward) out.router.peer_choice = PeerSelectionPolicy::kNone;
  return out;
}

ControlPlaneSettings MakeControlPlaneSettings(const Settings& settings,
                                              std::uint64_t incarnation) {
  ControlPlaneSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = incarnation;
  for (const PeerSettings& peer : settings.peers) {
    out.peers.push_back({peer.host, peer.zone, peer.address});
  }
  out.poll_interval = settings.platform.poll;
  out.host_list_interval = settings.platform.poll * kPollsPerHostList;
  return out;
}

PlacerControllerSettings MakePlacerControllerSettings(
    const Settings& settings, std::uint64_t incarnation) {
  PlacerControllerSettings out;
  out.lease.host = settings.host;
  out.lease.zone = settings.zone;
  out.lease.incarnation = incarnation;
  out.lease.lease = settings.lease;
  out.lease.clock_drift_margin =
      settings.lease_margin +
      ScaleDuration(settings.lease, settings.drift_margin);
  out.lease.renew_interval = Duration(settings.lease) / kRenewalsPerLease;
  out.session.placer.ageing_limit = kAgeingLimitPoints;
  out.session.placer.due_points = kDuePoints;
  out.session.worker_session.task_lease = settings.task_lease_duration;
  out.session.worker_session.max_clock_drift = settings.drift_margin;
  out.singletons.write_id_prefix = MakeProcessName(settings, incarnation);
  std::set<ZoneId> zones = {settings.zone};
  for (const PeerSettings& peer : settings.peers) zones.insert(peer.zone);
  out.singletons.zones.assign(zones.begin(), zones.end());
  const WorkerSessionSettings& session = out.session.worker_session;
  out.singletons.max_run_time_after_renewal =
      out.lease.lease + out.lease.clock_drift_margin + session.call_timeout +
      ScaleDuration(session.command_validity, 1 + session.max_clock_drift) +
      ScaleDuration(session.task_lease, 1 + session.max_clock_drift);
  return out;
}

}  // namespace chivewing
