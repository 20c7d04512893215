#include "schema/text_file.h"

#include <cerrno>
#include <cstddef>
#include <cstring>
#include <fstream>

namespace chivewing {
namespace {

constexpr std::size_t kMaxFileBytes = 4'194'304;

ValidationErrors MakeReadErrors(const std::string& path,
                                const std::string& reason) {
  return {ValidationError{path, 0, "", "cannot be read: " + reason}};
}

}  // namespace

ValidationResult<std::string> ReadTextFile(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) return MakeReadErrors(path, std::strerror(errno));
  std::string text;
  text.resize(kMaxFileBytes + 1);
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad()) return MakeReadErrors(path, "read error");
  if (text.size() > kMaxFileBytes) return MakeReadErrors(path, "over 4 MB");
  return text;
}

}  // namespace chivewing
