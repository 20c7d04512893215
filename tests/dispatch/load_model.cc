#include "dispatch/load_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "dispatch/job_urgency.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeStep{1};
constexpr milliseconds kResponseDelay{3};
constexpr milliseconds kTableWriteDelay{12};
constexpr milliseconds kWallClockStart{1'000'000};
constexpr std::size_t kRowsPerBatch = 60;
constexpr std::size_t kWorkersPerRack = 20;
constexpr milliseconds kTicketLifetime{2500};

LoadQueue MakeQueue(const std::string& name, int priority,
                    AdvicePolicy advice) {
  LoadQueue out;
  out.queue.name = name;
  out.queue.service = "pool";
  out.queue.priority = priority;
  out.queue.max_attempts = 4;
  out.queue.stretch = 2.0;
  out.queue.objective = milliseconds(1000);
  out.queue.advice = advice;
  return out;
}

}  // namespace

std::vector<LoadQueue> DayQueues() {
  using std::chrono::microseconds;
  LoadQueue quick = MakeQueue(
      "quick", 0, {microseconds(27300), microseconds(390), kTicketLifetime});
  quick.jobs_per_second = 41.6;
  quick.steps = 2;
  quick.tasks = 8;
  quick.task_time = milliseconds(800);
  quick.size = {2200, 4100, 0};
  quick.approved = 0.7;
  LoadQueue batch = MakeQueue(
      "batch", 2, {microseconds(494000), microseconds(7150), kTicketLifetime});
  batch.jobs_per_second = 4.6;
  batch.steps = 2;
  batch.tasks = 17;
  batch.task_time = milliseconds(4800);
  batch.size = {4500, 8300, 0};
  batch.approved = 0.35;
  LoadQueue lasting =
      MakeQueue("lasting", 1,
                {microseconds(585000), microseconds(8450), kTicketLifetime});
  lasting.jobs_per_second = 0.33;
  lasting.tasks = 20;
  lasting.size = {4500, 4600, 0};
  lasting.long_running = true;
  lasting.approved = 0.35;
  return {quick, batch, lasting};
}

std::vector<LoadQueue> FullSiteQueues() {
  using std::chrono::microseconds;
  std::vector<LoadQueue> queues = DayQueues();
  LoadQueue& quick = queues[0];
  quick.queue.advice = {microseconds(42900), microseconds(611),
                        kTicketLifetime};
  quick.queue.stretch = 1.5;
  quick.queue.objective = milliseconds(300);
  quick.jobs_per_second = 47;
  quick.tasks = 9.4;
  quick.task_time = milliseconds(640);
  quick.size = {3600, 7300, 0};
  LoadQueue& batch = queues[1];
  batch.queue.advice = {microseconds(546000), microseconds(7800),
                        kTicketLifetime};
  batch.queue.stretch = 2.2;
  batch.queue.objective = milliseconds(1200);
  batch.jobs_per_second = 7.3;
  batch.tasks = 16;
  LoadQueue& lasting = queues[2];
  lasting.jobs_per_second = 0.51;
  return queues;
}

