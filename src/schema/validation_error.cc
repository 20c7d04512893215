#include "schema/validation_error.h"

#include <algorithm>
#include <utility>

namespace chivewing {

std::string Describe(const ValidationError& error) {
  std::string line = error.file;
  if (error.line > 0) line += ":" + std::to_string(error.line);
  if (!line.empty()) line += ": ";
  if (!error.key.empty()) line += error.key + ": ";
  return line + error.what;
}

Error JoinErrors(ResultCode code, const ValidationErrors& errors) {
  std::string detail;
  for (const ValidationError& error : errors) {
    if (!detail.empty()) detail += "; ";
    detail += Describe(error);
  }
  return Error{code, std::move(detail)};
}

void ValidationErrorCollector::Add(int line, std::string key,
                                   std::string what) {
  errors_.push_back(
      ValidationError{file_, line, std::move(key), std::move(what)});
}

void ValidationErrorCollector::AddAtKey(const std::string& key,
                                        std::string what) {
  const auto line = lines_.find(key);
  Add(line == lines_.end() ? 0 : line->second, key, std::move(what));
}

bool ValidationErrorCollector::HasErrorFor(
    std::initializer_list<std::string_view> keys) const {
  return std::any_of(
      errors_.begin(), errors_.end(), [&](const ValidationError& error) {
        return std::find(keys.begin(), keys.end(), error.key) != keys.end();
      });
}

}  // namespace chivewing
