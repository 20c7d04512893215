#include "cluster/incarnation_connections.h"

#include <algorithm>

namespace chivewing {
namespace {

// Connections kept for each address. One that is forgotten counts as leading to
// another incarnation.
constexpr std::size_t kMaxConnectionsPerAddress = 8;

}  // namespace

IncarnationConnections::Connection* IncarnationConnections::Find(
    const std::string& address, int local_port) {
  const auto found = connections_.find(address);
  if (found == connections_.end()) return nullptr;
  const auto connection = std::find_if(
      found->second.begin(), found->second.end(),
      [&](const Connection& each) { return each.local_port == local_port; });
  return connection == found->second.end() ? nullptr : &*connection;
}

void IncarnationConnections::Add(const std::string& address,
                                 Connection connection) {
  Connections& known = connections_[address];
  known.push_back(connection);
  if (known.size() > kMaxConnectionsPerAddress) known.pop_front();
}

void IncarnationConnections::Forget(const std::string& address,
                                    int local_port) {
  const auto found = connections_.find(address);
  if (found == connections_.end()) return;
  std::erase_if(found->second, [local_port](const Connection& each) {
    return each.local_port == local_port;
  });
  if (found->second.empty()) connections_.erase(found);
}

void IncarnationConnections::OnOpened(const std::string& address,
                                      int local_port) {
  const std::lock_guard lock(mutex_);
  Forget(address, local_port);
  Add(address, {.local_port = local_port, .busy = true});
}

void IncarnationConnections::OnReused(const std::string& address,
                                      int local_port) {
  const std::lock_guard lock(mutex_);
  if (Connection* const known = Find(address, local_port)) known->busy = true;
}

void IncarnationConnections::OnNoneIdle(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(address);
  if (found == connections_.end()) return;
  std::erase_if(found->second,
                [](const Connection& each) { return !each.busy; });
  if (found->second.empty()) connections_.erase(found);
}

void IncarnationConnections::OnEnded(const std::string& address, int local_port,
                                     bool answered) {
  const std::lock_guard lock(mutex_);
  if (!answered) {
    Forget(address, local_port);
  } else if (Connection* const known = Find(address, local_port)) {
    known->busy = false;
  }
}

void IncarnationConnections::OnAnswer(const std::string& address,
                                      int local_port, Incarnation incarnation) {
  const std::lock_guard lock(mutex_);
  if (incarnation.count() <= 0) return;
  if (Connection* const known = Find(address, local_port)) {
    known->incarnation = incarnation;
  } else {
    Add(address, {.local_port = local_port, .incarnation = incarnation});
  }
}

bool IncarnationConnections::LeadsTo(const std::string& address, int local_port,
                                     Incarnation incarnation) const {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(address);
  if (found == connections_.end() || incarnation.count() <= 0) return false;
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const Connection& each) {
        return each.local_port == local_port && each.incarnation == incarnation;
      });
}

bool IncarnationConnections::Admit(const std::string& address,
                                   Incarnation incarnation) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(address);
  if (found == connections_.end()) return false;
  std::size_t leading = 0;
  std::size_t idle = 0;
  for (const Connection& each : found->second) {
    if (each.incarnation != incarnation) continue;
    ++leading;
    if (!each.busy) ++idle;
  }
  const auto before = on_their_way_.find(address);
  const std::size_t on_their_way =
      before == on_their_way_.end() ? 0 : before->second;
  if (idle <= on_their_way && leading < max_connections_) return false;
  ++on_their_way_[address];
  return true;
}

void IncarnationConnections::OnArrived(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const auto found = on_their_way_.find(address);
  if (found == on_their_way_.end()) return;
  if (--found->second == 0) on_their_way_.erase(found);
}

}  // namespace chivewing
