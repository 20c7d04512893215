#include "dispatch/cluster_model.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace chivewing {
namespace {

constexpr milliseconds kStep{2};
constexpr milliseconds kTravel{1};
constexpr milliseconds kWriteTime{12};
constexpr milliseconds kOrderTimeout{600};
constexpr milliseconds kStopTime{500};
constexpr milliseconds kCancelBound{4500};
constexpr milliseconds kWall{1'000'000};
constexpr std::size_t kMaxAttempts = 3;

}  // namespace

ClusterModel::ClusterModel(ModelOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  options_.dispatch.host = HostId("h0");
  for (std::size_t i = 0; i < options_.workers; ++i) {
    ModelWorker worker;
    worker.registration.worker = WorkerId("w" + std::to_string(i));
    worker.registration.service = "pool";
    worker.registration.address = "addr-" + std::to_string(i);
    worker.registration.kind = i % 3 == 2 ? "b" : "a";
    worker.registration.rack = "r" + std::to_string(i / 4);
    worker.registration.capacity = {i % 2 == 0 ? 16000 : 8000, 32768, 0};
    worker.registration.incarnation_start = milliseconds(1000);
    worker.born_at = now_ - seconds(10);
    worker.rate = i % 4 == 0 ? 0.98 : 1.0;
    workers_.push_back(std::move(worker));
  }
  ReplaceDispatcher();
}

double ClusterModel::Share() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

Duration ClusterModel::Between(Duration least, Duration most) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      least.count(), most.count())(random_));
}

bool ClusterModel::IsFaulty() const {
  return now_ < start_ + options_.faults_until;
}

ModelWorker& ClusterModel::worker(std::size_t index) {
  return workers_.at(index);
}

ModelWorker* ClusterModel::Find(const WorkerId& id) {
  for (ModelWorker& worker : workers_) {
    if (worker.registration.worker == id) return &worker;
  }
  return nullptr;
}

WorkerTimestamp ClusterModel::ClockOf(const ModelWorker& worker) const {
  const std::chrono::duration<double, std::milli> lived = now_ - worker.born_at;
  return WorkerTimestamp(
      static_cast<std::int64_t>(lived.count() * worker.rate));
}

bool ClusterModel::IsReached(const ModelWorker& worker) const {
  return now_ >= worker.cut_until && now_ >= worker.dead_until;
}

void ClusterModel::After(Duration delay, std::function<void()> run) {
  events_.emplace(now_ + delay, std::move(run));
}

ClusterModel::Acting* ClusterModel::FindActing(std::uint64_t term) {
  for (Acting& acting : acting_) {
    if (acting.term == term) return &acting;
  }
  return nullptr;
}

void ClusterModel::Report(const std::string& rule, const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(now_ - start_);
  broken_.push_back(rule + " at " + std::to_string(at.count()) +
                    " ms: " + what);
}

JobRecord ClusterModel::MakeJob(const std::string& name,
                                std::vector<StepSpec> steps) {
  JobRecord record;
  record.id = JobId(name);
  record.queue.name = options_.advice ? "advised" : "plain";
  record.queue.service = "pool";
  record.queue.priority = 0;
  record.queue.max_attempts = kMaxAttempts;
  record.queue.stretch = 2.0;
  record.queue.objective = milliseconds(500);
  if (options_.advice) {
    record.queue.advice =
        AdvicePolicy{milliseconds(20), milliseconds(1), milliseconds(2500)};
  }
  record.spec.payload = name;
  record.spec.steps = std::move(steps);
  record.accepted_at =
      kWall + std::chrono::duration_cast<milliseconds>(now_ - start_);
  return record;
}

void ClusterModel::AddJob(const JobRecord& record) {
  jobs_[record.id] = record;
  for (Acting& acting : acting_) {
    // A host whose lease is over keeps new jobs waiting.
    if (acting.unwritten) continue;
    acting.dispatcher->AddJob(now_, record.accepted_at, record, std::nullopt,
                              false);
  }
}

void ClusterModel::Cancel(const JobId& job) {
  cancelled_.try_emplace(job, now_);
  for (Acting& acting : acting_) acting.dispatcher->CancelJob(job);
}

