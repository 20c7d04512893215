#pragma once

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"

namespace chivewing {

// One thing that is wrong in a document.
struct ValidationError {
  std::string file;
  int line = 0;     // 0 when not known
  std::string key;  // dotted path, such as "platform.timeout_ms"; may be empty
  std::string what;
};

using ValidationErrors = std::vector<ValidationError>;

// A value read from a document, or every fault found in it.
template <typename T>
using ValidationResult =
    boost::outcome_v2::basic_result<T, ValidationErrors,
                                    boost::outcome_v2::policy::terminate>;

// One line: "FILE:LINE: KEY: what is wrong".
std::string Describe(const ValidationError& error);

// All faults as one error, joined by "; ".
Error JoinErrors(ResultCode code, const ValidationErrors& errors);

// Collects the faults of one document.
class ValidationErrorCollector {
 public:
  explicit ValidationErrorCollector(std::string file)
      : file_(std::move(file)) {}

  void Add(int line, std::string key, std::string what);

  // Notes the line of a key, for faults found after reading.
  void Locate(const std::string& key, int line) { lines_[key] = line; }

  // Adds a fault on the line noted for its key.
  void AddAtKey(const std::string& key, std::string what);

  // Whether one of the keys already has a fault, so that rules between keys do
  // not report what only follows from it.
  bool HasErrorFor(std::initializer_list<std::string_view> keys) const;

  bool empty() const { return errors_.empty(); }
  const std::string& file() const { return file_; }
  ValidationErrors Take() { return std::move(errors_); }

 private:
  std::string file_;
  ValidationErrors errors_;
  std::map<std::string, int> lines_;
};

}  // namespace chivewing
