#include "entry/request_state.h"

#include <array>
#include <nlohmann/json.hpp>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr double kNanosecondsPerMicrosecond = 1000.0;
constexpr std::array<const char*, 3> kInstanceStateNames = {"in_use", "leaving",
                                                            "blocked"};
constexpr std::array<const char*, 4> kHealthNames = {"good", "suspect",
                                                     "put_aside", "trial"};

double Microseconds(Duration time) {
  return static_cast<double>(time.count()) / kNanosecondsPerMicrosecond;
}

Json InstanceToJson(const InstanceSummary& instance) {
  return {{"instance", instance.id.value()},
          {"entry", instance.entry.value()},
          {"state", kInstanceStateNames.at(static_cast<int>(instance.state))},
          {"health", kHealthNames.at(static_cast<int>(instance.health))},
          {"share_epoch", instance.share_epoch},
          {"slots", instance.slots},
          {"in_flight", instance.in_flight},
          {"left_behind", instance.abandoned_slots},
          {"connections", instance.open_connections},
          {"mean_service_us", Microseconds(instance.mean_service)}};
}

Json PeerToJson(const PeerSummary& peer) {
  Json out = {{"peer", peer.peer.value()},
              {"forwards_in_flight", peer.forwards_in_flight}};
  for (const EntryLoad& load : peer.entries) {
    out["load"][load.entry.value()] = {{"slots", load.slots},
                                       {"free_slots", load.free_slots},
                                       {"queued", load.queued}};
  }
  return out;
}

Json CountersToJson(const RouterCounters& counters) {
  return {{"submitted", counters.submitted},
          {"done", counters.done},
          {"not_run", counters.not_run},
          {"unknown", counters.unknown},
          {"dispatched", counters.dispatched},
          {"forwarded", counters.forwarded},
          {"retried", counters.retried},
          {"retries_refused", counters.retries_refused},
          {"put_aside", counters.ejections},
          {"readmitted", counters.readmitted},
          {"reports_sent", counters.reports_sent}};
}

}  // namespace

Json RouterStateToJson(const RouterState& state) {
  Json out = {{"stopping", state.stopping},
              {"waiting_now", state.waiting},
              {"in_flight", state.in_flight},
              {"forwarded_now", state.forwarded},
              {"router", CountersToJson(state.counters)}};
  Json& instances = out["instances"] = Json::array();
  for (const InstanceSummary& each : state.instances) {
    instances.push_back(InstanceToJson(each));
  }
  Json& peers = out["peers"] = Json::array();
  for (const PeerSummary& each : state.peers) {
    peers.push_back(PeerToJson(each));
  }
  return out;
}

Json ClaimCountersToJson(const ClaimCounters& counters) {
  return {{"keys", counters.keys},
          {"unrecorded", counters.unrecorded},
          {"in_flight", counters.in_flight},
          {"granted", counters.granted},
          {"refused", counters.refused},
          {"answered", counters.answered},
          {"conflicts", counters.conflicts},
          {"record_failed", counters.record_failed}};
}

Json HistogramToJson(const LatencyHistogram& histogram) {
  return {{"count", histogram.count()},
          {"mean_us", Microseconds(histogram.mean())},
          {"p50_us", Microseconds(histogram.Quantile(0.5))},
          {"p99_us", Microseconds(histogram.Quantile(0.99))},
          {"p999_us", Microseconds(histogram.Quantile(0.999))}};
}

}  // namespace chivewing
