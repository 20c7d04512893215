#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace chivewing {
namespace {

constexpr std::array kRows = {
    ResultCodeRow{ResultCode::kOk, "ok", "done"},
    ResultCodeRow{ResultCode::kBadRequest, "bad_request",
                  "the message could not be understood"},
    ResultCodeRow{ResultCode::kBodyTooLarge, "body_too_large",
                  "the body is over the limit"},
    ResultCodeRow{ResultCode::kUnknownEntry, "unknown_entry",
                  "no such catalogue entry"},
    ResultCodeRow{ResultCode::kBadEntry, "bad_entry",
                  "the catalogue entry is not valid"},
    ResultCodeRow{ResultCode::kBadSettings, "bad_settings",
                  "the settings file is not valid"},
    ResultCodeRow{ResultCode::kBadUsage, "bad_usage",
                  "the command line is not valid"},
    ResultCodeRow{ResultCode::kUnauthorised, "unauthorised",
                  "the shared key is missing or wrong"},
    ResultCodeRow{ResultCode::kBadFrame, "bad_frame",
                  "a peer sent a malformed frame"},
    ResultCodeRow{ResultCode::kKeyMissing, "key_missing",
                  "a non-idempotent request needs an idempotency key"},
    ResultCodeRow{ResultCode::kQueueFull, "queue_full",
                  "not run: the queue is full"},
    ResultCodeRow{ResultCode::kDeadlineUnreachable, "deadline_unreachable",
                  "not run: the deadline could not be met"},
    ResultCodeRow{ResultCode::kNoInstance, "no_instance",
                  "not run: no instance can take it"},
    ResultCodeRow{ResultCode::kStopping, "stopping",
                  "not run: the entry host is stopping"},
    ResultCodeRow{ResultCode::kClaimUnavailable, "claim_unavailable",
                  "not run: the claim could not be recorded"},
    ResultCodeRow{ResultCode::kRetryBudgetSpent, "retry_budget_spent",
                  "not run: refused, and the retry budget is spent"},
    ResultCodeRow{ResultCode::kCancelled, "cancelled",
                  "not run: the caller cancelled it"},
    ResultCodeRow{ResultCode::kRefusedByTarget, "refused_by_target",
                  "not run: the instance refused it before running it"},
    ResultCodeRow{ResultCode::kOverloaded, "overloaded",
                  "not run: an internal ring is full"},
    ResultCodeRow{ResultCode::kConnectFailed, "connect_failed",
                  "not run: no connection to the instance"},
    ResultCodeRow{ResultCode::kTimedOut, "timed_out",
                  "unknown: no answer in time"},
    ResultCodeRow{ResultCode::kConnectionLost, "connection_lost",
                  "unknown: the connection closed before the whole answer"},
    ResultCodeRow{ResultCode::kClaimOpen, "claim_open",
                  "unknown: claimed before, and no outcome is recorded"},
    ResultCodeRow{ResultCode::kTicketHostLost, "ticket_host_lost",
                  "unknown: the entry host that issued the ticket is gone"},
    ResultCodeRow{ResultCode::kBadAnswer, "bad_answer",
                  "unknown: the answer does not belong to the request"},
    ResultCodeRow{ResultCode::kPlatformUnavailable, "platform_unavailable",
                  "the platform did not take the call"},
    ResultCodeRow{ResultCode::kConflict, "conflict",
                  "somebody else changed it first"},
    ResultCodeRow{ResultCode::kWriteInDoubt, "write_in_doubt",
                  "it is not known whether the write took effect"},
    ResultCodeRow{ResultCode::kLeaseLost, "lease_lost",
                  "the lease is no longer held"},
    ResultCodeRow{ResultCode::kNotFound, "not_found", "no such thing"},
    ResultCodeRow{ResultCode::kNeverFits, "never_fits",
                  "no worker could hold it, even when empty"},
    ResultCodeRow{ResultCode::kOverQuota, "over_quota",
                  "the owner's quota is used up"},
    ResultCodeRow{ResultCode::kNoRoom, "no_room", "no worker has room now"},
    ResultCodeRow{ResultCode::kNotPlacedYet, "not_placed_yet",
                  "the job was not looked at yet"},
    ResultCodeRow{ResultCode::kWorkerQuarantined, "worker_quarantined",
                  "the workers with room are in quarantine"},
    ResultCodeRow{ResultCode::kNotLeader, "not_leader",
                  "another entry host holds the placer lease"},
    ResultCodeRow{ResultCode::kAddressInUse, "address_in_use",
                  "the address is already bound"},
    ResultCodeRow{ResultCode::kInternal, "internal", "an internal fault"},
    ResultCodeRow{ResultCode::kPeerUnreachable, "peer_unreachable",
                  "the entry host cannot be reached"},
};

}  // namespace

std::span<const ResultCodeRow> ResultCodes() { return kRows; }

std::string_view Name(ResultCode code) {
  const auto row = std::find_if(
      kRows.begin(), kRows.end(),
      [code](const ResultCodeRow& each) { return each.code == code; });
  return row == kRows.end() ? "unlisted" : row->name;
}

bool IsNotRun(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 100 && number < 300;
}

}  // namespace chivewing