void ClusterModel::ReplaceDispatcher() {
  for (Acting& acting : acting_) {
    if (acting.unwritten) continue;
    acting.retired_at = now_;
    acting.unwritten = true;
    acting.dispatcher->set_sole_until(now_);
  }
  if (!options_.faults.old_one_goes_on) acting_.clear();
  if (options_.faults.split && !acting_.empty()) {
    split_until_ = now_ + Between(seconds(2), seconds(8));
  }
  Acting acting;
  acting.term = ++fence_;
  acting.dispatcher = std::make_unique<Dispatcher>(options_.dispatch, fence_);
  acting.dispatcher->set_advice_hosts(
      {HostId("h0"), HostId("h1"), HostId("h2")});
  for (const WorkerId& id : roster_) {
    acting.dispatcher->AdoptWorker(now_, Find(id)->registration);
  }
  for (const ModelWorker& worker : workers_) {
    acting.dispatcher->RegisterWorker(now_, worker.registration);
  }
  const milliseconds wall =
      kWall + std::chrono::duration_cast<milliseconds>(now_ - start_);
  for (const auto& [id, record] : jobs_) {
    const auto saved = table_.find(id);
    std::optional<JobProgress> progress;
    if (saved != table_.end()) progress = saved->second;
    acting.dispatcher->AddJob(now_, wall, record, progress, true);
    if (cancelled_.contains(id)) acting.dispatcher->CancelJob(id);
  }
  acting.dispatcher->EndTakeOver();
  acting_.push_back(std::move(acting));
}

void ClusterModel::Play() {
  next_cut_ = now_ + options_.faults.cut_every;
  next_crash_ = now_ + options_.faults.crash_every;
  next_replace_ = now_ + options_.faults.replace_every;
  next_cancel_ = now_ + options_.faults.cancel_every;
  while (now_ < start_ + options_.length) Step();
}

void ClusterModel::RunFor(Duration span) {
  const TimePoint end = now_ + span;
  while (now_ < end) Step();
}

void ClusterModel::Step() {
  now_ += kStep;
  if (IsFaulty()) {
    InjectFaults();
    AddRandomJobs();
  }
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto node = events_.extract(events_.begin());
    node.mapped()();
  }
  AdvanceWorkers();
  DriveDispatchers();
}

void ClusterModel::InjectFaults() {
  const ModelFaults& faults = options_.faults;
  const auto is_due = [this](TimePoint& next, seconds every) {
    if (every.count() == 0 || now_ < next) return false;
    next = now_ + Between(every / 2, every * 3 / 2);
    return true;
  };
  ModelWorker& victim = workers_[random_() % workers_.size()];
  if (is_due(next_cut_, faults.cut_every)) {
    victim.cut_until = now_ + Between(seconds(1), seconds(9));
  }
  if (is_due(next_crash_, faults.crash_every)) {
    victim.dead_until = now_ + Between(milliseconds(200), seconds(6));
    victim.running.clear();
    victim.ended.clear();
    victim.barred.clear();
    victim.last_end = 0;
    victim.forgotten = 0;
    victim.fence = 0;
    victim.deadline = WorkerTimestamp(0);
    victim.born_at = victim.dead_until;
    victim.registration.incarnation_start += seconds(1);
  }
  if (is_due(next_replace_, faults.replace_every)) ReplaceDispatcher();
  if (is_due(next_cancel_, faults.cancel_every) && !jobs_.empty()) {
    auto job = jobs_.begin();
    std::advance(job, random_() % jobs_.size());
    Cancel(job->first);
  }
}

void ClusterModel::AddRandomJobs() {
  const auto passed = now_ - start_;
  const auto wanted = static_cast<std::size_t>(
      static_cast<double>(options_.jobs) * static_cast<double>(passed.count()) /
      static_cast<double>(Duration(options_.faults_until).count()));
  while (added_ < std::min(wanted, options_.jobs)) {
    std::vector<StepSpec> steps(1 + random_() % 3);
    for (std::size_t s = 0; s < steps.size(); ++s) {
      StepSpec& step = steps[s];
      step.task_count = 1 + random_() % 8;
      step.size = {500 + static_cast<std::int64_t>(random_() % 5000),
                   500 + static_cast<std::int64_t>(random_() % 6000), 0};
      step.estimate = milliseconds(300 + random_() % 3000);
      if (s > 0 && random_() % 4 != 0) step.after = {s - 1};
      step.gang = random_() % 8 == 0;
      step.checkpoints = random_() % 3 == 0;
      step.copies_allowed = !step.gang && random_() % 6 == 0;
      if (random_() % 5 == 0) step.most_per_worker = 2;
      // Not wider than the workers that any advice allows.
      if (step.gang) {
        step.task_count = std::min<std::size_t>(step.task_count, 4);
        step.most_per_worker = 0;
      }
    }
    if (random_() % 10 == 0) {
      steps.resize(1);
      steps[0].long_running = true;
      steps[0].gang = false;
      steps[0].copies_allowed = false;
      // Small: what lasts must leave room for what ends.
      steps[0].task_count = 1 + random_() % 3;
      steps[0].size = {500, 1000, 0};
    }
    AddJob(MakeJob("job" + std::to_string(added_++), std::move(steps)));
  }
}

