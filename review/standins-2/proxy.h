#pragma once

#include <string>

namespace review {

// Passes TCP connections from `listen` on to `target`, both IP:PORT, on threads
// of its own. Stopped with SIGSTOP, it holds up what is sent in both
// directions.
void RunProxy(const std::string& listen, const std::string& target);

}  // namespace review
