#include "cluster/verified_starts.h"

#include <utility>

namespace chivewing {
namespace {

using Done = std::function<void(CommandResponse)>;

// How often a worker is asked for one start.
constexpr int kMaxVerifications = 4;

// Reads who answers, and neither renews its lease nor lets it discard ends.
PollWorker Identify(const StartRun& command) {
  PollWorker poll;
  poll.worker = command.worker;
  poll.address = command.address;
  poll.fence = command.fence;
  poll.fresh_connection = command.fresh_connection;
  return poll;
}

// What the answer to Identify says of a start that has not been sent.
CommandOutcome OutcomeOfUnsent(const PollResponse& answer) {
  const bool is_final = answer.outcome == CommandOutcome::kFenced ||
                        answer.outcome == CommandOutcome::kWrongIncarnation ||
                        answer.outcome == CommandOutcome::kUnhealthy;
  return is_final ? answer.outcome : CommandOutcome::kNotSent;
}

void VerifyAndStart(const PlatformInterface& direct, const StartRun& command,
                    int verifications_left, const Done& done);

// The connection over which the worker has just answered may be taken by
// another call: then the worker is asked again, a few times, before the start
// is left to the dispatcher.
void StartOnceVerified(const PlatformInterface& direct, const StartRun& command,
                       int verifications_left, const Done& done) {
  direct.start_run(command, [&direct, command, verifications_left,
                             done](CommandResponse response) {
    const bool taken = response.outcome == CommandOutcome::kUnverified;
    if (taken && verifications_left > 0) {
      VerifyAndStart(direct, command, verifications_left, done);
      return;
    }
    if (taken) response.outcome = CommandOutcome::kNotSent;
    done(response);
  });
}

void VerifyAndStart(const PlatformInterface& direct, const StartRun& command,
                    int verifications_left, const Done& done) {
  const auto identified = [&direct, command, verifications_left,
                           done](const PollResponse& answer) {
    if (answer.outcome == CommandOutcome::kDone &&
        answer.incarnation_start == command.incarnation_start) {
      StartRun verified = command;
      verified.fresh_connection = false;
      StartOnceVerified(direct, verified, verifications_left - 1, done);
      return;
    }
    done(CommandResponse{.outcome = OutcomeOfUnsent(answer)});
  };
  direct.poll_worker(Identify(command), identified);
}

}  // namespace

PlatformInterface WithVerifiedStarts(const PlatformInterface& direct) {
  PlatformInterface out = direct;
  out.start_run = [&direct](const StartRun& command, const Done& done) {
    direct.start_run(command,
                     [&direct, command, done](const CommandResponse& response) {
                       if (response.outcome != CommandOutcome::kUnverified) {
                         done(response);
                         return;
                       }
                       VerifyAndStart(direct, command, kMaxVerifications, done);
                     });
  };
  return out;
}

}  // namespace chivewing
