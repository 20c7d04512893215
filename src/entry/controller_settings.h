#pragma once

#include <cstdint>

#include "entry/control_plane_controller.h"
#include "entry/placer_controller.h"
#include "entry/request_controller.h"
#include "peer/peer_mesh_types.h"
#include "settings/settings.h"

namespace chivewing {

// Converts the settings file to the settings of each part of an entry host.
// `incarnation` identifies this process of the host.
PeerMeshSettings MakeMeshSettings(const Settings& settings,
                                  std::uint64_t incarnation);
RequestControllerSettings MakeRequestControllerSettings(
    const Settings& settings, std::uint64_t incarnation);
ControlPlaneSettings MakeControlPlaneSettings(const Settings& settings,
                                              std::uint64_t incarnation);
PlacerControllerSettings MakePlacerControllerSettings(
    const Settings& settings, std::uint64_t incarnation);

}  // namespace chivewing
