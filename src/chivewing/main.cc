#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cli/cli.h"
#include "entry/serve.h"
#include "platform/serve_cluster.h"

namespace {

std::string Environment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  chivewing::CliEnvironment hooks;
  hooks.call = chivewing::MakeBlockingHttpCall();
  hooks.serve = chivewing::RunServe;
  hooks.serve_cluster = chivewing::RunServeCluster;
  hooks.environment = Environment;
  hooks.out = &std::cout;
  hooks.err = &std::cerr;
  const std::vector<std::string> words(argv + 1, argv + argc);
  return chivewing::RunCli(words, hooks);
}
