#include "catalogue/entry_fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace chivewing {
namespace {

constexpr std::array<std::string_view, 2> kPartitionPolicyNames = {"hold",
                                                                   "lapse"};
constexpr std::array<std::string_view, 3> kSubjectKindNames = {
    "worker", "target", "owner"};
constexpr double kMilliPerUnit = 1000;
constexpr double kHourMs = 3'600'000;
constexpr double kWeekSeconds = 604'800;

template <typename Choice>
FieldValue ChoiceValue(std::span<const std::string_view> names, Choice choice) {
  return std::string(names[static_cast<std::size_t>(choice)]);
}

template <typename Choice>
void SetChoice(std::span<const std::string_view> names, const FieldValue& value,
               Choice& choice) {
  const std::string& name = std::get<std::string>(value);
  const auto found = std::find(names.begin(), names.end(), name);
  choice = static_cast<Choice>(found - names.begin());
}

}  // namespace

// The conversions that field_binding.h requires for enumerations.
static FieldValue ToFieldValue(WorkClass value) {
  return ChoiceValue(WorkClassNames(), value);
}
static FieldValue ToFieldValue(ZonePartitionPolicy value) {
  return ChoiceValue(kPartitionPolicyNames, value);
}
static FieldValue ToFieldValue(SubjectKind value) {
  return ChoiceValue(kSubjectKindNames, value);
}
static void FromFieldValue(const FieldValue& value, WorkClass& member) {
  SetChoice(WorkClassNames(), value, member);
}
static void FromFieldValue(const FieldValue& value,
                           ZonePartitionPolicy& member) {
  SetChoice(kPartitionPolicyNames, value, member);
}
static void FromFieldValue(const FieldValue& value, SubjectKind& member) {
  SetChoice(kSubjectKindNames, value, member);
}

