#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatch_effect.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_keeper.h"

namespace chivewing {

// Keeps one standing poll at each worker, which renews its lease, and compares
// what the worker lists with what the dispatcher believes.
class WorkerWatch {
 public:
  WorkerWatch(DispatchState& state, JobKeeper& jobs, RunKeeper& runs)
      : state_(state), jobs_(jobs), runs_(runs) {}

  void Register(TimePoint now, const WorkerRegistration& registration);
  // The registration has gone; the worker may still run tasks.
  void Unregister(const WorkerId& id);
  // A worker that an earlier dispatcher has given tasks. Tasks that are not
  // found anywhere wait until it has listed its runs or its lease has ended.
  void Expect(TimePoint now, const WorkerRegistration& registration);

  void OnPoll(TimePoint now, const WorkerId& id, std::uint64_t poll_id,
              const PollAnswer& answer);
  // An order's answer also tells that the worker lives.
  void OnOrderAnswer(TimePoint now, const WorkerId& id,
                     const OrderAnswer& answer);
  // The ends up to this number have had their effect written to the table.
  void OnSettled(TimePoint now, const WorkerId& id, std::uint64_t end);

  void SendDue(TimePoint now, DispatchEffects& out);
  TimePoint next_due() const;

  // Whether new tasks may be started on it.
  bool IsUsable(TimePoint now, const Worker& worker) const;

 private:
  void Poll(TimePoint now, Worker& worker, DispatchEffects& out);
  void OnSilence(TimePoint now, Worker& worker);
  void OnOtherLife(TimePoint now, Worker& worker);
  void OnRestart(TimePoint now, Worker& worker);
  void OfferCopies(const WorkerId& id);
  void ForgetTickets(const WorkerId& id);
  void TakeEnds(TimePoint now, Worker& worker, const PollAnswer& answer);
  void TakeRunning(TimePoint now, Worker& worker, const PollAnswer& answer);
  void TakeListed(TimePoint now, Worker& worker, const RunningRun& listed);
  void DropAbsent(TimePoint now, Worker& worker, const PollAnswer& answer);
  void Resolve(const WorkerId& id);
  void LoseRuns(TimePoint now, const WorkerId& id);
  void DropLapsed(TimePoint now, Worker& worker);

  DispatchState& state_;
  JobKeeper& jobs_;
  RunKeeper& runs_;
};

}  // namespace chivewing
