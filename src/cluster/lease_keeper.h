#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "base/time.h"
#include "entry/event_loop_thread.h"
#include "lease/lease_manager.h"
#include "store/table.h"

namespace chivewing {

// Keeps the dispatcher's lease on a thread of its own, so that a renewal never
// waits for the decisions made under the lease. Its owner passes in what it
// sees of the table and asks for the state before it acts; the thread never
// waits for the owner. All functions but Start and Stop are thread-safe.
class LeaseKeeper {
 public:
  // Sends one copy of a transaction; `done` is called once, from any thread.
  // The connection must not be shared with calls that may delay it.
  using Commit = std::function<void(const TableTransaction&,
                                    std::function<void(CommitResponse)> done)>;
  // Called on the keeper's thread when the state has changed. Must not block.
  using OnChange = std::function<void()>;

  struct State {
    bool held = false;  // as of the last change; check valid_until too
    std::uint64_t epoch = 0;
    TimePoint valid_until{};
    // Condition that fences the holder's transactions.
    TableCondition fence{};
    TimePoint predecessor_ended_by{};  // see LeaseManager
    bool stopped = false;              // after Release with `for_good`
  };

  LeaseKeeper(TimePoint now, LeaseSettings settings, Commit commit,
              OnChange on_change);
  ~LeaseKeeper() { Stop(); }
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Start(TimeSource clock);
  // Ends the thread without releasing the lease. Idempotent.
  void Stop();

  void OnRow(const TableRow& row);
  void set_rank(std::size_t rank);
  // See LeaseManager; none also while the rows have not been read yet.
  void set_table_available_since(std::optional<TimePoint> since);
  // The owner's loop has turned at `now`. Without turns for seconds the lease
  // is given up, since nothing is decided under it.
  void OnOwnerTurn(TimePoint now) { owner_turned_at_ = now; }
  void set_table_clock(const TableClock& clock);
  // Gives up the lease without a write, to acquire it with a higher epoch.
  void Relinquish();
  // Releases the lease for the other hosts, and does not acquire it before
  // `until`.
  void HandOver(TimePoint until);
  // Planned stop: releases the lease for the other hosts.
  void Release();

  bool IsHeld(TimePoint now) const;
  State state() const;
  // Rows that responses to the keeper's transactions have shown since the last
  // call, to be applied to the owner's copy of the table.
  std::vector<TableRow> TakeRows();

 private:
  using Event = std::function<void(TimePoint, LeaseManager::Effects&)>;

  bool HasOwnerStopped(TimePoint now) const;
  TimePoint HandleEvents(TimePoint now, std::vector<Event>& events);
  void Execute(const LeaseManager::Effects& effects);
  void Send(const TableTransaction& transaction);
  void OnResponse(TimePoint now, const TableTransaction& transaction,
                  const CommitResponse& response,
                  LeaseManager::Effects& effects);
  void Publish(TimePoint now);

  Commit commit_;
  OnChange on_change_;
  LeaseManager lease_;  // of the keeper's thread
  bool table_ready_ = false;
  std::atomic<TimePoint> owner_turned_at_;
  mutable std::mutex mutex_;
  State state_;                 // guarded by mutex_
  std::vector<TableRow> rows_;  // guarded by mutex_
  EventLoopThread<Event> thread_;
};

}  // namespace chivewing
