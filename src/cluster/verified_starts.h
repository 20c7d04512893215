#pragma once

#include "cluster/platform_interface.h"

namespace chivewing {

// The platform, with starts that reach the incarnation that they are meant for
// or none: before a start is sent over a connection that is not known to lead
// to that incarnation, the worker is asked who it is. Does no I/O of its own;
// the returned interface is as thread-safe as `direct`, which must outlive it.
PlatformInterface WithVerifiedStarts(const PlatformInterface& direct);

}  // namespace chivewing
