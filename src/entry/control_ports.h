#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/id.h"
#include "entry/control_event.h"
#include "entry/placer_event.h"
#include "entry/request_event.h"
#include "http/http_server.h"
#include "peer/messages.h"
#include "store/table.h"

namespace chivewing {

// What the control flow reaches outside for. Each call returns at once; ends
// come back as events.
struct ControlPorts {
  std::function<void(std::uint64_t since, const std::vector<std::string>&)>
      ask_changes;
  std::function<void()> ask_hosts;
  std::function<void(std::uint64_t read, const std::vector<std::string>& keys)>
      read_rows;
  std::function<void(CommitSender, const TableTransaction&)> commit;
  std::function<bool(const HostId&, const PeerMessage&)> send_peer;
  std::function<void(const PeerMessage&)> broadcast;
  std::function<void(RequestEvent)> tell_requests;
  std::function<void(PlacerEvent)> tell_placer;
  std::function<void(std::uint64_t call, HttpReply)> answer_operator;
  std::function<void(std::uint64_t call, HttpReply)> answer_caller;
  // Asks every other duty and part for its state; StateParts follow.
  std::function<void(std::uint64_t call)> collect_state;
  // The time of day as milliseconds since 1970 (UTC), for records.
  std::function<std::chrono::milliseconds()> wall_time;
};

}  // namespace chivewing
