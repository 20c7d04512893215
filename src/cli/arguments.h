#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace chivewing {

// Declares one long option of a verb.
struct OptionSpec {
  std::string_view name;        // without the dashes
  std::string_view value_name;  // placeholder in --help; empty: no value
  std::string_view meaning;     // one sentence for --help
};

inline constexpr OptionSpec kJsonOption = {"json", "",
                                           "writes JSON for machines"};

// Returns `options` followed by `more`.
std::vector<OptionSpec> With(std::vector<OptionSpec> options,
                             const std::vector<OptionSpec>& more);

// The options and operands of one command line.
class Arguments {
 public:
  bool Has(const std::string& option) const;
  // Returns the last value given, or an empty string.
  std::string Value(const std::string& option) const;
  // Returns all values given, in order.
  std::vector<std::string> Values(const std::string& option) const;
  const std::vector<std::string>& operands() const { return operands_; }

  void AddOption(const std::string& option, const std::string& value);
  void AddOperand(const std::string& operand);

 private:
  std::map<std::string, std::vector<std::string>> options_;
  std::vector<std::string> operands_;
};

// Parses the words after a verb with getopt_long. Fails with kBadUsage. Not
// thread-safe, because getopt_long has global state.
Result<Arguments> ParseArguments(std::span<const OptionSpec> options,
                                 const std::vector<std::string>& words);

// Parses a decimal integer from `least` to `most`. Fails with kBadUsage and a
// message that names `option`.
Result<long> ParseInteger(const std::string& option, const std::string& text,
                          long least, long most);

}  // namespace chivewing