void ClusterModel::End(ModelWorker& worker, const TaskRunKey& run,
                       RunEndReason how) {
  worker.running.erase(run);
  EndedRunReport end;
  end.number = ++worker.last_end;
  end.run = run;
  end.how = how;
  std::uint64_t& barred = worker.barred[run.task];
  barred = std::max(barred, run.number);
  worker.ended.push_back(end);
  if (how == RunEndReason::kDone) ++done_[run.task];
}

void ClusterModel::AdvanceWorkers() {
  for (ModelWorker& worker : workers_) {
    if (now_ < worker.dead_until) continue;
    const bool lapsed =
        worker.deadline.count() > 0 && ClockOf(worker) > worker.deadline;
    std::vector<std::pair<TaskRunKey, RunEndReason>> over;
    for (const auto& [run, going] : worker.running) {
      if (now_ >= going.ends) {
        over.emplace_back(run, going.how);
      } else if (lapsed) {
        over.emplace_back(run, RunEndReason::kLost);
      }
    }
    for (const auto& [run, how] : over) End(worker, run, how);
  }
}

void ClusterModel::DriveDispatchers() {
  for (std::size_t i = 0; i < acting_.size(); ++i) Drive(acting_[i]);
  std::erase_if(acting_, [this](const Acting& acting) {
    const bool over = acting.retired_at != TimePoint::max() &&
                      now_ > acting.retired_at + seconds(12);
    return acting.dispatcher->fenced_off() || over;
  });
}

void ClusterModel::Drive(Acting& acting) {
  const std::uint64_t term = acting.term;
  Dispatcher& dispatcher = *acting.dispatcher;
  DispatchEffects effects;
  const milliseconds wall =
      kWall + std::chrono::duration_cast<milliseconds>(now_ - start_);
  dispatcher.Decide(now_, wall, effects);
  for (const DispatchEffect& effect : effects) {
    std::visit([&](const auto& each) { Carry(term, each); }, effect);
  }
  if (acting.batch || acting.unwritten || !dispatcher.HasDirty()) return;
  acting.batch = dispatcher.TakeBatch(50);
  After(kWriteTime, [this, term] {
    Acting* const writer = FindActing(term);
    if (writer == nullptr) return;
    const ProgressWriteBatch batch = std::move(*writer->batch);
    writer->batch.reset();
    if (writer->unwritten) {
      writer->dispatcher->OnNotSaved(batch);
      return;
    }
    for (const auto& [id, progress] : batch.jobs) {
      const auto before = table_.find(id);
      const bool taken_back = before != table_.end() &&
                              IsFinal(before->second.state) &&
                              before->second.state != progress.state;
      if (taken_back) Report("MIXED", id.value() + " left a final state");
      table_[id] = progress;
    }
    for (const WorkerRegistration& each : batch.enrolled) {
      roster_.insert(each.worker);
    }
    writer->dispatcher->OnSaved(now_, batch);
  });
}

// During a split the newest dispatcher reaches two thirds of the workers, the
// one before it the others.
bool ClusterModel::IsSplitOff(std::uint64_t term,
                              const WorkerId& worker) const {
  if (now_ >= split_until_) return false;
  const bool old_side = worker.value().back() % 3 == 0;
  return (term == fence_) == old_side;
}

// Carries the order to its worker, and the answer back, with the faults of the
// schedule.
template <typename Order, typename Tell>
void ClusterModel::Deliver(std::uint64_t term, const Order& order, Tell tell) {
  using Answer = decltype(Execute(order));
  const double fate = IsFaulty() ? Share() : 1.0;
  const auto fail = [this, tell] {
    After(kOrderTimeout, [tell] { tell(Answer{}); });
  };
  if (fate < options_.faults.late_orders) {
    fail();
    // The worker keeps the order until then; it is lost with its life.
    const milliseconds born =
        Find(order.worker)->registration.incarnation_start;
    After(Between(seconds(2), seconds(12)), [this, order, born] {
      const ModelWorker* const worker = Find(order.worker);
      const bool same_life = worker->registration.incarnation_start == born;
      if (same_life && now_ >= worker->dead_until) Execute(order);
    });
    return;
  }
  After(kTravel, [this, term, order, tell, fail, fate] {
    const bool split = IsSplitOff(term, order.worker);
    if (split || !IsReached(*Find(order.worker))) {
      fail();
      return;
    }
    const Answer answer = Execute(order);
    const double lost =
        options_.faults.late_orders + options_.faults.lost_answers;
    if (fate < lost) {
      fail();
      return;
    }
    After(kTravel, [tell, answer] { tell(answer); });
  });
}

