#include "workers/worker_codec.h"

#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpPreconditionFailed = 412;

Json EncodeStart(const StartTaskCommand& order) {
  return {{"task", order.task.value()},
          {"entry", order.entry.value()},
          {"service", order.service},
          {"processors_milli", order.processors_milli},
          {"memory_mb", order.memory_mb},
          {"accelerators", order.accelerators},
          {"priority", order.priority},
          {"run_ms", order.run_time.count()},
          {"slots", order.slots},
          {"connections", order.connections}};
}

std::string_view ModeOf(WorkerRequestKind kind) {
  if (kind == WorkerRequestKind::kCheckpoint) return "checkpoint";
  if (kind == WorkerRequestKind::kThrottle) return "throttle";
  return "stop";
}

StartStatus ParseStartStatus(const std::string& word) {
  if (word == "started") return StartStatus::kStarted;
  if (word == "exists") return StartStatus::kAlreadyExists;
  if (word == "no_room") return StartStatus::kNoRoom;
  return StartStatus::kFailed;
}

WorkerTaskState ParseTaskState(const std::string& word) {
  if (word == "running") return WorkerTaskState::kRunning;
  if (word == "done") return WorkerTaskState::kDone;
  if (word == "checkpointed") return WorkerTaskState::kCheckpointed;
  if (word == "stopped") return WorkerTaskState::kStopped;
  if (word == "lapsed") return WorkerTaskState::kLeaseExpired;
  return WorkerTaskState::kFailed;
}

void ReadStarted(const Json& answer, WorkerResponse& reply) {
  for (const Json& each : answer.at("results")) {
    reply.started.push_back({TaskId(each.at("task").get<std::string>()),
                             ParseStartStatus(each.at("status")),
                             each.value("address", std::string())});
  }
}

void ReadTasks(const Json& list, WorkerResponse& reply) {
  for (const Json& each : list) {
    reply.tasks.emplace_back(each.get<std::string>());
  }
}

void ReadListed(const Json& answer, WorkerResponse& reply) {
  for (const Json& each : answer.at("tasks")) {
    WorkerTask task;
    task.task = TaskId(each.at("task").get<std::string>());
    task.state = ParseTaskState(each.at("state"));
    task.address = each.value("address", std::string());
    task.processors_milli = each.value("processors_milli", std::int64_t{0});
    task.memory_mb = each.value("memory_mb", std::int64_t{0});
    reply.listed.push_back(std::move(task));
  }
}

void ReadResponse(WorkerRequestKind kind, const Json& answer,
                  WorkerResponse& reply) {
  switch (kind) {
    case WorkerRequestKind::kStart:
      ReadStarted(answer, reply);
      break;
    case WorkerRequestKind::kStop:
    case WorkerRequestKind::kCheckpoint:
    case WorkerRequestKind::kThrottle:
      ReadTasks(answer.at("stopped"), reply);
      break;
    case WorkerRequestKind::kRenew:
      ReadTasks(answer.at("unknown"), reply);
      break;
    case WorkerRequestKind::kList:
      ReadListed(answer, reply);
      break;
  }
}

}  // namespace

std::string_view PathOf(WorkerRequestKind kind) {
  switch (kind) {
    case WorkerRequestKind::kStart:
      return "/tasks/start";
    case WorkerRequestKind::kRenew:
      return "/tasks/renew";
    case WorkerRequestKind::kList:
      return "/tasks";
    case WorkerRequestKind::kStop:
    case WorkerRequestKind::kCheckpoint:
    case WorkerRequestKind::kThrottle:
      return "/tasks/stop";
  }
  return "/tasks";
}

std::string EncodeWorkerCall(const WorkerRequest& call) {
  if (call.kind == WorkerRequestKind::kList) return {};
  Json body = {{"epoch", call.epoch}, {"lease_ms", call.lease.count()}};
  if (call.not_after) body["not_after_ms"] = call.not_after->count();
  Json& tasks = body["tasks"] = Json::array();
  if (call.kind == WorkerRequestKind::kStart) {
    for (const StartTaskCommand& each : call.starts)
      tasks.push_back(EncodeStart(each));
    return body.dump();
  }
  for (const TaskId& each : call.tasks) tasks.push_back(each.value());
  if (call.kind != WorkerRequestKind::kRenew) body["mode"] = ModeOf(call.kind);
  return body.dump();
}

void DecodeWorkerReply(WorkerRequestKind kind, int http_status,
                       std::string_view body, WorkerResponse& reply) {
  try {
    const Json answer = Json::parse(body);
    reply.worker_clock =
        std::chrono::milliseconds(answer.value("clock_ms", std::int64_t{0}));
    if (http_status == kHttpPreconditionFailed) {
      reply.epoch = answer.value("epoch", std::uint64_t{0});
      reply.status = WorkerResponseStatus::kRefused;
      return;
    }
    if (http_status != kHttpOk) return;
    ReadResponse(kind, answer, reply);
    reply.status = WorkerResponseStatus::kAnswered;
  } catch (const Json::exception&) {
    reply.status = WorkerResponseStatus::kNoResponse;
  }
}

}  // namespace chivewing
