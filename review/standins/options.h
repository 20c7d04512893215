#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>

namespace review {

// Options of a verb, as "--name value" pairs.
class Options {
 public:
  Options(int count, char** arguments) {
    for (int i = 0; i + 1 < count; i += 2) {
      values_[std::string(arguments[i]).substr(2)] = arguments[i + 1];
    }
  }
  std::string Text(const std::string& name,
                   const std::string& otherwise) const {
    const auto found = values_.find(name);
    return found == values_.end() ? otherwise : found->second;
  }
  std::int64_t Number(const std::string& name, std::int64_t otherwise) const {
    const auto found = values_.find(name);
    return found == values_.end() ? otherwise
                                  : std::atoll(found->second.c_str());
  }

 private:
  std::map<std::string, std::string> values_;
};

int RunPorts(const Options& options);
int RunStore(const Options& options);
int RunWorker(const Options& options);
int RunClient(const std::string& what, const Options& options);

// Blocks until SIGTERM or SIGINT.
void WaitForStop();

}  // namespace review
