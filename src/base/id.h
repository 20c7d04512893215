#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace chivewing {

// String identifier of one kind of object. The tag makes ids of different
// kinds distinct types, so that one cannot be passed for another.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the operator
  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;

 private:
  std::string value_;
};

using HostId = Id<struct HostTag>;      // an entry host
using ZoneId = Id<struct ZoneTag>;      // an availability zone
using WorkerId = Id<struct WorkerTag>;  // a worker of the platform
using InstanceId =
    Id<struct InstanceTag>;  // a running instance of a service (a target)
using TaskId = Id<struct TaskTag>;        // a task of a job or service
using JobId = Id<struct JobTag>;          // a submitted job
using EntryName = Id<struct EntryTag>;    // a catalogue entry
using OwnerId = Id<struct OwnerTag>;      // a client account: owner of an entry
using RequestId = Id<struct RequestTag>;  // a request from a client

}  // namespace chivewing

template <typename Tag>
struct std::hash<chivewing::Id<Tag>> {
  std::size_t operator()(const chivewing::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