LoadModel::LoadModel(LoadOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      dispatcher_(DispatchOptions{}, 1),
      due_jobs_(options_.queues.size()) {
  std::set<HostId> hosts;
  for (std::size_t i = 0; i < options_.advice_hosts; ++i) {
    hosts.insert(HostId("h" + std::to_string(i)));
  }
  dispatcher_.set_advice_hosts(hosts);
  const std::vector<std::int64_t> sizes = {16000, 16000, 8000, 32000};
  for (std::size_t i = 0; i < options_.workers; ++i) {
    Worker worker;
    WorkerRegistration& registration = worker.registration;
    registration.worker = WorkerId("w" + std::to_string(i));
    registration.service = "pool";
    registration.address = "addr-" + std::to_string(i);
    registration.kind = i % 3 == 2 ? "b" : "a";
    registration.rack = "r" + std::to_string(i / kWorkersPerRack);
    const std::int64_t size = sizes[i % sizes.size()];
    registration.capacity = {size, size * 2048 / 1000, 0};
    registration.incarnation_start = milliseconds(1000);
    dispatcher_.RegisterWorker(now_, registration);
    workers_.emplace(registration.worker, std::move(worker));
  }
}

milliseconds LoadModel::wall() const {
  return kWallClockStart +
         std::chrono::duration_cast<milliseconds>(now_ - start_);
}

WorkerTimestamp LoadModel::clock() const {
  return std::chrono::duration_cast<WorkerTimestamp>(now_ - start_) +
         milliseconds(60'000);
}

void LoadModel::After(Duration delay, std::function<void()> run) {
  events_.emplace(now_ + delay, std::move(run));
}

void LoadModel::Run() { RunUntil(options_.length, false); }

void LoadModel::RunUntil(Duration until, bool idle) {
  TimePoint next = now_;
  while (now_ < start_ + until) {
    now_ += kTimeStep;
    const std::uint64_t added = added_;
    if (!idle) AddArrivals();
    bool has_events = added != added_;
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto node = events_.extract(events_.begin());
      node.mapped()();
      has_events = true;
    }
    if (IsInOutage() || (!has_events && now_ < next)) continue;
    for (const auto& [accepted_at, record] : std::exchange(held_back_, {})) {
      dispatcher_.AddJob(now_, accepted_at, record, std::nullopt, false);
    }
    ++turns_;
    DispatchEffects effects;
    next = dispatcher_.Decide(now_, wall(), effects);
    for (const DispatchEffect& effect : effects) {
      std::visit([&](const auto& each) { CarryOut(each); }, effect);
    }
    WriteBatch();
  }
}

bool LoadModel::IsInOutage() const {
  const TimePoint from = start_ + options_.outage_at;
  return now_ >= from && now_ < from + options_.outage_length;
}

void LoadModel::AddArrivals() {
  const TimePoint burst_from = start_ + options_.burst_at;
  const bool in_burst =
      now_ >= burst_from && now_ < burst_from + options_.burst_length;
  const double factor = options_.load * (in_burst ? options_.burst : 1.0);
  const double span = std::chrono::duration<double>(kTimeStep).count();
  for (std::size_t i = 0; i < options_.queues.size(); ++i) {
    due_jobs_[i] += options_.queues[i].jobs_per_second * factor * span;
    for (; due_jobs_[i] >= 1; due_jobs_[i] -= 1) AddJob(options_.queues[i]);
  }
}

void LoadModel::AddJob(const LoadQueue& queue) {
  JobRecord record;
  record.id = JobId("job-" + std::to_string(added_++));
  record.queue = queue.queue;
  record.spec.payload = "payload";
  record.accepted_at = wall();
  for (std::size_t s = 0; s < queue.steps; ++s) {
    StepSpec step;
    step.task_count =
        static_cast<std::size_t>(std::max(1.0, queue.tasks * Draw()));
    const double size = Draw();
    step.size.processors_milli = static_cast<std::int64_t>(
        static_cast<double>(queue.size.processors_milli) * size);
    step.size.memory_mb = static_cast<std::int64_t>(
        static_cast<double>(queue.size.memory_mb) * Draw());
    step.estimate = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(queue.task_time.count()) * Draw()));
    step.long_running = queue.long_running;
    if (s > 0) step.after = {s - 1};
    record.spec.steps.push_back(step);
  }
  jobs_.emplace(record.id, Job{&queue, now_, now_ + JobObjective(record)});
  held_back_.emplace_back(now_, std::move(record));
}

void LoadModel::WriteBatch() {
  if (batch_ || !dispatcher_.HasDirty()) return;
  batch_ = dispatcher_.TakeBatch(kRowsPerBatch);
  After(batch_->empty() ? Duration(0) : Duration(kTableWriteDelay), [this] {
    const ProgressWriteBatch batch = std::move(*batch_);
    batch_.reset();
    dispatcher_.OnSaved(now_, batch);
    for (const auto& [id, progress] : batch.jobs) {
      if (progress.state == JobPhase::kCompleted)
        jobs_.at(id).completed_at = now_;
    }
  });
}

