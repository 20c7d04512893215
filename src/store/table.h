#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewing {

// A row of the platform's table. A version is the table revision of the row's
// last write, so versions increase across all rows. A deleted row (tombstone)
// has a version and no value; a row that was never written has version 0.
struct TableRow {
  std::string key{};
  std::optional<std::string> value{};
  std::uint64_t version = 0;
  // Write id of the transaction that wrote this version.
  std::string write_id{};

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

// True while the row has exactly this version; 0 means never written.
struct TableCondition {
  std::string key{};
  std::uint64_t version = 0;
};

// Sets the value of a row, or deletes the row if there is no value.
struct TableWrite {
  std::string key{};
  std::optional<std::string> value{};
};

// Writes that take effect atomically if all conditions hold. A transaction that
// may be sent again must write a row that it also has a condition on: once one
// copy has taken effect, every other copy then fails.
struct TableTransaction {
  // Unique per transaction and the same in each copy.
  std::string write_id{};
  std::vector<TableCondition> conditions{};
  std::vector<TableWrite> writes{};
  // Key of a row with both a condition and a write that no other transaction
  // overwrites once it is written, so a conflict is never ambiguous. May be
  // empty.
  std::string commit_marker_key{};
};

enum class CommitStatus {
  kCommitted,
  kConflict,
  kNotApplied,  // this copy did not and will not take effect; another may
  kRejected,    // no copy will ever take effect: the table takes no such rows
  kUnknown,     // this copy may have taken effect or may still do so
};

// True if the copy did not and will not take effect.
inline bool IsNotApplied(CommitStatus status) {
  return status == CommitStatus::kNotApplied ||
         status == CommitStatus::kRejected;
}

// Response to one copy of a transaction.
struct CommitResponse {
  CommitStatus status = CommitStatus::kUnknown;
  // Version of the written rows if committed.
  std::uint64_t revision = 0;
  // On a conflict, the current rows of all condition keys.
  std::vector<TableRow> rows{};
};

struct ReadResponse {
  bool ok = false;
  std::uint64_t revision = 0;
  std::vector<TableRow> rows{};  // one per requested key
  // The table's steady clock when it responded; absent if it has none.
  std::optional<std::chrono::milliseconds> clock{};
};

struct ChangesResponse {
  bool ok = false;
  // Value of `since` for the next request.
  std::uint64_t revision = 0;
  // True if further changes are available at once.
  bool more = false;
  // True if the table no longer holds all changes since the requested revision,
  // so that all rows have to be read again.
  bool history_lost = false;
  // In ascending version order, including tombstones.
  std::vector<TableRow> rows{};
  // The table's steady clock when it responded; absent if it has none.
  std::optional<std::chrono::milliseconds> clock{};
};

enum class HostKind { kWorker, kEntry };
enum class HostState { kLive, kLeaving, kGone };

// A host in the platform's host list.
struct PlatformHost {
  std::string id{};
  HostKind kind = HostKind::kWorker;
  std::string zone{};
  std::string rack{};
  std::string address{};  // IP:PORT
  HostState state = HostState::kLive;
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const PlatformHost&, const PlatformHost&) = default;
};

struct HostListResponse {
  bool ok = false;
  std::chrono::milliseconds lag{0};  // maximum age of the list
  std::vector<PlatformHost> hosts{};
};

}  // namespace chivewing
