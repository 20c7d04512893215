#pragma once

#include <cstdint>

#include "entry/control_plane_controller.h"
#include "entry/placer_controller.h"
#include "entry/request_controller.h"
#include "peer/peer_mesh_types.h"
#include "settings/settings.h"

namespace chivewing {

// What each part of an entry host takes from the settings file.
PeerMeshSettings MakeMeshSettings(const Settings& settings,
                                  std::uint64_t incarnation);
RequestControllerSettings MakeRequestControllerSettings(
    const Settings& settings, std::uint64_t incarnation);
ControlPlaneSettings MakeControlPlaneSettings(const Settings& settings,
                                              std::uint64_t incarnation);
PlacerControllerSettings MakePlacerControllerSettings(
    const Settings& settings, std::uint64_t incarnation);

}  // namespace chivewing
