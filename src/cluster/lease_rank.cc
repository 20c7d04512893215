#include "cluster/lease_rank.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace chivewing {
namespace {

bool IsEarlierInZone(const HostRow& a, const HostRow& b) {
  return std::tie(b.processor_milli, a.zone, a.host) <
         std::tie(a.processor_milli, b.zone, b.host);
}

}  // namespace

std::size_t LeaseRank(const HostRow& self,
                      const std::map<HostId, HostRow>& others) {
  std::vector<HostRow> hosts{self};
  for (const auto& [host, row] : others) hosts.push_back(row);
  std::sort(hosts.begin(), hosts.end(), IsEarlierInZone);
  // Number of each host among the hosts of its zone with its processor time.
  std::vector<std::pair<std::size_t, HostRow>> numbered;
  std::size_t number = 0;
  for (const HostRow& host : hosts) {
    const bool same_group =
        !numbered.empty() && numbered.back().second.zone == host.zone &&
        numbered.back().second.processor_milli == host.processor_milli;
    number = same_group ? number + 1 : 0;
    numbered.emplace_back(number, host);
  }
  const auto is_earlier = [](const auto& a, const auto& b) {
    return std::tie(b.second.processor_milli, a.first, a.second.zone) <
           std::tie(a.second.processor_milli, b.first, b.second.zone);
  };
  std::sort(numbered.begin(), numbered.end(), is_earlier);
  const auto found = std::find_if(
      numbered.begin(), numbered.end(),
      [&self](const auto& each) { return each.second.host == self.host; });
  return static_cast<std::size_t>(found - numbered.begin());
}

}  // namespace chivewing
