#include "cell/callers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chivewing {
namespace {

constexpr int kTries = 3;

}  // namespace

Callers::Callers(Cell& cell, std::string entry, bool idempotent, int threads)
    : cell_(cell), entry_(std::move(entry)), idempotent_(idempotent) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

Callers::~Callers() { Stop(); }

CallerCounts Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  return counts();
}

CallerCounts Callers::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

std::map<std::string, std::string> Callers::last_outcomes() {
  const std::lock_guard lock(mutex_);
  return last_outcomes_;
}

void Callers::Run(int thread) {
  std::size_t host = static_cast<std::size_t>(thread);
  for (int number = 0; !stopping_; ++number) {
    const std::string name =
        entry_ + "-" + std::to_string(thread) + "-" + std::to_string(number);
    const std::string key = idempotent_ ? "" : name;
    const int tries = idempotent_ ? 1 : kTries;
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

std::string Callers::SendOne(std::size_t host, const std::string& key,
                             const std::string& body) {
  const HttpAnswer answer = cell_.Request(host, entry_, body, key);
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
