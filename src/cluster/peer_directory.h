#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "cluster/gateway_assigner.h"
#include "cluster/host_row.h"

namespace chivewing {

// The other entry hosts: what their rows say, and which of them are connected
// as which process. Does no I/O.
class PeerDirectory {
 public:
  // Rows of the hosts, without this one.
  const std::map<HostId, HostRow>& rows() const { return rows_; }
  void SetRow(const HostRow& row) { rows_[row.host] = row; }
  void RemoveRow(const HostId& host) { rows_.erase(host); }
  // Nullptr if the host has no row.
  const HostRow* FindRow(const HostId& host) const;

  void OnConnected(const HostId& host, std::uint64_t incarnation);
  void OnDisconnected(const HostId& host) { connected_.erase(host); }
  // Incarnations of the processes of the connected hosts.
  const std::map<HostId, std::uint64_t>& connected() const {
    return connected_;
  }
  // The process of a host has offered to make calls to workers, over its own
  // connection to this host. Returns true for its first offer.
  bool OnOffer(const HostId& host, std::uint64_t incarnation);

  // True if the connected process of the host knows the messages. A host whose
  // row is of another process than the connection may run another build.
  bool TakesWorkerCalls(const HostId& host) const;
  bool TakesJobFeed(const HostId& host) const;
  // True if the connected process of the host has offered to make calls.
  bool HasOffered(const HostId& host) const;
  // Connected hosts whose responses reach this host.
  std::set<HostId> AdviceHosts() const;
  std::vector<GatewayOption> Gateways() const;
  // The most processor time of a connected host, in thousandths of a core; 0 if
  // none is connected.
  std::int64_t StrongestConnectedMilli() const;

 private:
  // The row of the connected process; nullptr if there is none.
  const HostRow* FindConnectedRow(const HostId& host) const;

  std::map<HostId, HostRow> rows_;
  std::map<HostId, std::uint64_t> connected_;
  std::map<HostId, std::uint64_t> offers_;
};

}  // namespace chivewing
