#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "base/log.h"
#include "cli/cli.h"

namespace {

std::string Environment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? "" : value;
}

// The process of an entry host is not part of this program yet.
int Serve(const chivewing::Settings& settings) {
  chivewing::StartLog(settings.log_level);
  chivewing::LogError(chivewing::LogPart::kMain, "serve is not built in");
  return static_cast<int>(chivewing::ExitStatus::kFailed);
}

}  // namespace

int main(int argc, char** argv) {
  chivewing::CliHooks hooks;
  hooks.call = chivewing::MakeHttpCall();
  hooks.serve = Serve;
  hooks.environment = Environment;
  hooks.out = &std::cout;
  hooks.err = &std::cerr;
  const std::vector<std::string> words(argv + 1, argv + argc);
  return chivewing::RunCli(words, hooks);
}
