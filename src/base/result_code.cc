#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace chivewing {
namespace {

constexpr std::array kRows = {
    ResultCodeInfo{ResultCode::kOk, "ok", "done"},
    ResultCodeInfo{ResultCode::kBadRequest, "bad_request",
                   "the message could not be understood"},
    ResultCodeInfo{ResultCode::kBodyTooLarge, "body_too_large",
                   "the body is over the limit"},
    ResultCodeInfo{ResultCode::kUnknownEntry, "unknown_entry",
                   "no such catalogue entry"},
    ResultCodeInfo{ResultCode::kBadEntry, "bad_entry",
                   "the catalogue entry is not valid"},
    ResultCodeInfo{ResultCode::kBadSettings, "bad_settings",
                   "the settings file is not valid"},
    ResultCodeInfo{ResultCode::kBadUsage, "bad_usage",
                   "the command line is not valid"},
    ResultCodeInfo{ResultCode::kUnauthorised, "unauthorised",
                   "the shared key is missing or wrong"},
    ResultCodeInfo{ResultCode::kBadFrame, "bad_frame",
                   "a peer sent a malformed frame"},
    ResultCodeInfo{ResultCode::kKeyMissing, "key_missing",
                   "a non-idempotent request needs an idempotency key"},
    ResultCodeInfo{ResultCode::kQueueFull, "queue_full",
                   "not run: the queue is full"},
    ResultCodeInfo{ResultCode::kDeadlineUnreachable, "deadline_unreachable",
                   "not run: the deadline could not be met"},
    ResultCodeInfo{ResultCode::kNoInstance, "no_instance",
                   "not run: no instance can take it"},
    ResultCodeInfo{ResultCode::kStopping, "stopping",
                   "not run: the entry host is stopping"},
    ResultCodeInfo{ResultCode::kClaimUnavailable, "claim_unavailable",
                   "not run: the claim could not be recorded"},
    ResultCodeInfo{ResultCode::kRetryBudgetSpent, "retry_budget_spent",
                   "not run: refused, and the retry budget is spent"},
    ResultCodeInfo{ResultCode::kCancelled, "cancelled",
                   "not run: the caller cancelled it"},
    ResultCodeInfo{ResultCode::kRefusedByTarget, "refused_by_target",
                   "not run: the instance refused it before running it"},
    ResultCodeInfo{ResultCode::kOverloaded, "overloaded",
                   "not run: an internal ring is full"},
    ResultCodeInfo{ResultCode::kConnectFailed, "connect_failed",
                   "not run: no connection to the instance"},
    ResultCodeInfo{ResultCode::kTimedOut, "timed_out",
                   "unknown: no answer in time"},
    ResultCodeInfo{ResultCode::kConnectionLost, "connection_lost",
                   "unknown: the connection closed before the whole answer"},
    ResultCodeInfo{ResultCode::kClaimOpen, "claim_open",
                   "unknown: claimed before, and no outcome is recorded"},
    ResultCodeInfo{ResultCode::kTicketHostLost, "ticket_host_lost",
                   "unknown: the entry host that issued the ticket is gone"},
    ResultCodeInfo{ResultCode::kBadAnswer, "bad_answer",
                   "unknown: the answer does not belong to the request"},
    ResultCodeInfo{ResultCode::kPlatformUnavailable, "platform_unavailable",
                   "the platform did not take the call"},
    ResultCodeInfo{ResultCode::kConflict, "conflict",
                   "somebody else changed it first"},
    ResultCodeInfo{ResultCode::kWriteInDoubt, "write_in_doubt",
                   "it is not known whether the write took effect"},
    ResultCodeInfo{ResultCode::kLeaseLost, "lease_lost",
                   "the lease is no longer held"},
    ResultCodeInfo{ResultCode::kNotFound, "not_found", "no such thing"},
    ResultCodeInfo{ResultCode::kNeverFits, "never_fits",
                   "no worker could hold it, even when empty"},
    ResultCodeInfo{ResultCode::kOverQuota, "over_quota",
                   "the owner's quota is used up"},
    ResultCodeInfo{ResultCode::kNoRoom, "no_room", "no worker has room now"},
    ResultCodeInfo{ResultCode::kNotPlacedYet, "not_placed_yet",
                   "the job was not looked at yet"},
    ResultCodeInfo{ResultCode::kWorkerQuarantined, "worker_quarantined",
                   "the workers with room are in quarantine"},
    ResultCodeInfo{ResultCode::kNotLeader, "not_leader",
                   "another entry host holds the placer lease"},
    ResultCodeInfo{ResultCode::kAddressInUse, "address_in_use",
                   "the address is already bound"},
    ResultCodeInfo{ResultCode::kInternal, "internal", "an internal fault"},
    ResultCodeInfo{ResultCode::kPeerUnreachable, "peer_unreachable",
                   "the entry host cannot be reached"},
};

}  // namespace

std::span<const ResultCodeInfo> ResultCodes() { return kRows; }

std::string_view Name(ResultCode code) {
  const auto row = std::find_if(
      kRows.begin(), kRows.end(),
      [code](const ResultCodeInfo& each) { return each.code == code; });
  return row == kRows.end() ? "unlisted" : row->name;
}

bool IsNotRun(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 100 && number < 300;
}

}  // namespace chivewing
