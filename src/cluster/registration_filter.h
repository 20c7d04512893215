#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/platform_interface.h"

namespace chivewing {

// Decides which registrations the dispatcher is told of. One whose service is
// named neither by the desired state nor by an accepted job is held back until
// it is: it may be of another writer, or ahead of a desired state that this
// host has not read yet. A worker that the dispatcher tracks is never forgotten
// for the desired state alone: its service may have been dropped while it runs
// tasks. Does no I/O apart from logging.
class RegistrationFilter {
 public:
  // The service of a worker that the dispatcher tracks; nullptr if it tracks no
  // such worker.
  using ServiceOfTracked = std::function<const std::string*(const WorkerId&)>;

  // The services of the newest desired state that this host has read.
  void set_services(std::set<std::string> services) {
    services_ = std::move(services);
  }
  // A job that was accepted for the service. Returns whether no earlier one
  // was.
  bool AddJobService(const std::string& service) {
    return job_services_.insert(service).second;
  }
  bool IsNamed(const std::string& service) const {
    return services_.contains(service) || job_services_.contains(service);
  }

  // What the dispatcher is to be told of an update that has one entry of each
  // worker. A full list replaces what was held back.
  WorkerListUpdate Filter(const WorkerListUpdate& update, bool is_full_list,
                          const ServiceOfTracked& service_of_tracked);
  // The registrations held back whose service has been named since.
  std::vector<WorkerRegistration> TakeNamed();
  // To be called when another dispatcher begins, which knows no job yet.
  void Reset();

  std::size_t held_back() const { return held_back_.size(); }

 private:
  bool IsWorker(const WorkerRegistration& registration,
                const ServiceOfTracked& service_of_tracked) const;
  void HoldBack(const WorkerRegistration& registration);

  std::set<std::string> services_;
  std::set<std::string> job_services_;
  std::map<WorkerId, WorkerRegistration> held_back_;
};

}  // namespace chivewing
