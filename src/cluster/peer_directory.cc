#include "cluster/peer_directory.h"

#include <algorithm>
#include <utility>

namespace chivewing {
namespace {

constexpr double kMilliPerCore = 1000;

}  // namespace

const HostRow* PeerDirectory::FindRow(const HostId& host) const {
  const auto found = rows_.find(host);
  return found == rows_.end() ? nullptr : &found->second;
}

const HostRow* PeerDirectory::FindConnectedRow(const HostId& host) const {
  const HostRow* const row = FindRow(host);
  const auto connected = connected_.find(host);
  if (row == nullptr || connected == connected_.end()) return nullptr;
  return row->incarnation == connected->second ? row : nullptr;
}

void PeerDirectory::OnConnected(const HostId& host, std::uint64_t incarnation) {
  connected_[host] = incarnation;
}

bool PeerDirectory::OnOffer(const HostId& host, std::uint64_t incarnation) {
  return std::exchange(offers_[host], incarnation) != incarnation;
}

bool PeerDirectory::TakesWorkerCalls(const HostId& host) const {
  const HostRow* const row = FindConnectedRow(host);
  return row != nullptr && row->takes_worker_calls;
}

bool PeerDirectory::TakesJobFeed(const HostId& host) const {
  const HostRow* const row = FindConnectedRow(host);
  return row != nullptr && row->takes_job_feed;
}

bool PeerDirectory::HasOffered(const HostId& host) const {
  const auto offer = offers_.find(host);
  const auto connected = connected_.find(host);
  return offer != offers_.end() && connected != connected_.end() &&
         offer->second == connected->second;
}

std::set<HostId> PeerDirectory::AdviceHosts() const {
  std::set<HostId> hosts;
  for (const auto& [host, incarnation] : connected_) {
    // A build that makes no calls never offers to.
    if (!TakesWorkerCalls(host) || HasOffered(host)) hosts.insert(host);
  }
  return hosts;
}

std::vector<GatewayOption> PeerDirectory::Gateways() const {
  std::vector<GatewayOption> options;
  for (const auto& [host, incarnation] : connected_) {
    if (!HasOffered(host) || !TakesWorkerCalls(host)) continue;
    const HostRow& row = rows_.at(host);
    GatewayOption option{host, row.zone};
    option.takes_poll_incarnations = row.takes_poll_incarnations;
    option.takes_start_incarnations = row.takes_start_incarnations;
    if (row.processor_milli > 0) {
      option.processor_share =
          static_cast<double>(row.processor_milli) / kMilliPerCore;
    }
    options.push_back(option);
  }
  return options;
}

std::int64_t PeerDirectory::StrongestConnectedMilli() const {
  std::int64_t strongest = 0;
  for (const auto& [host, incarnation] : connected_) {
    if (const HostRow* const row = FindConnectedRow(host))
      strongest = std::max(strongest, row->processor_milli);
  }
  return strongest;
}

}  // namespace chivewing
