#include "catalogue/entry_writer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

#include "catalogue/entry_reader.h"

namespace chivewing {
namespace {

CatalogueEntry ArbitraryEntry() {
  CatalogueEntry entry;
  entry.name = EntryName("entry-1");
  entry.owner = OwnerId("entry-1");
  entry.work_class = *rc::gen::element(
      WorkClass::kService, WorkClass::kSingleton, WorkClass::kBatch,
      WorkClass::kGang, WorkClass::kOwner, WorkClass::kOutOfUse);
  entry.note = *rc::gen::element<std::string>("", "a \"note\"\n", "\u00e9");
  entry.limits.processors_milli = *rc::gen::inRange<std::int64_t>(1, 999'999);
  entry.limits.memory_mb = *rc::gen::inRange<std::int64_t>(1, 1'000'000);
  entry.limits.gang_size = *rc::gen::inRange(2, 1000);
  entry.policy.priority = *rc::gen::inRange(0, 1001);
  entry.policy.idempotent = *rc::gen::arbitrary<bool>();
  entry.policy.zones = *rc::gen::element(
      std::vector<ZoneId>{}, std::vector<ZoneId>{ZoneId("a"), ZoneId("b")});
  entry.policy.when_cut_off = *rc::gen::element(
      ZonePartitionPolicy::kKeepRunning, ZonePartitionPolicy::kFailOver);
  entry.subject = {SubjectKind::kTarget, "instance-7"};
  return entry;
}

RC_GTEST_PROP(EntryWriter, WhatIsWrittenReadsTheSame, ()) {
  const CatalogueEntry entry = ArbitraryEntry();
  const std::string text = WriteEntry(entry, JsonLayout::kCompact);
  const ValidationResult<CatalogueEntry> read = ReadEntry(text, "e.json");
  RC_ASSERT(read.has_value());
  RC_ASSERT(WriteEntry(read.value(), JsonLayout::kCompact) == text);
}

}  // namespace
}  // namespace chivewing
