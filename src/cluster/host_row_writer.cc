#include "cluster/host_row_writer.h"

#include <string>

namespace chivewing {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};

}  // namespace

void HostRowWriter::Tick(TimePoint now) {
  if (written_ || in_flight_ || now < next_write_) return;
  // The dispatching host reaches this one only once its row is there.
  if (!watcher_.knows_hosts()) return;
  in_flight_ = true;
  const std::string key = HostRowKey(row_.host);
  TableTransaction write;
  write.write_id =
      "host-" + row_.host.value() + "-" + std::to_string(row_.incarnation);
  write.conditions = {{key, watcher_.cache().version(key)}};
  write.writes = {{key, EncodeHostRow(row_)}};
  table_.commit(write, [this, write](const CommitResponse& response) {
    post_([this, write, response](TimePoint then) {
      OnResponse(then, write, response);
    });
  });
}

void HostRowWriter::OnResponse(TimePoint now, const TableTransaction& write,
                               const CommitResponse& response) {
  in_flight_ = false;
  next_write_ = now + kRetryDelay;
  if (response.status == CommitStatus::kCommitted) written_ = true;
  for (const TableRow& row : response.rows) {
    watcher_.Apply(now, row);
    // An earlier attempt without a response has stored the row.
    if (row.write_id == write.write_id) written_ = true;
  }
}

}  // namespace chivewing
