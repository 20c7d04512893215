#include "entry/flow_settings.h"

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
  out.heartbeat_interval = settings.heartbeat;
  out.silence_timeout = settings.peer_silence;
  out.hello_timeout = settings.peer_silence;
  out.max_frame_bytes =
      static_cast<std::size_t>(settings.limits.frame_kb) * kBytesPerKb;
  return out;
}

RequestFlowSettings MakeRequestFlowSettings(const Settings& settings,
                                            std::uint64_t incarnation) {
  RequestFlowSettings out;
  out.host = settings.host;
  out.incarnation = incarnation;
  out.in_progress_max = static_cast<std::size_t>(settings.limits.ring_capacity);
  out.longest_request = settings.longest_request;
  if (!settings.forward) out.router.peer_choice = PeerChoice::kNone;
  return out;
}

ControlFlowSettings MakeControlFlowSettings(const Settings& settings,
                                            std::uint64_t incarnation) {
  ControlFlowSettings out;
  out.host = settings.host;
  out.zone = settings.zone;
  out.incarnation = incarnation;
  for (const PeerSettings& peer : settings.peers) {
    out.peers.push_back({peer.host, peer.zone, peer.address});
  }
  out.poll_interval = settings.platform.poll;
  out.hosts_interval = settings.platform.poll * kPollsAHostList;
  return out;
}

PlacerFlowSettings MakePlacerFlowSettings(const Settings& settings,
                                          std::uint64_t incarnation) {
  PlacerFlowSettings out;
  out.lease.host = settings.host;
  out.lease.zone = settings.zone;
  out.lease.incarnation = incarnation;
  out.lease.lease = settings.lease;
  out.lease.margin =
      settings.lease_margin + Share(settings.lease, settings.drift_margin);
  out.lease.renew_every = Duration(settings.lease) / kRenewalsALease;
  out.placer.options.ageing_limit = kAgeingLimitPoints;
  out.placer.options.due_points = kDuePoints;
  out.placer.link.task_lease = settings.task_lease;
  out.placer.link.drift = settings.drift_margin;
  out.singletons.name = ProcessName(settings, incarnation);
  std::set<ZoneId> zones = {settings.zone};
  for (const PeerSettings& peer : settings.peers) zones.insert(peer.zone);
  out.singletons.zones.assign(zones.begin(), zones.end());
  const WorkerLinkSettings& link = out.placer.link;
  out.singletons.longest_life = out.lease.lease + out.lease.margin +
                                link.call_timeout +
                                Share(link.order_patience, 1 + link.drift) +
                                Share(link.task_lease, 1 + link.drift);
  return out;
}

}  // namespace chivewing
