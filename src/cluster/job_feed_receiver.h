#pragma once

#include <cstdint>

#include "base/id.h"
#include "base/time.h"
#include "peer/messages.h"

namespace chivewing {

// The other hosts' side of the job feed: decides when to request the feed and
// whether a message follows the one before, since messages are lost with their
// connection. Does no I/O; has no clock.
class JobFeedReceiver {
 public:
  // The host whose feed counts from now on; empty if there is none.
  void set_sender(const HostId& sender);

  // True if a request is to be sent now. Notes that it is.
  bool TakeRequest(TimePoint now);
  // Notes a message of the feed. Returns true if all changes up to its
  // `through` have been received.
  bool OnFeed(TimePoint now, const HostId& from, std::uint64_t incarnation,
              const JobFeed& feed);
  // When a feed that has been followed counts as silent; TimePoint::max() if
  // none is followed.
  TimePoint silent_at() const;
  // True, once, if a feed that has been followed is silent: its host, or the
  // network, may be lost.
  bool TakeSilence(TimePoint now);

 private:
  HostId sender_{};
  bool requested_ = false;
  TimePoint next_request_{};
  // Whether the messages up to `number_` of this process of the sender have
  // been received without a gap.
  bool following_ = false;
  std::uint64_t incarnation_ = 0;
  std::uint64_t number_ = 0;
  TimePoint heard_at_{};
};

}  // namespace chivewing
