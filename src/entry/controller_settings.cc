#include "entry/controller_settings.h"

#include <algorithm>
#include <set>
#include <string>

namespace chivewing {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
constexpr int kRenewalsALease = 3;
// The host list is long and lags anyway.
constexpr int kPollsAHostList = 2;
// On the catalogue's scale of priorities, 0 to 1000.
constexpr int kAgeingLimitPoints = 200;
constexpr int kDuePoints = 500;

std::string ProcessName(const Settings& settings, std::uint64_t incarnation) {
  return settings.host.value() + "." + std::to_string(incarnation);
}

Duration Share(std::chrono::milliseconds time, double share) {
  const double nanoseconds =
      static_cast<double>(Duration(time).count()) * share;
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

ControlPlaneSettings MakeControlFlowSettings(const Settings& settings,
                                             std::uint64_t incarnation) {
  ControlPlaneSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = incarnation;
  for (const PeerSettings& peer : settings.peers) {
    out.peers.push_back({peer.host, peer.zone, peer.address});
  }
  out.poll_interval = settings.platform.poll;
  out.host_list_interval = settings.platform.poll * kPollsAHostList;
  return out;
}

PlacerControllerSettings MakePlacerFlowSettings(const Settings& settings,
                                                std::uint64_t incarnation) {
  PlacerControllerSettings out;
  out.lease.host = settings.host;
  out.lease.zone = settings.zone;
  out.lease.incarnation = incarnation;
  out.lease.lease = settings.lease;
  out.lease.clock_drift_margin =
      settings.lease_margin + Share(settings.lease, settings.drift_margin);
  out.lease.renew_interval = Duration(settings.lease) / kRenewalsALease;
  out.session.placer.ageing_limit = kAgeingLimitPoints;
  out.session.placer.due_points = kDuePoints;
  out.session.worker_session.task_lease = settings.task_lease_duration;
  out.session.worker_session.max_clock_drift = settings.drift_margin;
  out.singletons.name = ProcessName(settings, incarnation);
  std::set<ZoneId> zones = {settings.zone};
  for (const PeerSettings& peer : settings.peers) zones.insert(peer.zone);
  out.singletons.zones.assign(zones.begin(), zones.end());
  const WorkerSessionSettings& link = out.session.worker_session;
  out.singletons.longest_life =
      out.lease.lease + out.lease.clock_drift_margin + link.call_timeout +
      Share(link.command_validity, 1 + link.max_clock_drift) +
      Share(link.task_lease, 1 + link.max_clock_drift);
  return out;
}

}  // namespace chivewing
