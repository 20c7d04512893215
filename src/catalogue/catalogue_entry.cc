#include "catalogue/catalogue_entry.h"

#include <array>
#include <cstddef>

namespace chivewing {
namespace {

constexpr std::array<std::string_view, 6> kClassNames = {
    "service", "singleton", "batch", "gang", "owner", "out_of_use"};

}  // namespace

std::span<const std::string_view> WorkClassNames() { return kClassNames; }

std::string_view Name(WorkClass work_class) {
  return kClassNames.at(static_cast<std::size_t>(work_class));
}

bool AcceptsRequests(const CatalogueEntry& entry) {
  if (entry.work_class == WorkClass::kService) return true;
  return entry.work_class == WorkClass::kSingleton && entry.limits.slots > 0;
}

const EntryName& ServiceOf(const CatalogueEntry& entry) {
  return entry.served_by.empty() ? entry.name : entry.served_by;
}

std::optional<std::chrono::minutes> FinishBy(const EntryPolicy& policy) {
  if (policy.finish_by.empty()) return std::nullopt;
  const int hours = std::stoi(policy.finish_by.substr(0, 2));
  const int minutes = std::stoi(policy.finish_by.substr(3));
  return std::chrono::hours(hours) + std::chrono::minutes(minutes);
}

}  // namespace chivewing