namespace {

using Classes = std::vector<WorkClass>;

struct EntryField {
  FieldSpec spec;
  FieldBinding<CatalogueEntry> binding;
  Classes classes;
};

const Classes kAllClasses = {WorkClass::kService, WorkClass::kSingleton,
                             WorkClass::kBatch,   WorkClass::kGang,
                             WorkClass::kOwner,   WorkClass::kOutOfUse};
const Classes kWorkloadClasses = {WorkClass::kService, WorkClass::kSingleton,
                                  WorkClass::kBatch, WorkClass::kGang};
const Classes kResourceClasses = {WorkClass::kService, WorkClass::kSingleton,
                                  WorkClass::kBatch, WorkClass::kGang,
                                  WorkClass::kOwner};
const Classes kRequestClasses = {WorkClass::kService, WorkClass::kSingleton};
const Classes kJobClasses = {WorkClass::kBatch, WorkClass::kGang};

FieldSpec Spec(std::string_view name, FieldKind kind,
               std::string_view meaning) {
  FieldSpec spec;
  spec.name = name;
  spec.kind = kind;
  spec.meaning = meaning;
  return spec;
}

FieldSpec Required(std::string_view name, FieldKind kind,
                   std::string_view meaning) {
  FieldSpec spec = Spec(name, kind, meaning);
  spec.required = true;
  return spec;
}

FieldSpec Choice(std::string_view name,
                 std::span<const std::string_view> choices,
                 std::string_view meaning) {
  FieldSpec spec = Spec(name, FieldKind::kChoice, meaning);
  spec.choices = choices;
  return spec;
}

FieldSpec Count(std::string_view name, std::string_view unit, double least,
                double most, std::string_view meaning) {
  FieldSpec spec = Spec(name, FieldKind::kInteger, meaning);
  spec.unit = unit;
  spec.least = least;
  spec.most = most;
  return spec;
}

FieldSpec ProcessorsSpec() {
  FieldSpec spec =
      Spec("limits.processors", FieldKind::kNumber,
           "processors of one task or instance, in steps of 0.001; for an "
           "owner, of all its tasks in each zone");
  spec.least = 0.001;
  spec.most = 1'000'000;
  return spec;
}

FieldSpec ClassSpec() {
  FieldSpec spec = Choice("class", WorkClassNames(), "class of work");
  spec.required = true;
  return spec;
}

FieldBinding<CatalogueEntry> BindProcessors() {
  return {[](const CatalogueEntry& entry) -> FieldValue {
            return static_cast<double>(entry.limits.processors_milli) /
                   kMilliPerUnit;
          },
          [](CatalogueEntry& entry, const FieldValue& value) {
            entry.limits.processors_milli =
                std::llround(std::get<double>(value) * kMilliPerUnit);
          }};
}

template <typename Member>
FieldBinding<CatalogueEntry> BindLimit(Member EntryLimits::*member) {
  return Bind(&CatalogueEntry::limits, member);
}

template <typename Member>
FieldBinding<CatalogueEntry> BindPolicy(Member EntryPolicy::*member) {
  return Bind(&CatalogueEntry::policy, member);
}

FieldSpec ServedBySpec() {
  FieldSpec spec =
      Spec("served_by", FieldKind::kName,
           "service whose instances take the requests of this entry; empty: "
           "its own; entries of one service share its slots by priority");
  spec.allows_empty = true;
  return spec;
}

std::vector<EntryField> IdentityFields() {
  return {
      {Required("name", FieldKind::kName, "name of the entry"),
       Bind(&CatalogueEntry::name), kAllClasses},
      {Required("owner", FieldKind::kName, "owner of the work"),
       Bind(&CatalogueEntry::owner), kAllClasses},
      {ClassSpec(), Bind(&CatalogueEntry::work_class), kAllClasses},
      {ServedBySpec(), Bind(&CatalogueEntry::served_by), {WorkClass::kService}},
      {Spec("note", FieldKind::kNote,
            "text for operators: purpose, contact, reasons for the values"),
       Bind(&CatalogueEntry::note), kAllClasses},
  };
}

std::vector<EntryField> ResourceFields() {
  return {
      {ProcessorsSpec(), BindProcessors(), kResourceClasses},
      {Count("limits.memory_mb", "MB", 1, 1e9,
             "memory of one task or instance; for an owner, of all its tasks "
             "in each zone"),
       BindLimit(&EntryLimits::memory_mb), kResourceClasses},
      {Count("limits.accelerators", "", 0, 1e6,
             "accelerators of one task or instance; for an owner, of all its "
             "tasks in each zone"),
       BindLimit(&EntryLimits::accelerators), kResourceClasses},
      {Count("limits.tasks", "tasks", 1, 1e6,
             "tasks of one job; for an owner, of all its jobs in each zone"),
       BindLimit(&EntryLimits::tasks),
       {WorkClass::kBatch, WorkClass::kGang, WorkClass::kOwner}},
      {Count("limits.gang_size", "tasks", 0, 10000,
             "tasks of a job that start together; at least 2"),
       BindLimit(&EntryLimits::gang_size),
       {WorkClass::kGang}},
  };
}

std::vector<EntryField> ServingFields() {
  return {
      {Count("limits.instances", "instances", 0, 10000,
             "instances in each zone; 0 with served_by"),
       BindLimit(&EntryLimits::instances),
       {WorkClass::kService}},
      {Count("limits.slots", "requests", 0, 10000,
             "requests that one instance runs concurrently; with 0 (singleton "
             "only) it accepts none"),
       BindLimit(&EntryLimits::slots), kRequestClasses},
      {Count("limits.connections", "connections", 1, 100000,
             "maximum number of open connections to one instance; at least "
             "limits.slots"),
       BindLimit(&EntryLimits::connections), kRequestClasses},
      {Count("limits.queue", "requests", 0, 1e6,
             "maximum number of requests queued at one entry host; more are "
             "rejected"),
       BindLimit(&EntryLimits::queue), kRequestClasses},
      {Count("limits.body_kb", "KB", 1, 65536,
             "maximum size of a request's body"),
       BindLimit(&EntryLimits::body_kb), kRequestClasses},
      {Count("policy.deadline_ms", "ms", 1, kHourMs,
             "deadline of a request, from arrival to response, if the caller "
             "sets none"),
       BindPolicy(&EntryPolicy::deadline), kRequestClasses},
      {Count("policy.request_timeout_ms", "ms", 1, kHourMs,
             "time-out of one attempt at an instance; at most "
             "policy.deadline_ms"),
       BindPolicy(&EntryPolicy::request_timeout), kRequestClasses},
      {Count("policy.longest_run_ms", "ms", 1, kHourMs,
             "maximum time that an instance works on a request, whether or not "
             "it is answered; at least policy.request_timeout_ms"),
       BindPolicy(&EntryPolicy::longest_run), kRequestClasses},
      {Spec("policy.idempotent", FieldKind::kFlag,
            "whether a request may run more than once; if not, it is claimed "
            "first and runs at most once"),
       BindPolicy(&EntryPolicy::idempotent), kRequestClasses},
      {Count("policy.retry_budget_percent", "%", 0, 100,
             "retries allowed per hundred requests"),
       BindPolicy(&EntryPolicy::retry_budget_percent), kRequestClasses},
  };
}

std::vector<EntryField> PlacementFields() {
  return {
      {Count("policy.priority", "", 0, 1000,
             "priority of the work; higher goes first"),
       BindPolicy(&EntryPolicy::priority), kWorkloadClasses},
      {Spec("policy.zones", FieldKind::kNameList,
            "availability zones where it may run; empty: all"),
       BindPolicy(&EntryPolicy::zones), kWorkloadClasses},
      {Spec("policy.urgent", FieldKind::kFlag,
            "whether it may preempt work of lower priority"),
       BindPolicy(&EntryPolicy::urgent), kWorkloadClasses},
      {Spec("policy.spread_racks", FieldKind::kFlag,
            "whether instances are spread over racks"),
       BindPolicy(&EntryPolicy::spread_racks),
       {WorkClass::kService}},
      {Spec("policy.checkpoint", FieldKind::kFlag,
            "whether its tasks can be checkpointed and resumed"),
       BindPolicy(&EntryPolicy::checkpoint), kJobClasses},
      {Count("policy.expected_run_s", "s", 0, kWeekSeconds,
             "expected run time of one task; 0: not known"),
       BindPolicy(&EntryPolicy::expected_run), kJobClasses},
      {Spec("policy.finish_by", FieldKind::kTimeOfDay,
            "time of day in UTC by which a job must be done; needs "
            "policy.expected_run_s"),
       BindPolicy(&EntryPolicy::finish_by), kJobClasses},
      {Choice("policy.when_cut_off", kPartitionPolicyNames,
              "what happens when its zone is partitioned from the platform: "
              "`hold` keeps it running there, `lapse` lets its lease expire so "
              "that another zone starts it"),
       BindPolicy(&EntryPolicy::when_cut_off),
       {WorkClass::kSingleton}},
      {Count("policy.lapse_after_s", "s", 1, kWeekSeconds,
             "time for which a partitioned singleton's lease is still renewed, "
             "with `lapse`"),
       BindPolicy(&EntryPolicy::failover_after),
       {WorkClass::kSingleton}},
  };
}

std::vector<EntryField> SubjectFields() {
  return {
      {Choice("subject.kind", kSubjectKindNames,
              "kind of the subject that is put out of use"),
       Bind(&CatalogueEntry::subject, &EntrySubject::kind),
       {WorkClass::kOutOfUse}},
      {Spec("subject.id", FieldKind::kName,
            "id of the worker, target or owner; must be given"),
       Bind(&CatalogueEntry::subject, &EntrySubject::id),
       {WorkClass::kOutOfUse}},
  };
}

// Specs, bindings and classes as lists of the same length and order.
struct EntryFieldLists {
  std::vector<FieldSpec> specs;
  std::vector<FieldBinding<CatalogueEntry>> bindings;
  std::vector<Classes> classes;
};

void Append(const std::vector<EntryField>& fields, EntryFieldLists& lists) {
  for (const EntryField& field : fields) {
    lists.specs.push_back(field.spec);
    lists.bindings.push_back(field.binding);
    lists.classes.push_back(field.classes);
  }
}

EntryFieldLists MakeLists() {
  EntryFieldLists lists;
  Append(IdentityFields(), lists);
  Append(ResourceFields(), lists);
  Append(ServingFields(), lists);
  Append(PlacementFields(), lists);
  Append(SubjectFields(), lists);
  return lists;
}

const EntryFieldLists& Lists() {
  static const EntryFieldLists lists = MakeLists();
  return lists;
}

}  // namespace

