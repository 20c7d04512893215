#include "catalogue/entry_reader.h"

#include <cstddef>
#include <vector>

#include "catalogue/entry_check.h"
#include "catalogue/entry_fields.h"
#include "schema/field_reader.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

void CheckApplies(const CatalogueEntry& entry, const std::vector<bool>& given,
                  const std::string& prefix, ValidationErrorCollector& errors) {
  for (std::size_t i = 0; i < given.size(); ++i) {
    if (!given[i] || FieldAppliesTo(i, entry.work_class)) continue;
    errors.AddAtKey(
        prefix + std::string(EntrySpecs()[i].name),
        "does not apply to class " + std::string(Name(entry.work_class)));
  }
}

}  // namespace

CatalogueEntry ReadEntryNode(const JsonNode& object, const std::string& prefix,
                             ValidationErrorCollector& errors) {
  CatalogueEntry entry;
  std::vector<bool> given(EntrySpecs().size(), false);
  const auto assign = [&](std::size_t index, const FieldValue& value) {
    given[index] = true;
    EntryBindings()[index].set(entry, value);
  };
  ReadFields(EntrySpecs(), object, prefix, assign, errors);
  // Without a class it is not known which keys apply.
  if (object.kind != JsonKind::kObject) return entry;
  if (errors.HasErrorFor({prefix + "class"})) return entry;
  CheckApplies(entry, given, prefix, errors);
  CheckEntry(entry, prefix, errors);
  return entry;
}

ValidationResult<CatalogueEntry> ReadEntry(std::string_view text,
                                           const std::string& file) {
  const ValidationResult<JsonNode> root = ParseJson(text, file);
  if (!root) return root.error();
  ValidationErrorCollector errors(file);
  CatalogueEntry entry = ReadEntryNode(root.value(), "", errors);
  if (!errors.empty()) return errors.Take();
  return entry;
}

}  // namespace chivewing
