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
constexpr std::int64_t kHistoryMax = 200;  // newest changes shown
constexpr std::chrono::seconds kChangePatience{10};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return {};
  return value;
}

HttpServerResponse JsonReply(int status, std::string body) {
  HttpServerResponse reply;
  reply.status = status;
  reply.body = std::move(body);
  return reply;
}

}  // namespace

CatalogueRequestHandler::CatalogueRequestHandler(
    std::string name, CatalogueRequestCallbacks ports)
    : name_(std::move(name)), ports_(std::move(ports)) {}

void CatalogueRequestHandler::Refuse(std::uint64_t call, const Error& error) {
  ports_.answer(call, MakeErrorResponse(error));
}

void CatalogueRequestHandler::HandleRequest(TimePoint now,
                                            const HttpServerRequest& call,
                                            const Catalogue& catalogue,
                                            Duration age) {
  if (call.path == kCataloguePath) {
    List(call, catalogue, age);
    return;
  }
  std::string name = call.path.substr(kCataloguePath.size() + 1);
  if (call.method == "PUT") {
    Put(now, call, name);
    return;
  }
  if (call.method == "DELETE") {
    Remove(now, call, name);
    return;
  }
  if (name.ends_with(kHistorySuffix)) {
    name.resize(name.size() - kHistorySuffix.size());
    AskHistory(call, name, catalogue);
    return;
  }
  Show(call, name, catalogue, age);
}

void CatalogueRequestHandler::List(const HttpServerRequest& call,
                                   const Catalogue& catalogue, Duration age) {
  CatalogueListing listing;
  listing.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  catalogue.ForEach([&listing](const CatalogueRecord& record) {
    listing.records.push_back(record);
  });
  ports_.answer(call.id, JsonReply(200, EncodeListing(listing)));
}

void CatalogueRequestHandler::Show(const HttpServerRequest& call,
                                   const std::string& name,
                                   const Catalogue& catalogue, Duration age) {
  const CatalogueRecord* record = catalogue.FindRecord(EntryName(name));
  if (record == nullptr || !record->entry) {
    Refuse(call.id, {ResultCode::kUnknownEntry, "no entry named " + name});
    return;
  }
  CatalogueListing listing;
  listing.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  listing.records.push_back(*record);
  ports_.answer(call.id, JsonReply(200, EncodeListing(listing)));
}

void CatalogueRequestHandler::AskHistory(const HttpServerRequest& call,
                                         const std::string& name,
                                         const Catalogue& catalogue) {
  const CatalogueRecord* record = catalogue.FindRecord(EntryName(name));
  if (record == nullptr) {
    Refuse(call.id, {ResultCode::kUnknownEntry, "no entry named " + name});
    return;
  }
  std::vector<std::string> keys;
  const std::int64_t first =
      std::max<std::int64_t>(1, record->serial - kHistoryMax + 1);
  for (std::int64_t serial = first; serial <= record->serial; ++serial) {
    keys.push_back(HistoryKey(EntryName(name), serial));
  }
  const std::uint64_t read = next_id_++;
  history_reads_[read] = call.id;
  ports_.read_rows(read, keys);
}

void CatalogueRequestHandler::Put(TimePoint now, const HttpServerRequest& call,
                                  const std::string& name) {
  ValidationResult<CatalogueEdit> edit = ReadEdit(EntryName(name), call.body);
  if (!edit) {
    Refuse(call.id, JoinErrors(ResultCode::kBadEntry, edit.error()));
    return;
  }
  StartChange(now, call.id, std::move(edit).value());
}

void CatalogueRequestHandler::Remove(TimePoint now,
                                     const HttpServerRequest& call,
                                     const std::string& name) {
  CatalogueEdit edit;
  edit.name = EntryName(name);
  edit.version = ParseNumber(call.Query("version")).value_or(0);
  edit.changed_by = call.Query("changed_by");
  if (edit.version == 0 || edit.changed_by.empty()) {
    Refuse(call.id, {ResultCode::kBadRequest,
                     "a removal names the version and who asks for it"});
    return;
  }
  StartChange(now, call.id, std::move(edit));
}

