#include "settings/settings_fields.h"

#include <array>
#include <cstddef>
#include <vector>

namespace chivewing {

namespace {

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};
constexpr double kDayMs = 86'400'000;

}  // namespace

// The conversions that field_binding.h requires for an enumeration.
static FieldValue ToFieldValue(LogLevel level) {
  return std::string(kLogLevels.at(static_cast<std::size_t>(level)));
}

static void FromFieldValue(const FieldValue& value, LogLevel& level) {
  const std::string& name = std::get<std::string>(value);
  for (std::size_t i = 0; i < kLogLevels.size(); ++i) {
    if (kLogLevels.at(i) == name) level = static_cast<LogLevel>(i);
  }
}

namespace {

struct SettingsField {
  FieldSpec spec;
  FieldBinding<Settings> binding;
};

FieldSpec Required(std::string_view name, FieldKind kind,
                   std::string_view meaning) {
  FieldSpec spec;
  spec.name = name;
  spec.kind = kind;
  spec.required = true;
  spec.meaning = meaning;
  return spec;
}

FieldSpec Optional(std::string_view name, FieldKind kind,
                   std::string_view meaning) {
  FieldSpec spec = Required(name, kind, meaning);
  spec.required = false;
  return spec;
}

FieldSpec Count(std::string_view name, std::string_view unit, double least,
                double most, std::string_view meaning) {
  FieldSpec spec = Optional(name, FieldKind::kInteger, meaning);
  spec.unit = unit;
  spec.least = least;
  spec.most = most;
  return spec;
}

FieldSpec Interval(std::string_view name, std::string_view meaning) {
  return Count(name, "ms", 1, kDayMs, meaning);
}

FieldSpec DriftSpec() {
  FieldSpec spec = Optional("drift_margin", FieldKind::kNumber,
                            "fraction of a lease that is not used, because two "
                            "clocks may drift apart");
  spec.most = 0.2;
  return spec;
}

FieldSpec LogLevelSpec() {
  FieldSpec spec = Optional("log_level", FieldKind::kChoice,
                            "lowest severity that is logged");
  spec.choices = kLogLevels;
  return spec;
}

std::vector<SettingsField> AddressFields() {
  return {
      {Required("host", FieldKind::kName, "id of this entry host"),
       Bind(&Settings::host)},
      {Required("zone", FieldKind::kName, "availability zone of this host"),
       Bind(&Settings::zone)},
      {Required("caller_address", FieldKind::kAddress,
                "address of the HTTP port for callers' requests"),
       Bind(&Settings::caller_address)},
      {Required("operator_address", FieldKind::kAddress,
                "address of the HTTP port where operators read and change the "
                "catalogue"),
       Bind(&Settings::operator_address)},
      {Required("peer_address", FieldKind::kAddress,
                "address of the TCP port where other entry hosts connect"),
       Bind(&Settings::peer_address)},
      {Required("shared_key", FieldKind::kText,
                "secret of operators and entry hosts, at least 16 characters; "
                "never logged or dumped"),
       Bind(&Settings::shared_key)},
      {Required("platform.addresses", FieldKind::kAddressList,
                "addresses of the platform's service; after a failure the next "
                "one is tried"),
       Bind(&Settings::platform, &PlatformSettings::addresses)},
      {Interval("platform.timeout_ms", "time-out of one call to the platform"),
       Bind(&Settings::platform, &PlatformSettings::timeout)},
      {Interval("platform.poll_ms", "interval of polling for changed rows"),
       Bind(&Settings::platform, &PlatformSettings::poll)},
      {Optional("peers", FieldKind::kObjectList,
                "entry hosts of the region; this host may be among them"),
       {}},
  };
}

std::vector<SettingsField> IntervalFields() {
  return {
      {Interval("lease_ms", "duration of the placer lease"),
       Bind(&Settings::lease)},
      {Interval("lease_margin_ms",
                "time before the placer lease expires in which its holder "
                "starts nothing"),
       Bind(&Settings::lease_margin)},
      {Interval("task_lease_ms",
                "duration of a task's lease at its worker; over lease_ms and "
                "lease_margin_ms together"),
       Bind(&Settings::task_lease_duration)},
      {DriftSpec(), Bind(&Settings::drift_margin)},
      {Interval("heartbeat_ms", "interval of heartbeats to a peer"),
       Bind(&Settings::heartbeat_interval)},
      {Interval("peer_silence_ms",
                "time without data after which a peer's connection is closed"),
       Bind(&Settings::peer_timeout)},
      {Interval("longest_request_ms", "upper limit of the time of any request"),
       Bind(&Settings::max_request_time)},
      {Interval("stop_within_ms",
                "time limit of a graceful stop; over longest_request_ms"),
       Bind(&Settings::stop_timeout)},
  };
}

std::vector<SettingsField> LimitFields() {
  return {
      {Count("limits.body_kb", "KB", 1, 65536,
             "maximum size of a request's body"),
       Bind(&Settings::limits, &LimitSettings::body_kb)},
      {Count("limits.header_kb", "KB", 1, 1024,
             "maximum size of a request's header"),
       Bind(&Settings::limits, &LimitSettings::header_kb)},
      {Count("limits.connections", "", 1, 100000,
             "maximum number of open connections of one HTTP port"),
       Bind(&Settings::limits, &LimitSettings::connections)},
      {Count("limits.frame_kb", "KB", 16, 65536,
             "maximum size of a frame between entry hosts"),
       Bind(&Settings::limits, &LimitSettings::frame_kb)},
      {Count("limits.ring_capacity", "messages", 16, 1048576,
             "capacity of each ring buffer between two threads"),
       Bind(&Settings::limits, &LimitSettings::ring_capacity)},
      {Interval("limits.idle_ms",
                "time without data after which an HTTP connection is closed"),
       Bind(&Settings::limits, &LimitSettings::idle)},
      {Count("http_threads", "threads", 1, 64, "threads of each HTTP port"),
       Bind(&Settings::http_threads)},
      {LogLevelSpec(), Bind(&Settings::log_level)},
      {Optional("forward", FieldKind::kFlag,
                "whether requests are forwarded to other entry hosts"),
       Bind(&Settings::forward)},
  };
}

// Specs and bindings as two lists of the same length and order.
struct SettingsFieldLists {
  std::vector<FieldSpec> specs;
  std::vector<FieldBinding<Settings>> bindings;
};

void Append(const std::vector<SettingsField>& fields,
            SettingsFieldLists& lists) {
  for (const SettingsField& field : fields) {
    lists.specs.push_back(field.spec);
    lists.bindings.push_back(field.binding);
  }
}

SettingsFieldLists MakeLists() {
  SettingsFieldLists lists;
  Append(AddressFields(), lists);
  Append(IntervalFields(), lists);
  Append(LimitFields(), lists);
  return lists;
}

const SettingsFieldLists& Lists() {
  static const SettingsFieldLists lists = MakeLists();
  return lists;
}

}  // namespace

