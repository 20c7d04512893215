#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/id.h"
#include "entry/control_plane_event.h"
#include "entry/placer_event.h"
#include "entry/request_event.h"
#include "http/http_server.h"
#include "peer/messages.h"
#include "store/table.h"

namespace chivewing {

// Operations that ControlPlaneController needs from its host process. No
// callback blocks; results come back as ControlPlaneEvents.
struct ControlPlaneCallbacks {
  std::function<void(std::uint64_t since, const std::vector<std::string>&)>
      fetch_changes;
  std::function<void()> fetch_host_list;
  std::function<void(std::uint64_t read_id,
                     const std::vector<std::string>& keys)>
      read_rows;
  std::function<void(CommitOrigin, const TableTransaction&)> commit;
  std::function<bool(const HostId&, const PeerMessage&)> send_peer;
  std::function<void(const PeerMessage&)> broadcast;
  std::function<void(RequestEvent)> post_request_event;
  std::function<void(PlacerEvent)> post_placer_event;
  std::function<void(std::uint64_t call_id, HttpServerResponse)>
      respond_to_operator;
  std::function<void(std::uint64_t call_id, HttpServerResponse)>
      respond_to_caller;
  // Asks the other event loops and components of the process for their state.
  // Each answers with a StateDumpPart that carries `call_id`.
  std::function<void(std::uint64_t call_id)> collect_state;
  // Milliseconds since the Unix epoch (UTC), for timestamps in rows.
  std::function<std::chrono::milliseconds()> wall_time;
};

}  // namespace chivewing
