// Verbs of a single process: serve, serve-cluster, check-settings and version.

#include <ostream>

#include "cli/report.h"
#include "cli/verb.h"
#include "cli/version.h"
#include "settings/settings_fields.h"
#include "settings/settings_reader.h"

namespace chivewing {
namespace {

ValidationResult<Settings> ReadGivenSettings(const Arguments& arguments) {
  if (!arguments.Has("settings")) {
    return ValidationErrors{
        ValidationError{"", 0, "--settings", "FILE is needed"}};
  }
  return ReadSettingsFile(arguments.Value("settings"));
}

ExitStatus Serve(const Arguments& arguments, const CliEnvironment& hooks) {
  const ValidationResult<Settings> settings = ReadGivenSettings(arguments);
  if (!settings) {
    return ReportValidationErrors(ResultCode::kBadSettings, settings.error(),
                                  hooks);
  }
  return static_cast<ExitStatus>(hooks.serve(settings.value()));
}

ExitStatus ServeCluster(const Arguments& arguments,
                        const CliEnvironment& hooks) {
  if (!arguments.Has("settings")) {
    const ValidationErrors faults = {
        ValidationError{"", 0, "--settings", "FILE is needed"}};
    return ReportValidationErrors(ResultCode::kBadSettings, faults, hooks);
  }
  const ValidationResult<ClusterSettings> settings =
      ReadClusterSettingsFile(arguments.Value("settings"));
  if (!settings) {
    return ReportValidationErrors(ResultCode::kBadSettings, settings.error(),
                                  hooks);
  }
  return static_cast<ExitStatus>(hooks.serve_cluster(settings.value()));
}

ExitStatus CheckSettingsFile(const Arguments& arguments,
                             const CliEnvironment& hooks) {
  if (arguments.Has("list-keys")) {
    *hooks.out << SettingsTable() << "\n" << PeerTable();
    return ExitStatus::kOk;
  }
  const ValidationResult<Settings> settings = ReadGivenSettings(arguments);
  if (!settings) {
    return ReportValidationErrors(ResultCode::kBadSettings, settings.error(),
                                  hooks);
  }
  *hooks.out << arguments.Value("settings") << ": good; host "
             << settings.value().host.value() << " in zone "
             << settings.value().zone.value() << ", "
             << settings.value().peers.size() << " peers\n";
  return ExitStatus::kOk;
}

ExitStatus ShowVersion(const Arguments& /*arguments*/,
                       const CliEnvironment& hooks) {
  *hooks.out << "chivewing " << kVersion << "\n";
  return ExitStatus::kOk;
}

Verb ServeVerb() {
  Verb verb;
  verb.name = "serve";
  verb.summary =
      "Runs the process of an entry host until SIGTERM or SIGINT, which let "
      "running requests finish.";
  verb.options = {{"settings", "FILE", "settings of this process"}};
  verb.examples = "  chivewing serve --settings entry-1.json\n";
  verb.run = Serve;
  return verb;
}

Verb ServeClusterVerb() {
  Verb verb;
  verb.name = "serve-cluster";
  verb.summary =
      "Runs the process of an entry host on the platform until SIGTERM or "
      "SIGINT.";
  verb.options = {{"settings", "FILE", "settings of this process"}};
  verb.examples = "  chivewing serve-cluster --settings host-1.json\n";
  verb.run = ServeCluster;
  return verb;
}

Verb CheckSettingsVerb() {
  Verb verb;
  verb.name = "check-settings";
  verb.summary = "Checks a settings file and reports every fault in it.";
  verb.options = {{"settings", "FILE", "the file to check"},
                  {"list-keys", "", "lists all keys with their defaults"}};
  verb.examples =
      "  chivewing check-settings --settings entry-1.json\n"
      "  chivewing check-settings --list-keys\n";
  verb.run = CheckSettingsFile;
  return verb;
}

Verb VersionVerb() {
  Verb verb;
  verb.name = "version";
  verb.summary = "Shows the version of the program.";
  verb.examples = "  chivewing version\n";
  verb.run = ShowVersion;
  return verb;
}

}  // namespace

std::vector<Verb> ProcessVerbs() {
  return {ServeVerb(), ServeClusterVerb(), CheckSettingsVerb(), VersionVerb()};
}

}  // namespace chivewing
