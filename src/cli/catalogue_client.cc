#include "cli/catalogue_client.h"

#include <utility>

#include "catalogue/entry_diff.h"
#include "cli/report.h"
#include "cli/url.h"
#include "schema/json_parser.h"

namespace chivewing {
namespace {

constexpr int kConflictStatus = 409;
constexpr const char* kCataloguePath = "/v1/catalogue";

std::string PathOf(const EntryName& name) {
  return std::string(kCataloguePath) + "/" + EscapeUrl(name.value());
}

HttpRequest PutRequest(const CatalogueEdit& edit) {
  HttpRequest request;
  request.method = "PUT";
  request.url = PathOf(edit.name);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = WriteEdit(edit);
  return request;
}

HttpRequest DeleteRequest(const CatalogueEdit& edit) {
  HttpRequest request;
  request.method = "DELETE";
  request.url = PathOf(edit.name) + "?version=" + std::to_string(edit.version) +
                "&changed_by=" + EscapeUrl(edit.changed_by);
  return request;
}

// Returns true when the entry in force equals the one of the edit.
bool IsInForce(const CatalogueConflict& conflict, const CatalogueEdit& edit) {
  if (conflict.present.entry.has_value() != edit.entry.has_value()) {
    return false;
  }
  return DiffEntries(conflict.present.entry, edit.entry).empty();
}

std::uint64_t VersionIn(const std::string& body) {
  const ValidationResult<JsonNode> root = ParseJson(body, "answer");
  if (!root) return 0;
  const JsonNode* version = root.value().Find("version");
  if (version == nullptr) return 0;
  return static_cast<std::uint64_t>(version->integer);
}

CatalogueUpdateResult OutcomeOfConflict(const HttpResponse& answer,
                                        const CatalogueEdit& edit) {
  CatalogueUpdateResult outcome;
  const Result<CatalogueConflict> conflict = DecodeConflict(answer.body);
  if (!conflict) {
    outcome.error = ResponseError(answer);
  } else if (IsInForce(conflict.value(), edit)) {
    outcome.version = conflict.value().present.version;
  } else {
    outcome.conflict = conflict.value();
  }
  return outcome;
}

}  // namespace

CatalogueClient::CatalogueClient(EntryHostClient client)
    : client_(std::move(client)) {}

Result<CatalogueListing> CatalogueClient::List() const {
  return Get(kCataloguePath);
}

Result<CatalogueListing> CatalogueClient::Show(const EntryName& name) const {
  return Get(PathOf(name));
}

Result<CatalogueListing> CatalogueClient::History(const EntryName& name) const {
  return Get(PathOf(name) + "/history");
}

CatalogueUpdateResult CatalogueClient::Edit(const CatalogueEdit& edit) const {
  const HttpRequest request =
      edit.entry ? PutRequest(edit) : DeleteRequest(edit);
  const HttpResponse answer = client_.Send(request, ResendPolicy::kAllowed);
  if (answer.ok() && answer.status == kConflictStatus) {
    return OutcomeOfConflict(answer, edit);
  }
  CatalogueUpdateResult outcome;
  if (IsSuccess(answer)) {
    outcome.version = VersionIn(answer.body);
  } else {
    outcome.error = ResponseError(answer);
  }
  return outcome;
}

Result<CatalogueListing> CatalogueClient::Get(const std::string& path) const {
  HttpRequest request;
  request.url = path;
  const HttpResponse answer = client_.Send(request, ResendPolicy::kAllowed);
  if (!IsSuccess(answer)) return ResponseError(answer);
  return DecodeListing(answer.body);
}

}  // namespace chivewing
