#include "cluster/job_feed_receiver.h"

#include <chrono>

namespace chivewing {
namespace {

// Time between two requests.
constexpr std::chrono::milliseconds kRequestInterval{1000};
// A feed that has said nothing for so long is silent: three of the longest
// times between two messages.
constexpr std::chrono::milliseconds kSilenceLimit{750};

}  // namespace

void JobFeedReceiver::set_sender(const HostId& sender) {
  if (sender == sender_) return;
  *this = JobFeedReceiver{};
  sender_ = sender;
}

bool JobFeedReceiver::TakeRequest(TimePoint now) {
  if (sender_.empty() || following_ || now < next_request_) return false;
  requested_ = true;
  next_request_ = now + kRequestInterval;
  return true;
}

bool JobFeedReceiver::OnFeed(TimePoint now, const HostId& from,
                             std::uint64_t incarnation, const JobFeed& feed) {
  if (from != sender_) return false;
  if (feed.is_first) {
    following_ = requested_;
    incarnation_ = incarnation;
  } else if (incarnation != incarnation_ || feed.number != number_ + 1) {
    following_ = false;
  }
  number_ = feed.number;
  heard_at_ = now;
  return following_;
}

TimePoint JobFeedReceiver::silent_at() const {
  return following_ ? heard_at_ + kSilenceLimit : TimePoint::max();
}

bool JobFeedReceiver::TakeSilence(TimePoint now) {
  if (now < silent_at()) return false;
  following_ = false;
  return true;
}

}  // namespace chivewing
