#include "entry/catalogue_request_handler.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "entry/caller_codec.h"

namespace chivewing {
namespace {

constexpr std::string_view kCataloguePath = "/v1/catalogue";
constexpr std::string_view kHistorySuffix = "/history";
constexpr std::int64_t kMaxHistoryChanges =
    200;  // a history response keeps the newest
constexpr std::chrono::seconds kChangeTimeout{10};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return {};
  return value;
}

HttpServerResponse JsonResponse(int status, std::string body) {
  HttpServerResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

CatalogueRequestHandler::CatalogueRequestHandler(
    std::string name, CatalogueRequestCallbacks callbacks)
    : process_name_(std::move(name)), callbacks_(std::move(callbacks)) {}

void CatalogueRequestHandler::RespondWithError(std::uint64_t call_id,
                                               const Error& error) {
  callbacks_.respond(call_id, MakeErrorResponse(error));
}

void CatalogueRequestHandler::HandleRequest(TimePoint now,
                                            const HttpServerRequest& request,
                                            const Catalogue& catalogue,
                                            Duration age) {
  if (request.path == kCataloguePath) {
    List(request, catalogue, age);
    return;
  }
  std::string name = request.path.substr(kCataloguePath.size() + 1);
  if (request.method == "PUT") {
    Put(now, request, name);
    return;
  }
  if (request.method == "DELETE") {
    Remove(now, request, name);
    return;
  }
  if (name.ends_with(kHistorySuffix)) {
    name.resize(name.size() - kHistorySuffix.size());
    ReadHistory(request, name, catalogue);
    return;
  }
  Show(request, name, catalogue, age);
}

void CatalogueRequestHandler::List(const HttpServerRequest& request,
                                   const Catalogue& catalogue, Duration age) {
  CatalogueListing listing;
  listing.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  catalogue.ForEach([&listing](const CatalogueRecord& record) {
    listing.records.push_back(record);
  });
  callbacks_.respond(request.id, JsonResponse(200, EncodeListing(listing)));
}

void CatalogueRequestHandler::Show(const HttpServerRequest& request,
                                   const std::string& name,
                                   const Catalogue& catalogue, Duration age) {
  const CatalogueRecord* record = catalogue.FindRecord(EntryName(name));
  if (record == nullptr || !record->entry) {
    RespondWithError(request.id,
                     {ResultCode::kUnknownEntry, "no entry named " + name});
    return;
  }
  CatalogueListing listing;
  listing.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  listing.records.push_back(*record);
  callbacks_.respond(request.id, JsonResponse(200, EncodeListing(listing)));
}

void CatalogueRequestHandler::ReadHistory(const HttpServerRequest& request,
                                          const std::string& name,
                                          const Catalogue& catalogue) {
  const CatalogueRecord* record = catalogue.FindRecord(EntryName(name));
  if (record == nullptr) {
    RespondWithError(request.id,
                     {ResultCode::kUnknownEntry, "no entry named " + name});
    return;
  }
  std::vector<std::string> keys;
  const std::int64_t first =
      std::max<std::int64_t>(1, record->serial - kMaxHistoryChanges + 1);
  for (std::int64_t serial = first; serial <= record->serial; ++serial) {
    keys.push_back(HistoryKey(EntryName(name), serial));
  }
  const std::uint64_t read = next_id_++;
  history_reads_[read] = request.id;
  callbacks_.read_rows(read, keys);
}

void CatalogueRequestHandler::Put(TimePoint now,
                                  const HttpServerRequest& request,
                                  const std::string& name) {
  ValidationResult<CatalogueEdit> edit =
      ReadEdit(EntryName(name), request.body);
  if (!edit) {
    RespondWithError(request.id,
                     JoinErrors(ResultCode::kBadEntry, edit.error()));
    return;
  }
  StartChange(now, request.id, std::move(edit).value());
}

void CatalogueRequestHandler::Remove(TimePoint now,
                                     const HttpServerRequest& request,
                                     const std::string& name) {
  CatalogueEdit edit;
  edit.name = EntryName(name);
  edit.version = ParseNumber(request.Query("version")).value_or(0);
  edit.changed_by = request.Query("changed_by");
  if (edit.version == 0 || edit.changed_by.empty()) {
    RespondWithError(request.id,
                     {ResultCode::kBadRequest,
                      "a removal needs the parameters version and changed_by"});
    return;
  }
  StartChange(now, request.id, std::move(edit));
}

void CatalogueRequestHandler::StartChange(TimePoint now, std::uint64_t call_id,
                                          CatalogueEdit edit) {
  const std::string id = process_name_ + ".c" + std::to_string(next_id_++);
  CatalogueChange change(std::move(edit), id, now + kChangeTimeout);
  const auto added =
      pending_changes_.emplace(id, PendingChange{call_id, std::move(change)});
  ChangeEffects effects;
  added.first->second.change.Start(effects);
  Apply(now, id, effects);
}

void CatalogueRequestHandler::Apply(TimePoint now, const std::string& id,
                                    ChangeEffects& effects) {
  for (ChangeEffect& effect : effects) {
    if (auto* read = std::get_if<ReadChangedRow>(&effect)) {
      const std::uint64_t number = next_id_++;
      change_reads_[number] = id;
      callbacks_.read_rows(number, {read->key});
    } else if (auto* commit = std::get_if<CommitChange>(&effect)) {
      scheduled_commits_.push_back(
          {commit->at, std::move(commit->transaction)});
    } else if (auto* end = std::get_if<FinishChange>(&effect)) {
      OnChangeFinished(id, *end);
    }
  }
  Tick(now);
}

void CatalogueRequestHandler::Tick(TimePoint now) {
  std::vector<TableTransaction> due;
  std::erase_if(scheduled_commits_, [now, &due](ScheduledCommit& commit) {
    if (commit.send_at > now) return false;
    due.push_back(std::move(commit.transaction));
    return true;
  });
  for (const TableTransaction& transaction : due)
    callbacks_.commit(transaction);
}

void CatalogueRequestHandler::OnChangeFinished(const std::string& id,
                                               const FinishChange& end) {
  const auto found = pending_changes_.find(id);
  if (found == pending_changes_.end()) return;
  const std::uint64_t call_id = found->second.call_id;
  pending_changes_.erase(found);
  if (end.error) {
    RespondWithError(call_id, *end.error);
    return;
  }
  if (end.conflict) {
    callbacks_.respond(call_id,
                       JsonResponse(409, EncodeConflict(*end.conflict)));
    return;
  }
  callbacks_.publish_committed_rows(end.accepted);
  const std::uint64_t version =
      end.accepted.empty() ? 0 : end.accepted.front().version;
  const nlohmann::json body = {{"version", version}};
  callbacks_.respond(call_id, JsonResponse(200, body.dump()));
}

void CatalogueRequestHandler::OnRead(TimePoint now, std::uint64_t read,
                                     const ReadResponse& response) {
  const auto history = history_reads_.find(read);
  if (history != history_reads_.end()) {
    const std::uint64_t call_id = history->second;
    history_reads_.erase(history);
    if (!response.ok) {
      RespondWithError(call_id, {ResultCode::kPlatformUnavailable,
                                 "the platform's table did not respond"});
      return;
    }
    CatalogueListing listing;
    for (const TableRow& row : response.rows) {
      if (!row.value) continue;
      const std::string name = row.key.substr(
          row.key.find('/') + 1, row.key.rfind('/') - row.key.find('/') - 1);
      Result<CatalogueRecord> record =
          DecodeCatalogueRecord(EntryName(name), *row.value, row.version);
      if (record) listing.records.push_back(std::move(record).value());
    }
    callbacks_.respond(call_id, JsonResponse(200, EncodeListing(listing)));
    return;
  }
  const auto found = change_reads_.find(read);
  if (found == change_reads_.end()) return;
  const std::string id = found->second;
  change_reads_.erase(found);
  const auto change = pending_changes_.find(id);
  if (change == pending_changes_.end()) return;
  const Result<TableRow> row =
      response.ok && !response.rows.empty()
          ? Result<TableRow>(response.rows.front())
          : Result<TableRow>(Error{ResultCode::kPlatformUnavailable,
                                   "the platform's table did not respond"});
  ChangeEffects effects;
  change->second.change.OnRead(row, callbacks_.wall_time(), now, effects);
  Apply(now, id, effects);
}

void CatalogueRequestHandler::OnCommit(TimePoint now,
                                       const std::string& write_id,
                                       const CommitResponse& response) {
  const auto change = pending_changes_.find(write_id);
  if (change == pending_changes_.end()) return;
  ChangeEffects effects;
  change->second.change.OnCommit(response, now, effects);
  Apply(now, write_id, effects);
}

}  // namespace chivewing
