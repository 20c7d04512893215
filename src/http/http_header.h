#pragma once

#include <string>

namespace chivewing {

// One header field of a request or an answer.
struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace chivewing
