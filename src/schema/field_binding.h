#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "schema/field.h"

namespace chivewing {

// Conversions between members of a struct and field values, so that a table of
// field specs can be read into and written from that struct. An enumeration
// used as a member needs its own pair of overloads beside its bindings.
inline FieldValue ToFieldValue(bool value) { return value; }
inline FieldValue ToFieldValue(int value) {
  return static_cast<std::int64_t>(value);
}
inline FieldValue ToFieldValue(std::int64_t value) { return value; }
inline FieldValue ToFieldValue(double value) { return value; }
inline FieldValue ToFieldValue(const std::string& value) { return value; }
inline FieldValue ToFieldValue(const std::vector<std::string>& value) {
  return value;
}
template <typename Tag>
FieldValue ToFieldValue(const Id<Tag>& id) {
  return id.value();
}
template <typename Rep, typename Period>
FieldValue ToFieldValue(std::chrono::duration<Rep, Period> value) {
  return static_cast<std::int64_t>(value.count());
}
template <typename Tag>
FieldValue ToFieldValue(const std::vector<Id<Tag>>& ids) {
  std::vector<std::string> names;
  names.reserve(ids.size());
  for (const Id<Tag>& id : ids) names.push_back(id.value());
  return names;
}

inline void FromFieldValue(const FieldValue& value, bool& member) {
  member = std::get<bool>(value);
}
inline void FromFieldValue(const FieldValue& value, int& member) {
  member = static_cast<int>(std::get<std::int64_t>(value));
}
inline void FromFieldValue(const FieldValue& value, std::int64_t& member) {
  member = std::get<std::int64_t>(value);
}
inline void FromFieldValue(const FieldValue& value, double& member) {
  member = std::get<double>(value);
}
inline void FromFieldValue(const FieldValue& value, std::string& member) {
  member = std::get<std::string>(value);
}
inline void FromFieldValue(const FieldValue& value,
                           std::vector<std::string>& member) {
  member = std::get<std::vector<std::string>>(value);
}
template <typename Tag>
void FromFieldValue(const FieldValue& value, Id<Tag>& member) {
  member = Id<Tag>(std::get<std::string>(value));
}
template <typename Rep, typename Period>
void FromFieldValue(const FieldValue& value,
                    std::chrono::duration<Rep, Period>& member) {
  member = std::chrono::duration<Rep, Period>(std::get<std::int64_t>(value));
}
template <typename Tag>
void FromFieldValue(const FieldValue& value, std::vector<Id<Tag>>& member) {
  member.clear();
  for (const std::string& name : std::get<std::vector<std::string>>(value)) {
    member.emplace_back(name);
  }
}

// Gets and sets one field of a `Model` as a field value.
template <typename Model>
struct FieldBinding {
  std::function<FieldValue(const Model&)> get;
  std::function<void(Model&, const FieldValue&)> set;
};

// Binds a direct member of the model.
template <typename Model, typename Member>
FieldBinding<Model> Bind(Member Model::*member) {
  return {[member](const Model& model) { return ToFieldValue(model.*member); },
          [member](Model& model, const FieldValue& value) {
            FromFieldValue(value, model.*member);
          }};
}

// Binds a member of a struct nested in the model.
template <typename Model, typename Part, typename Member>
FieldBinding<Model> Bind(Part Model::*part, Member Part::*member) {
  return {[part, member](const Model& model) {
            return ToFieldValue(model.*part.*member);
          },
          [part, member](Model& model, const FieldValue& value) {
            FromFieldValue(value, model.*part.*member);
          }};
}

}  // namespace chivewing
