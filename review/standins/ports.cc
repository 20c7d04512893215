// Prints free ports of the loopback address, one a line.

#include <iostream>

#include "review/standins/options.h"
#include "standins/free_ports.h"

namespace review {

int RunPorts(const Options& options) {
  const auto count = static_cast<std::size_t>(options.Number("count", 1));
  for (const auto port : chivewing::FreePorts(count)) std::cout << port << "\n";
  return 0;
}

}  // namespace review
