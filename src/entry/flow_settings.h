#pragma once

#include <cstdint>

#include "entry/control_flow.h"
#include "entry/placer_flow.h"
#include "entry/request_flow.h"
#include "peer/mesh_types.h"
#include "settings/settings.h"

namespace chivewing {

// What each part of an entry host takes from the settings file.
PeerMeshSettings MakeMeshSettings(const Settings& settings,
                                  std::uint64_t incarnation);
RequestFlowSettings MakeRequestFlowSettings(const Settings& settings,
                                            std::uint64_t incarnation);
ControlFlowSettings MakeControlFlowSettings(const Settings& settings,
                                            std::uint64_t incarnation);
PlacerFlowSettings MakePlacerFlowSettings(const Settings& settings,
                                          std::uint64_t incarnation);

}  // namespace chivewing
