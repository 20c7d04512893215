#include "schema/validation_error.h"

#include <algorithm>
#include <utility>

namespace chivewing {

std::string Describe(const ValidationError& fault) {
  std::string line = fault.file;
  if (fault.line > 0) line += ":" + std::to_string(fault.line);
  if (!line.empty()) line += ": ";
  if (!fault.key.empty()) line += fault.key + ": ";
  return line + fault.what;
}

Error JoinErrors(ResultCode code, const ValidationErrors& faults) {
  std::string detail;
  for (const ValidationError& fault : faults) {
    if (!detail.empty()) detail += "; ";
    detail += Describe(fault);
  }
  return Error{code, std::move(detail)};
}

void ValidationErrorCollector::Add(int line, std::string key,
                                   std::string what) {
  faults_.push_back(
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
      faults_.begin(), faults_.end(), [&](const ValidationError& fault) {
        return std::find(keys.begin(), keys.end(), fault.key) != keys.end();
      });
}

}  // namespace chivewing
