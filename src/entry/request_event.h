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

// A caller's call to POST /v1/requests/ENTRY or POST /v1/tickets.
struct CallerRequestReceived {
  HttpServerRequest request;
};

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

// This host may use the instance, or may use it in another way than before.
struct InstanceUsable {
  InstanceInfo info;
  bool taken_over = false;  // a former holder's requests may still run there
};

// This host may no longer use the instance.
struct InstanceUnusable {
  InstanceId instance;
};

// The entries that take requests, and the owners whose requests are refused.
struct ServicesChanged {
  std::vector<CatalogueEntry> entries;
  std::set<OwnerId> out_of_use;
};

// Planned stop: refuse new requests, finish the others.
struct StopRequests {};

// Asks for the state as JSON.
struct StateDumpRequested {
  std::function<void(std::string)> done;
};

using RequestEvent =
    std::variant<CallerRequestReceived, DispatchCompleted, ProbeCompleted,
                 ClaimCommitCompleted, InstanceUsable, InstanceUnusable,
                 ServicesChanged, PeerEvent, StopRequests, StateDumpRequested>;

}  // namespace chivewing
