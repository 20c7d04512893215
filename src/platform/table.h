#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewing {

// One row of the platform's table.
struct TableRow {
  std::string key;
  std::optional<std::string> value;  // absent when removed or never written
  std::uint64_t version = 0;
  std::string write_id;  // of the transaction that wrote this version
};

// Wants `key` to be at `version`; 0 wants it absent.
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

// Sets `key` to `value`, or removes it.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

// Takes effect as a whole, and only if every condition holds.
struct TableTransaction {
  std::string write_id;
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class CommitStatus {
  kCommitted,
  kConflict,
  kUnavailable,  // certainly not taken
  kUnknown,      // no answer: it may have taken effect, or yet may
};

struct CommitAnswer {
  CommitStatus status = CommitStatus::kUnknown;
  std::uint64_t revision = 0;  // of a committed transaction
  std::vector<TableRow>
      rows;  // present rows of all condition keys, if conflict
};

}  // namespace chivewing