std::span<const FieldSpec> SettingsSpecs() { return Lists().specs; }

std::span<const FieldBinding<Settings>> SettingsBindings() {
  return Lists().bindings;
}

std::span<const FieldSpec> PeerSpecs() {
  static const std::vector<FieldSpec> specs = {
      Required("host", FieldKind::kName, "id of the entry host"),
      Required("zone", FieldKind::kName, "its availability zone"),
      Required("address", FieldKind::kAddress,
               "its `peer_address`, as reached from here"),
      Required("caller_address", FieldKind::kAddress,
               "its `caller_address`, as reached from here"),
  };
  return specs;
}

std::span<const FieldBinding<PeerSettings>> PeerBindings() {
  static const std::vector<FieldBinding<PeerSettings>> bindings = {
      Bind(&PeerSettings::host),
      Bind(&PeerSettings::zone),
      Bind(&PeerSettings::address),
      Bind(&PeerSettings::caller_address),
  };
  return bindings;
}

std::string SettingsTable() {
  const Settings defaults;
  std::vector<FieldValue> values;
  for (const FieldBinding<Settings>& binding : SettingsBindings()) {
    values.push_back(binding.get ? binding.get(defaults) : FieldValue());
  }
  return MarkdownTable(SettingsSpecs(), values);
}

std::string PeerTable() {
  const std::vector<FieldValue> values(PeerSpecs().size());
  return MarkdownTable(PeerSpecs(), values);
}

}  // namespace chivewing
