#include "cell/client_load_generator.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chivewing {
namespace {

constexpr int kMaxAttempts = 3;

}  // namespace

ClientLoadGenerator::ClientLoadGenerator(TestCell& cell, std::string entry,
                                         bool idempotent, int threads)
    : cell_(cell), entry_(std::move(entry)), idempotent_(idempotent) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

ClientLoadGenerator::~ClientLoadGenerator() { Stop(); }

ClientLoadCounters ClientLoadGenerator::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  return counts();
}

ClientLoadCounters ClientLoadGenerator::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

std::map<std::string, std::string> ClientLoadGenerator::last_outcomes() {
  const std::lock_guard lock(mutex_);
  return last_outcomes_;
}

void ClientLoadGenerator::Run(int thread) {
  std::size_t host = static_cast<std::size_t>(thread);
  for (int number = 0; !stopping_; ++number) {
    const std::string name =
        entry_ + "-" + std::to_string(thread) + "-" + std::to_string(number);
    const std::string key = idempotent_ ? "" : name;
    const int tries = idempotent_ ? 1 : kMaxAttempts;
    for (int i = 0; i < tries; ++i) {
      const std::string outcome = SendOne(host++ % cell_.size(), key, name);
      if (!key.empty()) {
        const std::lock_guard lock(mutex_);
        last_outcomes_[key] = outcome;
      }
      if (outcome == "done") break;
    }
  }
}

std::string ClientLoadGenerator::SendOne(std::size_t host,
                                         const std::string& key,
                                         const std::string& body) {
  const HttpResponse answer = cell_.Request(host, entry_, body, key);
  std::string outcome(answer.Header("x-outcome"));
  const std::lock_guard lock(mutex_);
  ++counts_.sent;
  if (!answer.ok()) {
    ++counts_.no_answer;
    return "no answer";
  }
  if (outcome == "done") {
    ++counts_.done;
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    const bool own = json.is_object() && json.value("body", "") == body;
    if (!own) ++counts_.wrong;
  } else if (outcome == "not_run") {
    ++counts_.not_run;
  } else {
    ++counts_.unknown;
  }
  return outcome;
}

}  // namespace chivewing
