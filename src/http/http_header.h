#pragma once

#include <string>

namespace chivewing {

// A header field of a request or response.
struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace chivewing
