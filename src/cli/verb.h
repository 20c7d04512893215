#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/arguments.h"
#include "cli/blocking_http_call.h"
#include "cli/exit_status.h"
#include "cluster/cluster_settings.h"
#include "settings/settings.h"

namespace chivewing {

// Access of the verbs to the outside: HTTP, server processes, environment
// variables and output streams. Tests replace it.
struct CliEnvironment {
  BlockingHttpCall call;
  // Runs an entry host process until it is stopped; returns its exit status.
  std::function<int(const Settings&)> serve;
  // The same for an entry host that runs on the platform.
  std::function<int(const ClusterSettings&)> serve_cluster;
  std::function<std::string(const std::string&)> environment;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// One verb of the command line.
struct Verb {
  std::string_view name;      // "catalogue apply"
  std::string_view operands;  // "FILE..."; for --help
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  std::string_view summary;  // one sentence for --help
  std::vector<OptionSpec> options;
  std::string_view examples;  // one command per line
  std::function<ExitStatus(const Arguments&, const CliEnvironment&)> run;
};

inline constexpr std::size_t kAnyNumber = 1000;

// All verbs, in the order of --help.
const std::vector<Verb>& Verbs();

// Verbs by group.
std::vector<Verb> ProcessVerbs();    // serve, serve-cluster, ...
std::vector<Verb> CatalogueVerbs();  // catalogue ...
std::vector<Verb> JobVerbs();        // submit, cancel, jobs, where
std::vector<Verb> RequestVerbs();    // request, state

}  // namespace chivewing
