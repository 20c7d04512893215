#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace chivewing {

// Makes malformed inputs out of well-formed ones. The same seed gives the same
// inputs.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  // A sample with one to four changes: bytes changed, dropped or repeated, the
  // end cut off, or a JSON scalar replaced by an extreme value.
  std::string Mutate(const std::vector<std::string>& samples);

 private:
  void ChangeByte(std::string& text);
  void DropRange(std::string& text);
  void RepeatRange(std::string& text);
  void CutOff(std::string& text);
  void ReplaceScalar(std::string& text);
  // A number below `end`, which must not be 0.
  std::size_t Below(std::size_t end);

  std::mt19937_64 random_;
};

}  // namespace chivewing
