#include "entry/placer_view.h"

#include <utility>

namespace chivewing {
namespace {

constexpr std::string_view kSingletonPrefix = "singleton/";
constexpr std::string_view kLeasePrefix = "placer/";

template <typename Value>
std::optional<Value> Decode(const TableRow& row,
                            Result<Value> (*decode)(std::string_view,
                                                    std::string_view)) {
  if (!row.value) return std::nullopt;
  Result<Value> value = decode(row.key, *row.value);
  if (!value) return std::nullopt;
  return std::move(value).value();
}

}  // namespace

std::string PlacerView::SingletonKey(const EntryName& entry) {
  return std::string(kSingletonPrefix) + entry.value();
}

std::string PlacerView::LeaseKey(const ZoneId& zone) {
  return std::string(kLeasePrefix) + zone.value();
}

template <typename Key, typename Value>
void PlacerView::PutOrErase(std::map<Key, Value>& rows, const Key& key,
                            std::optional<Value> value) {
  if (value) {
    rows.insert_or_assign(key, *std::move(value));
  } else {
    rows.erase(key);
  }
}

void PlacerView::OnRow(TimePoint now, const TableRow& row) {
  const std::string name = row.key.substr(row.key.rfind('/') + 1);
  if (row.key.starts_with(kJobRowPrefix)) {
    PutOrErase(jobs_, JobId(name), Decode(row, &DecodeJobRow));
  } else if (row.key.starts_with(kJobStatusRowPrefix)) {
    PutOrErase(statuses_, JobId(name), Decode(row, &DecodeJobStatusRow));
  } else if (row.key.starts_with(TaskRowPrefix(zone_))) {
    PutOrErase(tasks_, TaskId(name), Decode(row, &DecodeTaskRow));
  } else if (row.key.starts_with(kSingletonPrefix)) {
    std::optional<SingletonZone> assigned;
    if (row.value) assigned = SingletonZone{ZoneId(*row.value), row.version};
    PutOrErase(singleton_zones_, EntryName(name), std::move(assigned));
  } else if (row.key.starts_with(kLeasePrefix)) {
    leases_[ZoneId(name)] = {row.version, now};
  } else {
    static_cast<void>(catalogue_.Apply(row.key, row.value, row.version));
  }
}

}  // namespace chivewing
