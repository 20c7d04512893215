#include "cluster/cluster_settings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

#include "schema/field.h"
#include "schema/field_binding.h"
#include "schema/field_reader.h"
#include "schema/json_parser.h"
#include "schema/text_file.h"

namespace chivewing {
namespace {

constexpr std::array<std::string_view, 4> kLogLevelNames = {"debug", "info",
                                                            "warning", "error"};
constexpr double kMaxIntervalMs = 600'000;
constexpr double kMaxCores = 1024;
constexpr double kMilliPerCore = 1000;

struct Field {
  FieldSpec spec;
  FieldBinding<ClusterSettings> binding;
};

FieldSpec MakeFieldSpec(std::string_view name, FieldKind kind, bool required,
                        std::string_view meaning) {
  FieldSpec spec;
  spec.name = name;
  spec.kind = kind;
  spec.required = required;
  spec.meaning = meaning;
  return spec;
}

FieldSpec MakeIntervalSpec(std::string_view name, std::string_view meaning) {
  FieldSpec spec = MakeFieldSpec(name, FieldKind::kInteger, false, meaning);
  spec.unit = "ms";
  spec.least = 1;
  spec.most = kMaxIntervalMs;
  return spec;
}

FieldSpec MakeCoresSpec(std::string_view name, std::string_view meaning) {
  FieldSpec spec = MakeFieldSpec(name, FieldKind::kNumber, false, meaning);
  spec.unit = "cores";
  spec.most = kMaxCores;
  return spec;
}

FieldBinding<ClusterSettings> BindLogLevel() {
  return {[](const ClusterSettings& settings) -> FieldValue {
            const auto index = static_cast<std::size_t>(settings.log_level);
            return std::string(kLogLevelNames.at(index));
          },
          [](ClusterSettings& settings, const FieldValue& value) {
            const auto& name = std::get<std::string>(value);
            const auto* const found =
                std::find(kLogLevelNames.begin(), kLogLevelNames.end(), name);
            settings.log_level =
                static_cast<LogLevel>(found - kLogLevelNames.begin());
          }};
}

std::vector<Field> MakeFields() {
  using S = ClusterSettings;
  constexpr bool required = true;
  FieldSpec level = MakeFieldSpec("log_level", FieldKind::kChoice, !required,
                                  "least severe level that is logged");
  level.choices = kLogLevelNames;
  return {
      {MakeFieldSpec("host", FieldKind::kName, required,
                     "name of this entry host"),
       Bind(&S::host)},
      {MakeFieldSpec("zone", FieldKind::kName, required,
                     "its availability zone"),
       Bind(&S::zone)},
      {MakeFieldSpec("caller_address", FieldKind::kAddress, required,
                     "where callers' requests are taken"),
       Bind(&S::caller_address)},
      {MakeFieldSpec("ready_address", FieldKind::kAddress, required,
                     "where the balancer asks whether this host is ready"),
       Bind(&S::ready_address)},
      {MakeFieldSpec("peer_address", FieldKind::kAddress, required,
                     "where the other entry hosts connect"),
       Bind(&S::peer_address)},
      {MakeFieldSpec("metrics_address", FieldKind::kAddress, !required,
                     "where metrics are served"),
       Bind(&S::metrics_address)},
      {MakeFieldSpec("store_address", FieldKind::kAddress, required,
                     "the platform's store"),
       Bind(&S::store_address)},
      {MakeFieldSpec("advice_address", FieldKind::kAddress, !required,
                     "the service that says which workers may run a step"),
       Bind(&S::advice_address)},
      {MakeIntervalSpec("longest_lease_ms",
                        "longest lease that a worker accepts"),
       Bind(&S::max_worker_lease)},
      {MakeIntervalSpec("worker_lease_ms",
                        "lease that a command grants a worker"),
       Bind(&S::worker_lease)},
      {MakeIntervalSpec("host_lease_ms", "lease of the dispatching host"),
       Bind(&S::host_lease)},
      {MakeIntervalSpec("stop_within_ms", "longest time of a planned stop"),
       Bind(&S::stop_timeout)},
      {MakeCoresSpec("processor_share",
                     "share of a core that this host may use; 0 if unknown"),
       Bind(&S::processor_share)},
      {MakeCoresSpec("processor_cores",
                     "how many times as fast as one core the processor is"),
       Bind(&S::processor_cores)},
      {level, BindLogLevel()},
  };
}

const std::vector<Field>& Fields() {
  static const std::vector<Field> fields = MakeFields();
  return fields;
}

std::vector<FieldSpec> Specs() {
  std::vector<FieldSpec> specs;
  for (const Field& field : Fields()) specs.push_back(field.spec);
  return specs;
}

}  // namespace

std::int64_t ProcessorMilli(const ClusterSettings& settings) {
  return std::llround(settings.processor_share * settings.processor_cores *
                      kMilliPerCore);
}

ValidationResult<ClusterSettings> ReadClusterSettings(std::string_view text,
                                                      const std::string& file) {
  const ValidationResult<JsonNode> root = ParseJson(text, file);
  if (!root) return root.error();
  ValidationErrorCollector errors(file);
  ClusterSettings settings;
  const std::vector<FieldSpec> specs = Specs();
  const auto assign = [&settings](std::size_t index, const FieldValue& value) {
    Fields()[index].binding.set(settings, value);
  };
  ReadFields(specs, root.value(), "", assign, errors);
  if (root.value().Find("worker_lease_ms") == nullptr) {
    settings.worker_lease =
        std::min(settings.worker_lease, settings.max_worker_lease);
  }
  if (settings.worker_lease > settings.max_worker_lease) {
    errors.AddAtKey("worker_lease_ms", "must not be over longest_lease_ms");
  }
  if (!errors.empty()) return errors.Take();
  return settings;
}

ValidationResult<ClusterSettings> ReadClusterSettingsFile(
    const std::string& path) {
  const ValidationResult<std::string> text = ReadTextFile(path);
  if (!text) return text.error();
  return ReadClusterSettings(text.value(), path);
}

std::string ClusterSettingsTable() {
  const ClusterSettings defaults;
  std::vector<FieldValue> values;
  for (const Field& field : Fields()) {
    values.push_back(field.binding.get(defaults));
  }
  return MarkdownTable(Specs(), values);
}

}  // namespace chivewing
