#include "base/request_sampler.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace chivewing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLimit = 400;
constexpr int kLinesPerRequest = 20;

// Requests begin evenly; each has its lines over two seconds.
class BusyLog {
 public:
  // Offers the lines of `seconds` with so many requests a second.
  void Run(int length_s, int requests_per_second) {
    const int length_ms = length_s * 1000;
    for (int ms = 0; ms < length_ms; ++ms) {
      now_ += milliseconds(1);
      ++ms_;
      for (const auto& [id, first_ms] : requests_) {
        const int age = ms_ - first_ms;
        if (age <= 2000 && age % (2000 / kLinesPerRequest) == 0) Offer(id);
      }
      if (ms_ % (1000 / requests_per_second) == 0) {
        requests_.emplace_back("job-" + std::to_string(requests_.size()), ms_);
      }
    }
  }
  // Requests all of whose lines were offered: written as a whole, and in part.
  int whole() const { return Count(true); }
  int partial() const { return Count(false); }
  int most_lines_in_a_second() const {
    int most = 0;
    for (const auto& [second, lines] : lines_by_second_) {
      most = std::max(most, lines);
    }
    return most;
  }

 private:
  void Offer(const std::string& id) {
    if (!sampler_.Admit(now_, id)) return;
    ++written_[id];
    ++lines_by_second_[ms_ / 1000];
  }
  int Count(bool whole) const {
    int count = 0;
    for (const auto& [id, first_ms] : requests_) {
      const auto found = written_.find(id);
      if (found == written_.end() || ms_ - first_ms < 2000) continue;
      if ((found->second == kLinesPerRequest) == whole) ++count;
    }
    return count;
  }

  RequestSampler sampler_{kLimit};
  TimePoint now_{std::chrono::hours(1)};
  int ms_ = 0;
  std::vector<std::pair<std::string, int>> requests_;
  std::map<std::string, int> written_;
  std::map<int, int> lines_by_second_;
};

TEST(RequestSamplerTest, WritesAllLinesBelowTheLimit) {
  BusyLog log;
  log.Run(10, 10);
  EXPECT_EQ(log.partial(), 0);
  EXPECT_GT(log.whole(), 70);
}

// Single lines were dropped: half of the jobs had no first start in the log.
TEST(RequestSamplerTest, ABusySecondLeavesWholeRequests) {
  BusyLog log;
  log.Run(10, 50);
  EXPECT_GT(log.whole(), 100);
  EXPECT_LT(log.partial(), log.whole() / 2);
  EXPECT_LE(log.most_lines_in_a_second(), 2 * kLimit);
}

TEST(RequestSamplerTest, TheSameRequestsAreWrittenOnEachHost) {
  RequestSampler busy(kLimit);
  RequestSampler busier(kLimit);
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 2000; ++i) {
    busy.Admit(now, "x" + std::to_string(i));
    busier.Admit(now, "x" + std::to_string(i));
    busier.Admit(now, "y" + std::to_string(i));
  }
  int only_busier = 0;
  int both = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const bool kept = busy.Admit(now + seconds(2), id);
    if (!busier.Admit(now + seconds(2), id)) continue;
    ++(kept ? both : only_busier);
  }
  EXPECT_EQ(only_busier, 0);
  EXPECT_GT(both, 0);
}

TEST(RequestSamplerTest, CountsWhatItLeavesOut) {
  RequestSampler sampler(1);
  const TimePoint now{seconds(100)};
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    if (sampler.Admit(now, "job-" + std::to_string(i))) ++admitted;
  }
  EXPECT_EQ(admitted + sampler.TakeDropped(), 50);
  EXPECT_EQ(sampler.TakeDropped(), 0);
}

}  // namespace
}  // namespace chivewing
