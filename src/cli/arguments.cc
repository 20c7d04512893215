#include "cli/arguments.h"

#include <getopt.h>

#include <charconv>
#include <cstddef>

namespace chivewing {
namespace {

Error UsageError(std::string detail) {
  return Error{ResultCode::kBadUsage, std::move(detail)};
}

std::vector<option> LongOptions(std::span<const OptionSpec> specs,
                                const std::vector<std::string>& names) {
  std::vector<option> options;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    const int has_argument =
        specs[i].value_name.empty() ? no_argument : required_argument;
    options.push_back(option{names[i].c_str(), has_argument, nullptr, 0});
  }
  options.push_back(option{nullptr, 0, nullptr, 0});
  return options;
}

// getopt_long needs a mutable argv that starts with the program's name.
std::vector<char*> MutableWords(std::vector<std::string>& words) {
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

std::vector<OptionSpec> With(std::vector<OptionSpec> options,
                             const std::vector<OptionSpec>& more) {
  options.insert(options.end(), more.begin(), more.end());
  return options;
}

bool Arguments::Has(const std::string& option) const {
  return options_.contains(option);
}

std::string Arguments::Value(const std::string& option) const {
  const auto found = options_.find(option);
  return found == options_.end() ? "" : found->second.back();
}

std::vector<std::string> Arguments::Values(const std::string& option) const {
  const auto found = options_.find(option);
  return found == options_.end() ? std::vector<std::string>() : found->second;
}

void Arguments::AddOption(const std::string& option, const std::string& value) {
  options_[option].push_back(value);
}

void Arguments::AddOperand(const std::string& operand) {
  operands_.push_back(operand);
}

Result<Arguments> ParseArguments(std::span<const OptionSpec> options,
                                 const std::vector<std::string>& words) {
  std::vector<std::string> names;
  for (const OptionSpec& spec : options) names.emplace_back(spec.name);
  const std::vector<option> long_options = LongOptions(options, names);
  std::vector<std::string> all = {"chivewing"};
  all.insert(all.end(), words.begin(), words.end());
  std::vector<char*> argv = MutableWords(all);
  const int argc = static_cast<int>(all.size());

  Arguments arguments;
  optind = 0;  // resets getopt_long
  int index = 0;
  int found = 0;
  while ((found = getopt_long(argc, argv.data(), ":", long_options.data(),
                              &index)) != -1) {
    const std::string word = argv[static_cast<std::size_t>(optind) - 1];
    if (found == ':') return UsageError("option " + word + " needs a value");
    if (found != 0) return UsageError("unknown option " + word);
    arguments.AddOption(names[static_cast<std::size_t>(index)],
                        optarg == nullptr ? "" : optarg);
  }
  for (int i = optind; i < argc; ++i) {
    arguments.AddOperand(argv[static_cast<std::size_t>(i)]);
  }
  return arguments;
}

Result<long> ParseInteger(const std::string& option, const std::string& text,
                          long least, long most) {
  long value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  if (whole && value >= least && value <= most) return value;
  return UsageError("--" + option + " must be an integer from " +
                    std::to_string(least) + " to " + std::to_string(most));
}

}  // namespace chivewing
