#include "cluster/job_feed_receiver.h"

#include <chrono>

namespace chivewing {
namespace {

// Time between two requests.
constexpr std::chrono::milliseconds kRequestInterval{1000};
// A feed that has been silent for so long is requested anew.
constexpr std::chrono::milliseconds kSilenceLimit{1000};

}  // namespace

void JobFeedReceiver::set_sender(const HostId& sender) {
  if (sender == sender_) return;
  *this = JobFeedReceiver{};
  sender_ = sender;
}

bool JobFeedReceiver::TakeRequest(TimePoint now) {
  if (sender_.empty() || now < next_request_) return false;
  if (following_ && now < heard_at_ + kSilenceLimit) return false;
  following_ = false;
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

}  // namespace chivewing