void ClusterModel::Carry(std::uint64_t term, const StartRun& order) {
  Deliver(term, order,
          [this, term, id = order.run_id](const CommandResponse& answer) {
            if (Acting* const acting = FindActing(term)) {
              acting->dispatcher->OnStartResponse(now_, id, answer);
            }
          });
}

void ClusterModel::Carry(std::uint64_t term, const StopRun& order) {
  Deliver(term, order, [this, term, order](const CommandResponse& answer) {
    if (Acting* const acting = FindActing(term)) {
      acting->dispatcher->OnStopAnswer(now_, order.run_id, order.worker,
                                       answer);
    }
  });
}

void ClusterModel::Carry(std::uint64_t /*term*/, const PaceRun& /*order*/) {}

void ClusterModel::Carry(std::uint64_t term, const PollWorker& order) {
  // A poll that may wait is answered when its time is over: ends come with the
  // next one.
  PollWorker delayed = order;
  const Duration wait = order.wait.count() > 0
                            ? Between(milliseconds(5), milliseconds(200))
                            : Duration(0);
  After(wait, [this, term, delayed] {
    Deliver(term, delayed, [this, term, delayed](const PollResponse& answer) {
      if (Acting* const acting = FindActing(term)) {
        acting->dispatcher->OnPollResponse(now_, delayed.worker,
                                           delayed.poll_id, answer);
      }
    });
  });
}

void ClusterModel::Carry(std::uint64_t term, const AdviceRequest& ask) {
  AdviceResponse answer;
  answer.ok = true;
  answer.valid_for = milliseconds(2500);
  for (const WorkerId& id : ask.workers) {
    const std::string pair = ask.step.job.value() + id.value();
    if (std::hash<std::string>{}(pair) % 3 == 0) continue;
    answer.approved.push_back({id, "ticket"});
  }
  After(milliseconds(25), [this, term, id = ask.request_id, answer] {
    if (Acting* const acting = FindActing(term)) {
      acting->dispatcher->OnAdviceResponse(now_, id, answer);
    }
  });
}

bool ClusterModel::IsNoted(const TaskKey& task) const {
  return noted_.contains(task);
}

void ClusterModel::CheckStart(const ModelWorker& worker,
                              const StartRun& order) {
  const TaskKey& task = order.run.task;
  const JobRecord& job = jobs_.at(task.job);
  const StepSpec& step = job.spec.steps.at(task.step);
  const std::string name = task.job.value() + "." + std::to_string(task.step) +
                           "." + std::to_string(task.index) + " on " +
                           worker.registration.worker.value();
  Resources used = step.size;
  std::size_t of_step = 1;
  for (const auto& [run, going] : worker.running) {
    used += going.size;
    if (run.task.job == task.job && run.task.step == task.step) ++of_step;
  }
  if (!Fits(used, worker.registration.capacity)) Report("LIMIT", name);
  if (step.most_per_worker > 0 && of_step > step.most_per_worker) {
    Report("ROUTE", name);
  }
  if (!step.copies_allowed) {
    for (const ModelWorker& other : workers_) {
      if (now_ < other.dead_until) continue;
      for (const auto& [run, going] : other.running) {
        if (run.task == task) {
          Report("TWICE",
                 name + " runs on " + other.registration.worker.value());
        }
      }
    }
    if (IsNoted(task)) Report("TWICE", name + " was done");
  }
  for (const std::size_t earlier : step.after) {
    const std::size_t count = job.spec.steps[earlier].task_count;
    for (std::size_t i = 0; i < count; ++i) {
      const TaskKey before{task.job, task.occurrence, earlier, i};
      const bool gang = job.spec.steps[earlier].gang;
      bool done = done_.contains(before);
      for (std::size_t k = 0; gang && k < count; ++k) {
        done = done || done_.contains({task.job, task.occurrence, earlier, k});
      }
      if (!done) Report("ORDER", name);
    }
  }
  const auto failed = failed_noted_.find(task);
  if (failed != failed_noted_.end() && !step.long_running &&
      failed->second >= kMaxAttempts) {
    Report("BUDGET", name);
  }
  const auto cancelled = cancelled_.find(task.job);
  if (cancelled != cancelled_.end() &&
      now_ > cancelled->second + kCancelBound) {
    Report("UNASKED", name);
  }
}

