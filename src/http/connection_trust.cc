#include "http/connection_trust.h"

namespace chivewing {

void ConnectionTrust::OnTimeout(TimePoint now, const std::string& address) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now > item.second.timed_out_at + max_idle_;
  });
  suspects_[address] = {now, {}};
}

void ConnectionTrust::OnAlive(const std::string& address, int local_port) {
  const auto found = suspects_.find(address);
  if (found != suspects_.end()) found->second.alive_ports.insert(local_port);
}

bool ConnectionTrust::IsTrusted(TimePoint now, const std::string& address,
                                int local_port) const {
  const auto found = suspects_.find(address);
  if (found == suspects_.end()) return true;
  const Suspect& suspect = found->second;
  return now > suspect.timed_out_at + max_idle_ ||
         suspect.alive_ports.contains(local_port);
}

}  // namespace chivewing
