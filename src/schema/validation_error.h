#pragma once

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"

namespace chivewing {

// One error in a document, such as a settings file or a catalogue entry.
struct ValidationError {
  std::string file;
  int line = 0;      // counted from 1; 0 if not known
  std::string key;   // dotted path, such as "platform.timeout_ms"; may be empty
  std::string what;  // the message, such as "is missing"
};

using ValidationErrors = std::vector<ValidationError>;

// A value read from a document, or all errors found in it.
template <typename T>
using ValidationResult =
    boost::outcome_v2::basic_result<T, ValidationErrors,
                                    boost::outcome_v2::policy::terminate>;

// Formats an error as one line: "FILE:LINE: KEY: what is wrong". Parts that are
// not known are left out.
std::string Describe(const ValidationError& error);

// Joins all errors into one, separated by "; ".
Error JoinErrors(ResultCode code, const ValidationErrors& errors);

// Collects the errors of one document, so that all of them are reported at
// once.
class ValidationErrorCollector {
 public:
  explicit ValidationErrorCollector(std::string file)
      : file_(std::move(file)) {}

  void Add(int line, std::string key, std::string what);

  // Records the line of a key, for errors that are found after reading.
  void Locate(const std::string& key, int line) { lines_[key] = line; }

  // Adds an error at the line recorded for its key; the line is 0 if there is
  // none.
  void AddAtKey(const std::string& key, std::string what);

  // Whether one of the keys already has an error. A rule between keys is then
  // skipped, because its violation may only follow from that error.
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
