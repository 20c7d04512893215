#include "base/request_sampler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace chivewing {
namespace {

constexpr std::chrono::seconds kWindow{1};

// A number in [0, 1) that depends on the id alone.
double Position(std::string_view id) {
  constexpr double kRange =
      static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1;
  const auto hash =
      static_cast<std::uint32_t>(std::hash<std::string_view>{}(id));
  return static_cast<double>(hash) / kRange;
}

}  // namespace

bool RequestSampler::Admit(TimePoint now, std::string_view id) {
  if (now - window_start_ >= kWindow) StartWindow(now);
  ++offered_;
  if (Position(id) >= share_) {
    ++dropped_;
    return false;
  }
  // A burst within the window: fewer requests from here on.
  if (++admitted_ > max_lines_) {
    share_ /= 2;
    admitted_ = 0;
  }
  return true;
}

int RequestSampler::TakeDropped() { return std::exchange(dropped_, 0); }

void RequestSampler::StartWindow(TimePoint now) {
  share_ =
      offered_ <= max_lines_ ? 1.0 : static_cast<double>(max_lines_) / offered_;
  window_start_ = now;
  offered_ = 0;
  admitted_ = 0;
}

}  // namespace chivewing
