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
#include "peer/mesh_types.h"
#include "routing/instance_view.h"
#include "routing/routing_id.h"
#include "store/table.h"

namespace chivewing {

// A caller's call to POST /v1/requests/ENTRY or POST /v1/tickets.
struct CallerArrived {
  HttpCall call;
};

struct TargetReplied {
  DispatchId dispatch{};
  HttpAnswer answer;
};

struct ProbeReplied {
  ProbeId probe{};
  HttpAnswer answer;
};

struct ClaimsCommitted {
  std::string write_id;
  CommitAnswer answer;
};

// This host may use the instance, or may use it in another way than before.
struct InstanceUsable {
  InstanceView view;
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
struct RequestsStop {};

// Asks for the state as JSON.
struct StateAsked {
  std::function<void(std::string)> done;
};

using RequestEvent =
    std::variant<CallerArrived, TargetReplied, ProbeReplied, ClaimsCommitted,
                 InstanceUsable, InstanceUnusable, ServicesChanged, PeerEvent,
                 RequestsStop, StateAsked>;

}  // namespace chivewing
