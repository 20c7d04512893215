#include "catalogue/catalogue.h"

#include <gtest/gtest.h>

#include <string>

#include "catalogue/catalogue_messages.h"
#include "catalogue/entry_diff.h"
#include "catalogue/entry_reader.h"

namespace chivewing {
namespace {

CatalogueEntry Read(const std::string& text) {
  const ValidationResult<CatalogueEntry> entry = ReadEntry(text, "e.json");
  EXPECT_TRUE(entry);
  return entry.value();
}

CatalogueRecord Record(const std::string& text, std::uint64_t version) {
  CatalogueRecord record;
  record.entry = Read(text);
  record.name = record.entry->name;
  record.version = version;
  record.serial = 1;
  record.changed_by = "ama";
  record.changed_at = std::chrono::milliseconds(5);
  return record;
}

void Apply(Catalogue& catalogue, const CatalogueRecord& record) {
  const Result<ApplyRowResult> applied = catalogue.Apply(
      CatalogueKey(record.name), EncodeCatalogueRecord(record), record.version);
  ASSERT_TRUE(applied) << applied.error().detail;
}

const std::string kOut = R"({"name":"out-9","owner":"o","class":"out_of_use",
    "subject":{"kind":"worker","id":"w-9"}})";

TEST(Catalogue, KeepsTheCurrentRecordWhenARowCannotBeRead) {
  Catalogue catalogue;
  const CatalogueRecord record = Record(kOut, 3);
  Apply(catalogue, record);
  EXPECT_FALSE(catalogue.Apply("catalogue/out-9", "{}", 4));
  EXPECT_FALSE(catalogue.Apply("catalogue/other",
                               EncodeCatalogueRecord(Record(kOut, 4)), 4))
      << "a row must hold the entry of its key";
  EXPECT_EQ(catalogue.FindRecord(EntryName("out-9"))->version, 3U);
}

TEST(Catalogue, SubjectIsOutOfUseUntilEveryEntryForItIsRemoved) {
  Catalogue catalogue;
  Apply(catalogue, Record(kOut, 1));
  CatalogueRecord second = Record(kOut, 2);
  second.name = EntryName("also-9");
  second.entry->name = second.name;
  Apply(catalogue, second);
  EXPECT_TRUE(catalogue.IsOutOfUse(SubjectKind::kWorker, "w-9"));
  EXPECT_FALSE(catalogue.IsOutOfUse(SubjectKind::kTarget, "w-9"));
  ASSERT_TRUE(catalogue.Apply("catalogue/also-9", std::nullopt, 3));
  EXPECT_TRUE(catalogue.IsOutOfUse(SubjectKind::kWorker, "w-9"));
  ASSERT_TRUE(catalogue.Apply("catalogue/out-9", std::nullopt, 4));
  EXPECT_FALSE(catalogue.IsOutOfUse(SubjectKind::kWorker, "w-9"));
  EXPECT_EQ(catalogue.size(), 0U);
}

TEST(Catalogue, FindsTheQuotaOfAnOwner) {
  Catalogue catalogue;
  Apply(catalogue, Record(R"({"name":"puzzles","owner":"puzzles",
      "class":"owner","limits":{"processors":96}})",
                          1));
  ASSERT_NE(catalogue.FindQuota(OwnerId("puzzles")), nullptr);
  EXPECT_EQ(catalogue.FindQuota(OwnerId("puzzles"))->limits.processors_milli,
            96000);
  EXPECT_EQ(catalogue.FindQuota(OwnerId("hauliers")), nullptr);
}

TEST(CatalogueMessages, ListingAndConflictReadBack) {
  const CatalogueRecord record = Record(kOut, 7);
  const Result<CatalogueListing> listing =
      DecodeListing(EncodeListing({std::chrono::milliseconds(40), {record}}));
  ASSERT_TRUE(listing) << listing.error().detail;
  EXPECT_EQ(listing.value().age, std::chrono::milliseconds(40));
  EXPECT_EQ(listing.value().records[0].version, 7U);
  const CatalogueEdit yours{record.name, 6, "kofi", record.entry};
  const Result<CatalogueConflict> conflict =
      DecodeConflict(EncodeConflict({record, yours}));
  ASSERT_TRUE(conflict) << conflict.error().detail;
  EXPECT_EQ(conflict.value().present.changed_by, "ama");
  EXPECT_EQ(conflict.value().yours.changed_by, "kofi");
}

TEST(CatalogueMessages, MalformedEditsAreRejected) {
  const EntryName name("out-9");
  const std::string entry = ",\"entry\":" + kOut + "}";
  EXPECT_TRUE(ReadEdit(name, R"({"version":1,"changed_by":"ama")" + entry));
  EXPECT_FALSE(ReadEdit(name, R"({"changed_by":"ama")" + entry));
  EXPECT_FALSE(ReadEdit(name, R"({"version":1,"changed_by":"")" + entry));
  EXPECT_FALSE(
      ReadEdit(name, R"({"version":1,"changed_by":"ama","force":1)" + entry));
  EXPECT_FALSE(ReadEdit(EntryName("out-8"),
                        R"({"version":1,"changed_by":"ama")" + entry));
  EXPECT_FALSE(ReadEdit(name, "[]"));
}

TEST(CatalogueMessages, DraftsReportTheErrorsOfAllEntries) {
  const ValidationResult<std::vector<EntryDraft>> good =
      ReadDrafts("[" + kOut + "]", "f.json");
  ASSERT_TRUE(good);
  EXPECT_FALSE(good.value()[0].version);
  const ValidationResult<std::vector<EntryDraft>> versioned =
      ReadDrafts(WriteDraft({5, good.value()[0].entry}), "f.json");
  ASSERT_TRUE(versioned);
  EXPECT_EQ(versioned.value()[0].version, 5U);
  const ValidationResult<std::vector<EntryDraft>> bad =
      ReadDrafts("[" + kOut + "," + kOut + ", 3, {\"name\":\"x\"}]", "f.json");
  ASSERT_FALSE(bad);
  EXPECT_EQ(bad.error()[0].key, "[2]");
  EXPECT_EQ(bad.error().size(), 4U)
      << JoinErrors(ResultCode::kBadEntry, bad.error()).detail;
}

TEST(EntryDiff, NamesEachKeyThatDiffers) {
  const CatalogueEntry before =
      Read(R"({"name":"a","owner":"o","class":"service"})");
  const CatalogueEntry after = Read(
      R"({"name":"a","owner":"o","class":"service","limits":{"slots":16}})");
  const auto differences = DiffEntries(before, after);
  ASSERT_EQ(differences.size(), 1U);
  EXPECT_EQ(Describe(differences[0]), "limits.slots: 8 -> 16");
  EXPECT_TRUE(DiffEntries(before, before).empty());
  EXPECT_EQ(Describe(DiffEntries(std::nullopt, before)[0]),
            "name: (none) -> \"a\"");
}

}  // namespace
}  // namespace chivewing
