#include "cli/draft_files.h"

#include <set>
#include <utility>

#include "schema/text_file.h"

namespace chivewing {
namespace {

using Drafts = std::vector<EntryDraft>;

ValidationResult<Drafts> ReadDraftFile(const std::string& path) {
  const ValidationResult<std::string> text = ReadTextFile(path);
  if (!text) return text.error();
  return ReadDrafts(text.value(), path);
}

}  // namespace

ValidationResult<Drafts> ReadDraftFiles(const std::vector<std::string>& paths) {
  Drafts drafts;
  ValidationErrors faults;
  std::set<EntryName> names;
  for (const std::string& path : paths) {
    ValidationResult<Drafts> read = ReadDraftFile(path);
    if (!read) {
      faults.insert(faults.end(), read.error().begin(), read.error().end());
      continue;
    }
    for (EntryDraft& draft : read.value()) {
      const std::string& name = draft.entry.name.value();
      if (!names.insert(draft.entry.name).second) {
        faults.push_back({path, 0, "name", name + " is given more than once"});
      }
      drafts.push_back(std::move(draft));
    }
  }
  if (!faults.empty()) return faults;
  return drafts;
}

}  // namespace chivewing
