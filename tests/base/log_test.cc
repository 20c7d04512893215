#include "base/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace chivewing {
namespace {

std::string Logged(const std::string& sentence) {
  testing::internal::CaptureStdout();
  LogWarning(LogPart::kWorker, sentence);
  return testing::internal::GetCapturedStdout();
}

// The key of an entry of another writer stood raw in the log and broke its
// line.
TEST(LogTest, ASentenceStaysOneLine) {
  using std::string_literals::operator""s;
  const std::string log = Logged("worker=a\r\nb\0c\x7f\x1b[0m"s);
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  EXPECT_NE(log.find("worker=a\\x0d\\x0ab\\x00c\\x7f\\x1b[0m"),
            std::string::npos)
      << log;
}

TEST(LogTest, TextBeyondAsciiIsKept) {
  EXPECT_NE(Logged("zone=z\xc3\xbcrich").find("zone=z\xc3\xbcrich"),
            std::string::npos);
}

// A zone may be a text of 60,000 bytes.
TEST(LogTest, AVeryLongSentenceIsCut) {
  const std::string log = Logged(std::string(60'000, 'z'));
  EXPECT_LT(log.size(), 10'000U);
  EXPECT_NE(log.find("more bytes left out"), std::string::npos);
}

}  // namespace
}  // namespace chivewing
