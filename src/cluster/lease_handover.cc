#include "cluster/lease_handover.h"

#include <chrono>

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kInterval{500};
// A loop that works for more than this part of an interval leaves too little
// for the threads that carry its calls.
constexpr double kBusyPart = 0.6;
// How many times as much processor time a host must have to be stronger.
constexpr std::int64_t kStrongerFactor = 2;
// How long this host must have dispatched beside a stronger one. A host that
// has just been connected may not have read the table yet, and each take-over
// interrupts the starts.
constexpr std::chrono::seconds kLeastTime{3};

}  // namespace

void LeaseHandover::OnTurn(TimePoint end, Duration busy) {
  if (interval_start_ == TimePoint{}) interval_start_ = end - busy;
  busy_in_interval_ += busy;
  if (end >= interval_start_ + kInterval) EndInterval(end);
}

void LeaseHandover::EndInterval(TimePoint end) {
  const std::chrono::duration<double> length = end - interval_start_;
  const std::chrono::duration<double> spent = busy_in_interval_;
  busy_intervals_ = spent > kBusyPart * length ? busy_intervals_ + 1 : 0;
  interval_start_ = end;
  busy_in_interval_ = Duration(0);
}

bool LeaseHandover::IsDue(TimePoint now, bool dispatching,
                          std::int64_t own_milli,
                          std::int64_t strongest_peer_milli) {
  const bool stronger =
      own_milli > 0 && strongest_peer_milli >= kStrongerFactor * own_milli;
  if (!dispatching || !stronger) {
    stronger_since_ = TimePoint{};
    return false;
  }
  if (stronger_since_ == TimePoint{}) stronger_since_ = now;
  return busy() && now >= stronger_since_ + kLeastTime;
}

}  // namespace chivewing
