#include "base/request_sampler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace chivewing {
namespace {

constexpr std::chrono::seconds kWindow{1};
// Part of the limit that a new share aims at. It stays while the lines fill
// between half of the limit and all of it: each change cuts requests in two.
constexpr double kAimedPart = 0.8;
constexpr double kLeastPart = 0.5;
// Within a window, a burst may go over the limit by this factor.
constexpr int kBurstFactor = 2;

// Number of values that a hash of 32 bits has.
constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1;

// A number in [0, 1) that depends on the id alone.
double Position(std::string_view id) {
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
  if (++admitted_ < kBurstFactor * max_lines_) return true;
  share_ = 0;  // until the next window
  return true;
}

int RequestSampler::TakeDropped() { return std::exchange(dropped_, 0); }

void RequestSampler::StartWindow(TimePoint now) {
  const double wanted = share_ * offered_;
  if (share_ == 0 || wanted > max_lines_ || wanted < kLeastPart * max_lines_) {
    const double lines = std::max(offered_, 1);
    share_ = std::min(1.0, kAimedPart * max_lines_ / lines);
  }
  window_start_ = now;
  offered_ = 0;
  admitted_ = 0;
}

}  // namespace chivewing
