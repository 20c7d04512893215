#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "catalogue/catalogue_entry.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/peer_mesh_types.h"
#include "routing/instance_info.h"
#include "routing/routing_id.h"
#include "store/table.h"

namespace chivewing {

// A caller sent POST /v1/requests/ENTRY or POST /v1/tickets.
struct CallerRequestReceived {
  HttpServerRequest request;
};

// RequestCallbacks::send_to_target completed, with a response or an error.
struct DispatchCompleted {
  DispatchId dispatch{};
  HttpResponse response;
};

struct ProbeCompleted {
  ProbeId probe{};
  HttpResponse response;
};

struct ClaimCommitCompleted {
  std::string write_id;
  CommitResponse response;
};

// This host may send requests to the instance, or the instance's limits or
// state have changed.
struct InstanceUsable {
  InstanceInfo info;
  // True when requests of the host it was assigned to before may still run on
  // it.
  bool taken_over = false;
};

// This host may no longer send requests to the instance.
struct InstanceUnusable {
  InstanceId instance;
};

// The catalogue entries that accept requests, and the client accounts whose
// requests are refused.
struct ServicesChanged {
  std::vector<CatalogueEntry> entries;
  std::set<OwnerId> out_of_use;
};

// A planned stop begins: new requests are refused, those in progress finish.
struct StopRequests {};

// `done` is called with the state as a JSON object.
struct StateDumpRequested {
  std::function<void(std::string)> done;
};

// Events that RequestController handles, in the order in which they were
// posted.
using RequestEvent =
    std::variant<CallerRequestReceived, DispatchCompleted, ProbeCompleted,
                 ClaimCommitCompleted, InstanceUsable, InstanceUnusable,
                 ServicesChanged, PeerEvent, StopRequests, StateDumpRequested>;

}  // namespace chivewing
