#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cell/test_cell.h"

namespace chivewing {

// Outcomes that the clients received, over all their requests.
struct ClientLoadCounters {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;    // responses with the outcome unknown
  std::uint64_t no_answer = 0;  // entry host died or timed out
  std::uint64_t wrong = 0;      // responses that belong to another request
};

// Client threads that send requests to an entry until they are stopped. Each
// thread sends one request at a time and uses the entry hosts in turn. A
// request that is not idempotent is attempted up to three times with the same
// key, each time at the next entry host, until its outcome is done.
class ClientLoadGenerator {
 public:
  ClientLoadGenerator(TestCell& cell, std::string entry, bool idempotent,
                      int threads);
  ~ClientLoadGenerator();
  ClientLoadGenerator(const ClientLoadGenerator&) = delete;
  ClientLoadGenerator& operator=(const ClientLoadGenerator&) = delete;

  // Waits for the requests in flight to end and returns the counters.
  ClientLoadCounters Stop();
  ClientLoadCounters counts();
  // The last outcome received for each idempotency key; empty when the requests
  // are idempotent.
  std::map<std::string, std::string> last_outcomes();

 private:
  void Run(int thread);
  std::string SendOne(std::size_t host, const std::string& key,
                      const std::string& body);

  TestCell& cell_;
  const std::string entry_;
  const bool idempotent_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  ClientLoadCounters counts_;
  std::map<std::string, std::string> last_outcomes_;
  std::vector<std::thread> threads_;
};

}  // namespace chivewing
