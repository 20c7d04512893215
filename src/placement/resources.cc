#include "placement/resources.h"

#include <algorithm>
#include <limits>

namespace chivewing {
namespace {

std::int64_t CountFits(std::int64_t demand, std::int64_t available) {
  if (demand <= 0) return std::numeric_limits<std::int64_t>::max();
  return available / demand;
}

}  // namespace

std::string_view DimensionName(Dimension dimension) {
  switch (dimension) {
    case Dimension::kProcessors:
      return "processors_milli";
    case Dimension::kMemory:
      return "memory_mb";
    case Dimension::kAccelerators:
      return "accelerators";
  }
  return "";
}

Resources ComponentwiseMax(const Resources& left, const Resources& right) {
  return {std::max(left.processors_milli, right.processors_milli),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

std::int64_t CountFits(const Resources& demand, const Resources& available) {
  if (!Fits(demand, available)) return 0;
  return std::min(
      {CountFits(demand.processors_milli, available.processors_milli),
       CountFits(demand.memory_mb, available.memory_mb),
       CountFits(demand.accelerators, available.accelerators)});
}

std::optional<Dimension> FirstShortage(const Resources& demand,
                                       const Resources& available) {
  if (demand.processors_milli > available.processors_milli) {
    return Dimension::kProcessors;
  }
  if (demand.memory_mb > available.memory_mb) return Dimension::kMemory;
  if (demand.accelerators > available.accelerators)
    return Dimension::kAccelerators;
  return std::nullopt;
}

std::string Describe(const Resources& amount) {
  return std::to_string(amount.processors_milli) + " processors_milli, " +
         std::to_string(amount.memory_mb) + " memory_mb, " +
         std::to_string(amount.accelerators) + " accelerators";
}

}  // namespace chivewing