double LoadModel::FractionInTime(const std::string& queue, Duration from,
                                 Duration to) const {
  std::size_t accepted = 0;
  std::size_t in_time = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.queue->queue.name != queue || job.accepted_at < start_ + from ||
        job.accepted_at >= start_ + to) {
      continue;
    }
    ++accepted;
    if (job.completed_at <= job.due) ++in_time;
  }
  return static_cast<double>(in_time) / static_cast<double>(accepted);
}

void LoadModel::CarryOut(const StartRun& command) {
  After(kResponseDelay, [this, command] {
    Worker& worker = workers_.at(command.worker);
    const JobRecord& record =
        dispatcher_.state().jobs.at(command.run.task.job).record;
    const StepSpec& step = record.spec.steps.at(command.run.task.step);
    worker.running[command.run] = now_;
    if (!step.long_running) {
      After(step.estimate, [this, command] {
        EndRun(workers_.at(command.worker), command.run);
      });
    }
    CommandResponse response;
    response.outcome = CommandOutcome::kDone;
    response.fence = command.fence;
    response.clock = clock();
    dispatcher_.OnStartResponse(now_, command.run_id, response);
  });
}

void LoadModel::CarryOut(const StopRun& command) {
  After(kResponseDelay, [this, command] {
    EndRun(workers_.at(command.worker), command.run);
    CommandResponse response;
    response.outcome = CommandOutcome::kDone;
    response.fence = command.fence;
    response.clock = clock();
    dispatcher_.OnStopAnswer(now_, command.run_id, command.worker, response);
  });
}

void LoadModel::CarryOut(const PaceRun& /*command*/) {}

void LoadModel::EndRun(Worker& worker, const TaskRunKey& run) {
  if (worker.running.erase(run) == 0) return;
  ++ends_;
  worker.ended.push_back({++worker.last_end, run, RunEndReason::kDone, ""});
  if (worker.held) AnswerPoll(worker);
}

void LoadModel::CarryOut(const PollWorker& command) {
  After(kResponseDelay / 2, [this, command] {
    Worker& worker = workers_.at(command.worker);
    std::erase_if(worker.ended, [&](const EndedRunReport& end) {
      return end.number <= command.persisted_end;
    });
    worker.held = command;
    if (command.wait.count() == 0 || !worker.ended.empty()) {
      AnswerPoll(worker);
      return;
    }
    After(command.wait, [this, &worker, id = command.poll_id] {
      if (worker.held && worker.held->poll_id == id) AnswerPoll(worker);
    });
  });
}

void LoadModel::AnswerPoll(Worker& worker) {
  PollResponse response;
  response.outcome = CommandOutcome::kDone;
  response.fence = worker.held->fence;
  response.clock = clock();
  response.incarnation_start = worker.registration.incarnation_start;
  response.ended = worker.ended;
  for (const auto& [run, started] : worker.running) {
    response.running.push_back(ActiveRunReport{run, "", 50, 0});
  }
  const std::uint64_t poll = worker.held->poll_id;
  worker.held.reset();
  After(kResponseDelay / 2, [this, &worker, poll, response] {
    dispatcher_.OnPollResponse(now_, worker.registration.worker, poll,
                               response);
  });
}

void LoadModel::CarryOut(const AdviceRequest& request) {
  const LoadQueue& queue = *jobs_.at(request.step.job).queue;
  AdviceResponse response;
  response.ok = true;
  response.valid_for = queue.queue.advice->valid_for;
  for (const WorkerId& id : request.workers) {
    const std::string pair = request.step.job.value() + id.value();
    const std::size_t draw = std::hash<std::string>{}(pair) % 100;
    if (static_cast<double>(draw) < queue.approved * 100) {
      response.approved.push_back({id, "ticket"});
    }
  }
  const auto duration = queue.queue.advice->decide +
                        queue.queue.advice->each *
                            static_cast<std::int64_t>(request.workers.size());
  TimePoint& busy_until = advice_busy_until_[request.advice_host];
  busy_until = std::max(busy_until, now_) + Duration(duration);
  After(busy_until - now_, [this, id = request.request_id, response] {
    dispatcher_.OnAdviceResponse(now_, id, response);
  });
}

}  // namespace chivewing
