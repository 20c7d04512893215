#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "store/table.h"

namespace chivewing {

// One step of a random schedule: the kind of event and its argument.
using ScheduleStep = std::pair<std::uint8_t, std::uint8_t>;
using Schedule = std::vector<ScheduleStep>;

// In-memory implementation of the platform's table.
class InMemoryTable {
 public:
  CommitResponse Commit(const TableTransaction& transaction) {
    CommitResponse response{CommitStatus::kCommitted, 0, {}};
    for (const TableCondition& condition : transaction.conditions) {
      const TableRow row = Row(condition.key);
      const std::uint64_t present = row.value ? row.version : 0;
      if (present != condition.version) {
        response.status = CommitStatus::kConflict;
      }
      response.rows.push_back(row);
    }
    if (response.status == CommitStatus::kConflict) return response;
    response.rows.clear();
    response.revision = ++revision_;
    for (const TableWrite& write : transaction.writes) {
      rows_[write.key] = {write.key, write.value, revision_,
                          transaction.write_id};
    }
    return response;
  }
  TableRow Row(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? TableRow{key, std::nullopt, 0, ""}
                                : found->second;
  }
  const std::map<std::string, TableRow>& rows() const { return rows_; }

 private:
  std::map<std::string, TableRow> rows_;
  std::uint64_t revision_ = 0;
};

// Carries commits to the table and loses, delays and reorders them. Responses
// to a paused process are held until it resumes.
class UnreliableTableChannel {
 public:
  using ResponseCallback =
      std::function<void(std::size_t process, const std::string& write_id,
                         const CommitResponse& response)>;

  UnreliableTableChannel(std::function<bool(std::size_t)> is_paused,
                         ResponseCallback response)
      : is_paused_(std::move(is_paused)), on_response_(std::move(response)) {}

  void Send(std::size_t process, const TableTransaction& transaction) {
    in_flight_.push_back({process, transaction});
  }

  // Delivers, delays, rejects or loses one of the commits in flight, as
  // determined by `choice`.
  void Step(InMemoryTable& table, std::uint8_t choice) {
    if (choice % 5 == 4 && !delayed_.empty()) {
      table.Commit(delayed_.back());
      delayed_.pop_back();
    }
    if (in_flight_.empty()) return;
    const auto at =
        std::next(in_flight_.begin(),
                  static_cast<std::ptrdiff_t>(choice % in_flight_.size()));
    const auto [process, transaction] = *at;
    in_flight_.erase(at);
    CommitResponse response;
    switch (choice / 16) {
      case 0:  // the response is lost
        table.Commit(transaction);
        break;
      case 1:  // delayed: may take effect after the response is lost
        delayed_.push_back(transaction);
        break;
      case 2:
        response.status = CommitStatus::kNotApplied;
        break;
      case 3:  // the commit is lost
        break;
      default:
        response = table.Commit(transaction);
    }
    undelivered_.push_back({process, transaction.write_id, response});
    Deliver();
  }
  // Applies all commits in flight and delivers their responses.
  void Drain(InMemoryTable& table) {
    constexpr std::uint8_t good = 0x50;
    while (!in_flight_.empty()) Step(table, good);
  }
  // Delivers the held responses, except those to paused processes.
  void Deliver() {
    std::vector<PendingResponse> pending_responses;
    pending_responses.swap(undelivered_);
    for (const PendingResponse& pending : pending_responses) {
      if (is_paused_(pending.process)) {
        undelivered_.push_back(pending);
      } else {
        on_response_(pending.process, pending.write_id, pending.response);
      }
    }
  }

 private:
  struct InFlightCommit {
    std::size_t process;
    TableTransaction transaction;
  };
  struct PendingResponse {
    std::size_t process;
    std::string write_id;
    CommitResponse response;
  };
  std::function<bool(std::size_t)> is_paused_;
  ResponseCallback on_response_;
  std::vector<InFlightCommit> in_flight_;
  std::vector<TableTransaction> delayed_;
  std::vector<PendingResponse> undelivered_;
};

// Returns the schedule determined by the seed.
inline Schedule RandomSchedule(unsigned seed, std::size_t steps) {
  std::mt19937 random(seed);
  Schedule schedule(steps);
  for (ScheduleStep& step : schedule) {
    step = {static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random())};
  }
  return schedule;
}

// Runs a `World` on schedules with the seeds from 0 and returns the number with
// a violation. The count and the first violation are recorded as test
// properties.
template <typename World, typename Options>
int CountViolations(const Options& options, unsigned schedules) {
  constexpr std::size_t steps = 400;
  int count = 0;
  for (unsigned seed = 0; seed < schedules; ++seed) {
    const std::string found = World(options).Run(RandomSchedule(seed, steps));
    if (found.empty()) continue;
    if (count++ == 0) testing::Test::RecordProperty("first", found);
  }
  testing::Test::RecordProperty("violations", count);
  return count;
}

}  // namespace chivewing
