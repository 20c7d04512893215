#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewing {

// A kind of resource that workers offer and tasks request.
enum class Dimension { kProcessors, kMemory, kAccelerators };

// The name of a dimension with its unit, as used in messages to users.
std::string_view DimensionName(Dimension dimension);

// An amount in each dimension: thousandths of a processor, megabytes, whole
// accelerators.
struct Resources {
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other) {
    processors_milli += other.processors_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    processors_milli -= other.processors_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend Resources operator+(Resources left, const Resources& right) {
    return left += right;
  }
  friend Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }
  friend Resources operator*(const Resources& one, std::int64_t count) {
    return {one.processors_milli * count, one.memory_mb * count,
            one.accelerators * count};
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

// Whether `demand` is at most `available` in every dimension.
inline bool Fits(const Resources& demand, const Resources& available) {
  return demand.processors_milli <= available.processors_milli &&
         demand.memory_mb <= available.memory_mb &&
         demand.accelerators <= available.accelerators;
}

// The larger of the two amounts in each dimension.
Resources ComponentwiseMax(const Resources& left, const Resources& right);

// How many times `demand` fits into `available`; 0 when it does not fit once.
std::int64_t CountFits(const Resources& demand, const Resources& available);

// The first dimension in which `demand` exceeds `available`; nullopt when it
// fits.
std::optional<Dimension> FirstShortage(const Resources& demand,
                                       const Resources& available);

// Formats an amount, for example "2000 processors_milli, 4096 memory_mb, 0
// accelerators".
std::string Describe(const Resources& amount);

}  // namespace chivewing
