#include "entry/job_spec_builder.h"

namespace chivewing {
namespace {

// Job ids from callers cannot contain a colon, so these prefixes never collide
// with them.
constexpr std::string_view kServicePrefix = "service:";
constexpr std::string_view kSingletonPrefix = "singleton:";
constexpr std::chrono::hours kDay{24};

JobClass ToJobClass(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kService:
      return JobClass::kService;
    case WorkClass::kSingleton:
      return JobClass::kSingleton;
    case WorkClass::kGang:
      return JobClass::kGang;
    default:
      return JobClass::kBatch;
  }
}

JobSpec MakeSpec(const CatalogueEntry& entry, const ClockReading& clock) {
  JobSpec spec;
  spec.entry = entry.name;
  spec.owner = entry.owner;
  spec.job_class = ToJobClass(entry.work_class);
  spec.per_task = ResourcesOf(entry.limits);
  spec.priority = entry.policy.priority;
  spec.urgent = entry.policy.urgent;
  spec.run_time = entry.policy.expected_run;
  spec.spread = entry.policy.spread_racks;
  spec.checkpointable = entry.policy.checkpoint;
  spec.submitted = clock.now;
  return spec;
}

}  // namespace

JobId ServiceJobId(const EntryName& entry) {
  return JobId(std::string(kServicePrefix) + entry.value());
}

JobId SingletonJobId(const EntryName& entry) {
  return JobId(std::string(kSingletonPrefix) + entry.value());
}

bool IsCatalogueJob(const JobId& job) {
  return job.value().find(':') != std::string::npos;
}

Resources ResourcesOf(const EntryLimits& limits) {
  return {limits.processors_milli, limits.memory_mb, limits.accelerators};
}

JobSpec MakeCatalogueJob(const CatalogueEntry& entry,
                         const ClockReading& clock) {
  JobSpec spec = MakeSpec(entry, clock);
  const bool service = entry.work_class == WorkClass::kService;
  spec.id = service ? ServiceJobId(entry.name) : SingletonJobId(entry.name);
  spec.tasks = service ? entry.limits.instances : 1;
  spec.run_time = Duration(0);
  return spec;
}

JobSpec MakeSubmittedJob(const CatalogueEntry& entry, const JobRow& row,
                         const ClockReading& clock) {
  JobSpec spec = MakeSpec(entry, clock);
  spec.id = row.job;
  spec.tasks = row.tasks;
  spec.run_time = row.run_time;
  const std::chrono::milliseconds submitted(row.submitted_ms);
  spec.submitted = clock.now - (clock.wall_time - submitted);
  if (const auto time_of_day = FinishBy(entry.policy)) {
    spec.finish_by = NextTimeOfDay(*time_of_day, {spec.submitted, submitted});
  }
  return spec;
}

StartTaskCommand MakeStartCommand(const TaskId& task,
                                  const CatalogueEntry& entry,
                                  std::chrono::milliseconds run_time) {
  StartTaskCommand command;
  command.task = task;
  command.entry = entry.name;
  command.service = AcceptsRequests(entry);
  command.processors_milli = entry.limits.processors_milli;
  command.memory_mb = entry.limits.memory_mb;
  command.accelerators = entry.limits.accelerators;
  command.priority = entry.policy.priority;
  command.slots = entry.limits.slots;
  command.connections = entry.limits.connections;
  const bool until_stopped =
      command.service || entry.work_class == WorkClass::kSingleton;
  command.run_time = until_stopped ? std::chrono::milliseconds(0) : run_time;
  return command;
}

bool LeasesMayExpire(const CatalogueEntry& entry) {
  return entry.work_class == WorkClass::kSingleton &&
         entry.policy.when_cut_off == ZonePartitionPolicy::kFailOver;
}

TimePoint NextTimeOfDay(std::chrono::minutes time_of_day,
                        const ClockReading& clock) {
  const std::chrono::milliseconds since_midnight = clock.wall_time % kDay;
  std::chrono::milliseconds left = time_of_day - since_midnight;
  if (left.count() <= 0) left += kDay;
  return clock.now + left;
}

}  // namespace chivewing