void CatalogueRequestHandler::StartChange(TimePoint now, std::uint64_t call,
                                          CatalogueEdit edit) {
  const std::string id = name_ + ".c" + std::to_string(next_id_++);
  CatalogueChange change(std::move(edit), id, now + kChangePatience);
  const auto added = changes_.emplace(id, OpenChange{call, std::move(change)});
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
      ports_.read_rows(number, {read->key});
    } else if (auto* commit = std::get_if<CommitChange>(&effect)) {
      due_commits_.push_back({commit->at, std::move(commit->transaction)});
    } else if (auto* end = std::get_if<FinishChange>(&effect)) {
      Finish(id, *end);
    }
  }
  Tick(now);
}

void CatalogueRequestHandler::Tick(TimePoint now) {
  std::vector<TableTransaction> due;
  std::erase_if(due_commits_, [now, &due](DueCommit& commit) {
    if (commit.at > now) return false;
    due.push_back(std::move(commit.transaction));
    return true;
  });
  for (const TableTransaction& transaction : due) ports_.commit(transaction);
}

void CatalogueRequestHandler::Finish(const std::string& id,
                                     const FinishChange& end) {
  const auto found = changes_.find(id);
  if (found == changes_.end()) return;
  const std::uint64_t call = found->second.call;
  changes_.erase(found);
  if (end.error) {
    Refuse(call, *end.error);
    return;
  }
  if (end.conflict) {
    ports_.answer(call, JsonReply(409, EncodeConflict(*end.conflict)));
    return;
  }
  ports_.publish_committed_rows(end.accepted);
  const std::uint64_t version =
      end.accepted.empty() ? 0 : end.accepted.front().version;
  const nlohmann::json body = {{"version", version}};
  ports_.answer(call, JsonReply(200, body.dump()));
}

void CatalogueRequestHandler::OnRead(TimePoint now, std::uint64_t read,
                                     const ReadResponse& answer) {
  const auto history = history_reads_.find(read);
  if (history != history_reads_.end()) {
    const std::uint64_t call = history->second;
    history_reads_.erase(history);
    if (!answer.ok) {
      Refuse(call, {ResultCode::kPlatformUnavailable,
                    "the platform's table did not answer"});
      return;
    }
    CatalogueListing listing;
    for (const TableRow& row : answer.rows) {
      if (!row.value) continue;
      const std::string name = row.key.substr(
          row.key.find('/') + 1, row.key.rfind('/') - row.key.find('/') - 1);
      Result<CatalogueRecord> record =
          DecodeCatalogueRecord(EntryName(name), *row.value, row.version);
      if (record) listing.records.push_back(std::move(record).value());
    }
    ports_.answer(call, JsonReply(200, EncodeListing(listing)));
    return;
  }
  const auto found = change_reads_.find(read);
  if (found == change_reads_.end()) return;
  const std::string id = found->second;
  change_reads_.erase(found);
  const auto change = changes_.find(id);
  if (change == changes_.end()) return;
  const Result<TableRow> row =
      answer.ok && !answer.rows.empty()
          ? Result<TableRow>(answer.rows.front())
          : Result<TableRow>(Error{ResultCode::kPlatformUnavailable,
                                   "the platform's table did not answer"});
  ChangeEffects effects;
  change->second.change.OnRead(row, ports_.wall_time(), now, effects);
  Apply(now, id, effects);
}

void CatalogueRequestHandler::OnCommit(TimePoint now,
                                       const std::string& write_id,
                                       const CommitResponse& answer) {
  const auto change = changes_.find(write_id);
  if (change == changes_.end()) return;
  ChangeEffects effects;
  change->second.change.OnCommit(answer, now, effects);
  Apply(now, write_id, effects);
}

}  // namespace chivewing