std::span<const FieldSpec> EntrySpecs() { return Lists().specs; }

std::span<const FieldBinding<CatalogueEntry>> EntryBindings() {
  return Lists().bindings;
}

std::span<const std::vector<WorkClass>> ClassesByField() {
  return Lists().classes;
}

bool FieldAppliesTo(std::size_t field, WorkClass work_class) {
  const Classes& classes = ClassesByField()[field];
  return std::find(classes.begin(), classes.end(), work_class) != classes.end();
}

std::string EntryTable() {
  const CatalogueEntry defaults;
  std::vector<FieldValue> values;
  for (const FieldBinding<CatalogueEntry>& binding : EntryBindings()) {
    values.push_back(binding.get(defaults));
  }
  return MarkdownTable(EntrySpecs(), values);
}

std::string EntryClassTable() {
  std::string table = "| key |";
  std::string rule = "\n| --- |";
  for (const std::string_view name : WorkClassNames()) {
    table += " " + std::string(name) + " |";
    rule += " --- |";
  }
  table += rule + "\n";
  for (std::size_t i = 0; i < EntrySpecs().size(); ++i) {
    table += "| `" + std::string(EntrySpecs()[i].name) + "` |";
    for (std::size_t each = 0; each < WorkClassNames().size(); ++each) {
      const bool applies = FieldAppliesTo(i, static_cast<WorkClass>(each));
      table += applies ? " yes |" : " |";
    }
    table += "\n";
  }
  return table;
}

}  // namespace chivewing
