// The verbs that read and change the catalogue.

#include <optional>
#include <ostream>
#include <utility>

#include "catalogue/entry_fields.h"
#include "cli/catalogue_client.h"
#include "cli/catalogue_file_commands.h"
#include "cli/catalogue_text.h"
#include "cli/report.h"
#include "cli/verb.h"

namespace chivewing {
namespace {

using ListingHook = Result<CatalogueListing> (*)(const CatalogueClient&,
                                                 const Arguments&);

// Fetches a listing and writes it as JSON, or as text formatted by `text`.
ExitStatus ShowListing(const Arguments& arguments, const CliEnvironment& hooks,
                       ListingHook fetch,
                       std::string (*text)(const CatalogueListing&)) {
  const Result<EntryHostClient> client = MakeClient(arguments, hooks);
  if (!client) return ReportError(client.error(), hooks);
  const Result<CatalogueListing> listing =
      fetch(CatalogueClient(client.value()), arguments);
  if (!listing) return ReportError(listing.error(), hooks);
  if (arguments.Has("json")) {
    *hooks.out << EncodeListing(listing.value()) << "\n";
  } else {
    *hooks.out << text(listing.value());
  }
  return ExitStatus::kOk;
}

EntryName FirstName(const Arguments& arguments) {
  return EntryName(arguments.operands().front());
}

ExitStatus List(const Arguments& arguments, const CliEnvironment& hooks) {
  const ListingHook fetch = [](const CatalogueClient& client,
                               const Arguments&) { return client.List(); };
  return ShowListing(arguments, hooks, fetch, ListingText);
}

std::string DraftText(const CatalogueListing& listing) {
  if (listing.records.empty()) return "";
  const CatalogueRecord& record = listing.records.front();
  std::string text = "// Changed by " + record.changed_by + " at " +
                     UtcText(record.changed_at) + ".\n";
  if (!record.entry) {
    return text + "// Removed at version " + std::to_string(record.version) +
           ".\n";
  }
  return text + WriteDraft(EntryDraft{record.version, *record.entry}) + "\n";
}

ExitStatus Show(const Arguments& arguments, const CliEnvironment& hooks) {
  const ListingHook fetch = [](const CatalogueClient& client,
                               const Arguments& each) {
    return client.Show(FirstName(each));
  };
  return ShowListing(arguments, hooks, fetch, DraftText);
}

ExitStatus History(const Arguments& arguments, const CliEnvironment& hooks) {
  const ListingHook fetch = [](const CatalogueClient& client,
                               const Arguments& each) {
    return client.History(FirstName(each));
  };
  return ShowListing(arguments, hooks, fetch, HistoryText);
}

ExitStatus ListKeys(const Arguments& /*arguments*/,
                    const CliEnvironment& hooks) {
  *hooks.out << EntryTable() << "\n" << EntryClassTable();
  return ExitStatus::kOk;
}

const OptionSpec kChangedBy = {"changed-by", "NAME",
                               "who makes the change (default: $USER)"};

Verb ListVerb() {
  Verb verb;
  verb.name = "catalogue list";
  verb.summary = "Lists the entries in force.";
  verb.options = With(OperatorOptions(), {kJsonOption});
  verb.examples =
      "  chivewing catalogue list --address 127.0.0.1:7002 --key-file key\n";
  verb.run = List;
  return verb;
}

Verb ShowVerb() {
  Verb verb;
  verb.name = "catalogue show";
  verb.operands = "NAME";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary =
      "Shows one entry as a file that can be edited and applied; the version "
      "in it guards against another operator's change.";
  verb.options = With(OperatorOptions(), {kJsonOption});
  verb.examples =
      "  chivewing catalogue show route-check --address 127.0.0.1:7002 "
      "--key-file key > route-check.json\n";
  verb.run = Show;
  return verb;
}

Verb ApplyVerb() {
  Verb verb;
  verb.name = "catalogue apply";
  verb.operands = "FILE...";
  verb.min_operands = 1;
  verb.max_operands = kAnyNumber;
  verb.summary =
      "Puts the entries of files in force. All files are checked before "
      "anything is sent.";
  verb.options = With(
      OperatorOptions(),
      {kChangedBy,
       {"overwrite", "",
        "changes entries whose file states no version, whatever is in force"},
       {"check", "", "only checks the files; needs no address"},
       kJsonOption});
  verb.examples =
      "  chivewing catalogue apply --check hauliers.json\n"
      "  chivewing catalogue apply hauliers.json --changed-by wanjiru "
      "--address 127.0.0.1:7002 --key-file key\n";
  verb.run = ApplyFiles;
  return verb;
}

Verb RemoveVerb() {
  Verb verb;
  verb.name = "catalogue remove";
  verb.operands = "NAME";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary = "Removes an entry; its history stays.";
  verb.options =
      With(OperatorOptions(),
           {kChangedBy,
            {"version", "N",
             "removes only this version (default: the one in force)"},
            kJsonOption});
  verb.examples =
      "  chivewing catalogue remove worker-9-out --changed-by wanjiru "
      "--address 127.0.0.1:7002 --key-file key\n";
  verb.run = RemoveEntry;
  return verb;
}

Verb HistoryVerb() {
  Verb verb;
  verb.name = "catalogue history";
  verb.operands = "NAME";
  verb.min_operands = 1;
  verb.max_operands = 1;
  verb.summary = "Shows every change of an entry: who, when and what.";
  verb.options = With(OperatorOptions(), {kJsonOption});
  verb.examples =
      "  chivewing catalogue history route-check --address 127.0.0.1:7002 "
      "--key-file key\n";
  verb.run = History;
  return verb;
}

Verb DiffVerb() {
  Verb verb;
  verb.name = "catalogue diff";
  verb.operands = "FILE...";
  verb.min_operands = 1;
  verb.max_operands = kAnyNumber;
  verb.summary = "Shows what applying the files would change.";
  verb.options = With(OperatorOptions(), {kJsonOption});
  verb.examples =
      "  chivewing catalogue diff hauliers.json --address 127.0.0.1:7002 "
      "--key-file key\n";
  verb.run = DiffFiles;
  return verb;
}

Verb KeysVerb() {
  Verb verb;
  verb.name = "catalogue keys";
  verb.summary =
      "Lists all keys of an entry with their defaults, and the classes they "
      "apply to.";
  verb.examples = "  chivewing catalogue keys\n";
  verb.run = ListKeys;
  return verb;
}

}  // namespace

std::vector<Verb> CatalogueVerbs() {
  return {ListVerb(),    ShowVerb(), ApplyVerb(), RemoveVerb(),
          HistoryVerb(), DiffVerb(), KeysVerb()};
}

}  // namespace chivewing
