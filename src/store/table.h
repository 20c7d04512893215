#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewing {

// A row of the platform's table. Versions are revisions of the table, so they
// rise over all rows. A removed row keeps its version and has no value; a row
// that was never written has version 0.
struct TableRow {
  std::string key{};
  std::optional<std::string> value{};
  std::uint64_t version = 0;
  std::string write_id{};  // of the transaction that wrote this version

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

// Holds while the row has exactly this version; 0 means never written.
struct TableCondition {
  std::string key{};
  std::uint64_t version = 0;
};

// The new value of a row; none removes it.
struct TableWrite {
  std::string key{};
  std::optional<std::string> value{};
};

// Writes that take effect together, and only if all conditions hold. A
// transaction that may be sent again needs a key in both lists: its first
// effect then makes each further copy fail.
struct TableTransaction {
  std::string write_id{};  // unique; the same in each copy
  std::vector<TableCondition> conditions{};
  std::vector<TableWrite> writes{};
  // Key of a row in both lists that no other transaction overwrites once
  // written. A conflict is then never ambiguous. Empty: there is none.
  std::string commit_marker_key{};
};

enum class CommitStatus {
  kCommitted,
  kConflict,
  kNotApplied,  // this copy was certainly not taken
  kUnknown,     // this copy may have taken effect
};

// Answer to one copy of a transaction.
struct CommitResponse {
  CommitStatus status = CommitStatus::kUnknown;
  std::uint64_t revision = 0;    // version of the written rows, when committed
  std::vector<TableRow> rows{};  // on a conflict, of all condition keys
};

struct ReadResponse {
  bool ok = false;
  std::uint64_t revision = 0;
  std::vector<TableRow> rows{};  // one for each key asked for
};

struct ChangesResponse {
  bool ok = false;
  std::uint64_t revision = 0;  // to go on from
  bool more = false;
  // The table no longer holds all changes since the revision asked for: all
  // rows have to be read again.
  bool history_lost = false;
  std::vector<TableRow> rows{};  // oldest first, removed ones included
};

enum class HostKind { kWorker, kEntry };
enum class HostState { kLive, kLeaving, kGone };

// One host of the platform's list.
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
  std::chrono::milliseconds lag{0};  // how old the list may be
  std::vector<PlatformHost> hosts{};
};

}  // namespace chivewing