CommandResponse ClusterModel::Execute(const StartRun& order) {
  ModelWorker& worker = *Find(order.worker);
  CommandResponse answer;
  answer.fence = order.fence;
  answer.clock = ClockOf(worker);
  if (order.fence < worker.fence) {
    answer.outcome = CommandOutcome::kFenced;
    return answer;
  }
  worker.fence = order.fence;
  worker.deadline = std::max(worker.deadline, order.deadline);
  answer.outcome = CommandOutcome::kDone;
  if (worker.running.contains(order.run)) return answer;
  const auto barred = worker.barred.find(order.run.task);
  if (barred != worker.barred.end() && order.run.number <= barred->second) {
    answer.outcome = CommandOutcome::kSuperseded;
    return answer;
  }
  if (ClockOf(worker) > order.deadline) {
    answer.outcome = CommandOutcome::kDeadlineExceeded;
    return answer;
  }
  CheckStart(worker, order);
  ++started_;
  const StepSpec& step =
      jobs_.at(order.run.task.job).spec.steps.at(order.run.task.step);
  ModelWorker::Going going;
  going.size = step.size;
  going.lasting = step.long_running;
  const bool fails = IsFaulty() && Share() < options_.faults.failing_runs;
  going.how = fails ? RunEndReason::kFailed : RunEndReason::kDone;
  going.ends = step.long_running && !fails ? TimePoint::max()
                                           : now_ + Duration(step.estimate);
  worker.running.emplace(order.run, going);
  return answer;
}

CommandResponse ClusterModel::Execute(const StopRun& order) {
  ModelWorker& worker = *Find(order.worker);
  CommandResponse answer;
  answer.fence = order.fence;
  answer.clock = ClockOf(worker);
  if (order.fence < worker.fence) {
    answer.outcome = CommandOutcome::kFenced;
    return answer;
  }
  worker.fence = order.fence;
  answer.outcome = CommandOutcome::kDone;
  std::uint64_t& barred = worker.barred[order.run.task];
  barred = std::max(barred, order.run.number);
  const auto found = worker.running.find(order.run);
  if (found == worker.running.end()) return answer;
  found->second.how = RunEndReason::kStopped;
  found->second.ends = std::min(found->second.ends, now_ + kStopTime);
  return answer;
}

PollResponse ClusterModel::Execute(const PollWorker& order) {
  ModelWorker& worker = *Find(order.worker);
  PollResponse answer;
  answer.fence = order.fence;
  answer.clock = ClockOf(worker);
  answer.incarnation_start = worker.registration.incarnation_start;
  if (order.fence < worker.fence) {
    answer.outcome = CommandOutcome::kFenced;
    return answer;
  }
  worker.fence = order.fence;
  if (order.deadline) {
    worker.deadline = std::max(worker.deadline, *order.deadline);
  }
  std::erase_if(worker.ended, [&](const EndedRunReport& end) {
    if (end.number > order.persisted_end) return false;
    if (end.how == RunEndReason::kDone) noted_.insert(end.run.task);
    if (end.how == RunEndReason::kFailed) ++failed_noted_[end.run.task];
    return true;
  });
  answer.outcome = CommandOutcome::kDone;
  answer.ended = worker.ended;
  for (const auto& [run, going] : worker.running) {
    answer.running.push_back(ActiveRunReport{run, "", 50, 0});
  }
  return answer;
}

std::size_t ClusterModel::CountRunning(const JobId& job) const {
  std::size_t count = 0;
  for (const ModelWorker& worker : workers_) {
    for (const auto& [run, going] : worker.running) {
      if (run.task.job == job) ++count;
    }
  }
  return count;
}

std::vector<std::string> ClusterModel::Unfinished() const {
  std::vector<std::string> out;
  for (const auto& [id, record] : jobs_) {
    const auto saved = table_.find(id);
    const JobPhase phase =
        saved == table_.end() ? JobPhase::kQueued : saved->second.state;
    if (record.spec.steps.front().long_running) {
      const bool gone = cancelled_.contains(id) || IsFinal(phase);
      const std::size_t wanted =
          gone ? 0 : record.spec.steps.front().task_count;
      if (CountRunning(id) != wanted) {
        out.push_back(id.value() + " lasts with " +
                      std::to_string(CountRunning(id)) + " of " +
                      std::to_string(wanted));
      }
      continue;
    }
    if (!IsFinal(phase)) out.push_back(id.value() + " is not ended");
  }
  return out;
}

}  // namespace chivewing
