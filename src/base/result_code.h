#pragma once

#include <span>
#include <string_view>

namespace chivewing {

// Result codes, grouped by hundreds: 1xx input, 2xx request not run, 3xx
// outcome unknown, 4xx platform, 5xx placement, 6xx process.
// docs/RESULT_CODES.md lists them, and a test compares the two.
enum class ResultCode {
  kOk = 0,

  kBadRequest = 100,
  kBodyTooLarge = 101,
  kUnknownEntry = 102,
  kBadEntry = 103,
  kBadSettings = 104,
  kBadUsage = 105,
  kUnauthorised = 106,
  kBadFrame = 107,
  kKeyMissing = 108,

  kQueueFull = 200,
  kDeadlineUnreachable = 201,
  kNoInstance = 202,
  kStopping = 203,
  kClaimUnavailable = 204,
  kRetryBudgetSpent = 205,
  kCancelled = 206,
  kRefusedByTarget = 207,
  kOverloaded = 208,
  kConnectFailed = 209,

  kTimedOut = 300,
  kConnectionLost = 301,
  kClaimOpen = 302,
  kTicketHostLost = 303,
  kBadAnswer = 304,

  kPlatformUnavailable = 400,
  kConflict = 401,
  kWriteInDoubt = 402,
  kLeaseLost = 403,
  kNotFound = 404,

  kNeverFits = 500,
  kOverQuota = 501,
  kNoRoom = 502,
  kNotPlacedYet = 503,
  kWorkerQuarantined = 504,
  kNotLeader = 505,

  kAddressInUse = 600,
  kInternal = 601,
  kPeerUnreachable = 602,
};

// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  std::string_view meaning;
};

// All result codes, in numeric order.
std::span<const ResultCodeInfo> ResultCodes();

// Returns the snake_case name of a code, as used in responses and logs.
std::string_view Name(ResultCode code);

// Returns true when the code guarantees that the request was not run.
bool IsNotRun(ResultCode code);

}  // namespace chivewing
