#include "catalogue/entry_check.h"

#include <string_view>

namespace chivewing {
namespace {

constexpr int kMinGangSize = 2;

// Checks the rules of one entry. A rule is skipped if one of its keys already
// has an error.
class EntryChecker {
 public:
  EntryChecker(const CatalogueEntry& entry, const std::string& prefix,
               ValidationErrorCollector& errors)
      : entry_(entry), prefix_(prefix), errors_(errors) {}

  void CheckRequestServing() {
    const EntryLimits& limits = entry_.limits;
    const bool is_service = entry_.work_class == WorkClass::kService;
    Require(!is_service || limits.slots > 0, "limits.slots", "",
            "must be at least 1 for a service");
    Require(limits.connections >= limits.slots, "limits.connections",
            "limits.slots", "must be at least limits.slots");
    Require(entry_.policy.request_timeout <= entry_.policy.deadline,
            "policy.request_timeout_ms", "policy.deadline_ms",
            "must be at most policy.deadline_ms");
    Require(entry_.policy.longest_run >= entry_.policy.request_timeout,
            "policy.longest_run_ms", "policy.request_timeout_ms",
            "must be at least policy.request_timeout_ms");
    Require(entry_.served_by.empty() || limits.instances == 0,
            "limits.instances", "served_by", "must be 0 with served_by");
    Require(entry_.served_by.empty() || entry_.served_by != entry_.name,
            "served_by", "name", "must be another entry");
  }

  void CheckJob() {
    const EntryPolicy& policy = entry_.policy;
    Require(policy.finish_by.empty() || policy.expected_run.count() > 0,
            "policy.finish_by", "policy.expected_run_s",
            "needs policy.expected_run_s to compute the latest start");
  }

  void CheckGang() {
    Require(entry_.limits.gang_size >= kMinGangSize, "limits.gang_size", "",
            "must be at least 2 for a gang");
    Require(entry_.limits.gang_size <= entry_.limits.tasks, "limits.gang_size",
            "limits.tasks", "must be at most limits.tasks");
  }

  // A quota is looked up by the name of its owner, so that each owner has at
  // most one.
  void CheckOwner() {
    Require(entry_.name.value() == entry_.owner.value(), "name", "owner",
            "must be the owner's name for class owner");
  }

  void CheckSubject() {
    Require(!entry_.subject.id.empty(), "subject.id", "",
            "must be given for class out_of_use");
  }

 private:
  void Require(bool holds, std::string_view key, std::string_view other_key,
               std::string what) {
    const std::string full_key = prefix_ + std::string(key);
    if (holds) return;
    if (errors_.HasErrorFor({full_key, prefix_ + std::string(other_key)}))
      return;
    errors_.AddAtKey(full_key, std::move(what));
  }

  const CatalogueEntry& entry_;
  const std::string& prefix_;
  ValidationErrorCollector& errors_;
};

}  // namespace

void CheckEntry(const CatalogueEntry& entry, const std::string& prefix,
                ValidationErrorCollector& errors) {
  EntryChecker checker(entry, prefix, errors);
  switch (entry.work_class) {
    case WorkClass::kService:
    case WorkClass::kSingleton:
      return checker.CheckRequestServing();
    case WorkClass::kGang:
      checker.CheckGang();
      return checker.CheckJob();
    case WorkClass::kBatch:
      return checker.CheckJob();
    case WorkClass::kOwner:
      return checker.CheckOwner();
    case WorkClass::kOutOfUse:
      return checker.CheckSubject();
  }
}

}  // namespace chivewing
