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

// What callers were told, over all their requests.
struct ClientLoadCounters {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;    // an answer with the outcome unknown
  std::uint64_t no_answer = 0;  // the entry host died or stayed silent
  std::uint64_t wrong = 0;      // an answer to another request
};

// Callers that send requests one after the other, each at the next entry host,
// until they are stopped. A request that is not idempotent is tried again with
// its key at other entry hosts, up to three times, until it is done.
class ClientLoadGenerator {
 public:
  ClientLoadGenerator(TestCell& cell, std::string entry, bool idempotent,
                      int threads);
  ~ClientLoadGenerator();
  ClientLoadGenerator(const ClientLoadGenerator&) = delete;
  ClientLoadGenerator& operator=(const ClientLoadGenerator&) = delete;

  // Ends the requests under way and returns the counts.
  ClientLoadCounters Stop();
  ClientLoadCounters counts();
  // The last answer to each key of a request that is not idempotent.
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
