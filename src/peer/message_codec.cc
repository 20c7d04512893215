#include "peer/message_codec.h"

#include <msgpack.hpp>
#include <optional>
#include <type_traits>
#include <utility>

namespace chivewing {
namespace {

constexpr std::size_t kMaxDepth = 6;
constexpr std::size_t kMaxStringBytes = 16UL * 1024 * 1024;
constexpr std::size_t kEnvelopeFields = 2;

// Calls `visit` with the fields of a message in encoding order. The same lists
// are used for encoding and decoding.
template <typename Visitor>
void Fields(Visitor& visit, Hello& m) {
  visit(m.host, m.zone, m.incarnation, m.key, m.protocol);
}
template <typename Visitor>
void Fields(Visitor& visit, Heartbeat& m) {
  visit(m.sequence);
}
template <typename Visitor>
void Fields(Visitor& visit, HeartbeatEcho& m) {
  visit(m.sequence);
}
template <typename Visitor>
void Fields(Visitor& visit, PeerEntryLoad& m) {
  visit(m.entry, m.slots, m.free_slots, m.queued);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardRequest& m) {
  visit(m.forward_id, m.request, m.entry, m.idempotency_key, m.body,
        m.remaining, m.hop_count, m.claimed, m.ticket);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardResponse& m) {
  visit(m.forward_id, m.code, m.status, m.body, m.load);
}
template <typename Visitor>
void Fields(Visitor& visit, PeerLoadReport& m) {
  visit(m.last_forward_id, m.loads);
}
template <typename Visitor>
void Fields(Visitor& visit, TableRow& m) {
  std::string value = m.value.value_or("");
  bool removed = !m.value.has_value();
  visit(m.key, value, removed, m.version, m.write_id);
  m.value = removed ? std::nullopt : std::optional(std::move(value));
}
template <typename Visitor>
void Fields(Visitor& visit, RowsPush& m) {
  visit(m.rows);
}
template <typename Visitor>
void Fields(Visitor& visit, RowsRequest& m) {
  visit(m.since, m.prefixes);
}
template <typename Visitor>
void Fields(Visitor& visit, ClaimQuery& m) {
  visit(m.query_id, m.owner, m.key, m.remaining);
}
template <typename Visitor>
void Fields(Visitor& visit, ClaimQueryResponse& m) {
  visit(m.query_id, m.state, m.status, m.body, m.code);
}
template <typename Visitor>
void Fields(Visitor& visit, Leaving& m) {
  visit(m.incarnation);
}

template <typename Visitor>
void Fields(Visitor& visit, PeerAdviceRequest& m) {
  visit(m.query_id, m.job, m.occurrence, m.step, m.workers, m.timeout);
}
template <typename Visitor>
void Fields(Visitor& visit, AdviceTicket& m) {
  visit(m.worker, m.ticket);
}
template <typename Visitor>
void Fields(Visitor& visit, PeerAdviceResponse& m) {
  visit(m.query_id, m.answered, m.approved, m.valid_for);
}

template <typename Visitor>
void Fields(Visitor& visit, ForwardedStart& m) {
  TaskRunKey& run = m.command.run;
  visit(m.call_id, m.time_limit, m.command.worker, m.command.address,
        run.task.job, run.task.occurrence, run.task.step, run.task.index,
        run.number, m.command.payload, m.command.deadline, m.command.fence,
        m.command.saved, m.command.ticket, m.command.fresh_connection);
  auto start = static_cast<std::uint64_t>(m.command.incarnation_start.count());
  visit.Optional(start);
  m.command.incarnation_start = std::chrono::milliseconds(start);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardedStop& m) {
  TaskRunKey& run = m.command.run;
  visit(m.call_id, m.time_limit, m.command.worker, m.command.address,
        run.task.job, run.task.occurrence, run.task.step, run.task.index,
        run.number, m.command.fence);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardedPace& m) {
  TaskRunKey& run = m.command.run;
  visit(m.call_id, m.time_limit, m.command.worker, m.command.address,
        run.task.job, run.task.occurrence, run.task.step, run.task.index,
        run.number, m.command.percent, m.command.fence);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardedPoll& m) {
  visit(m.call_id, m.time_limit, m.command.worker, m.command.address,
        m.command.fence, m.command.persisted_end, m.command.deadline,
        m.command.wait, m.command.fresh_connection);
  auto start = static_cast<std::uint64_t>(m.command.incarnation_start.count());
  visit.Optional(start);
  m.command.incarnation_start = std::chrono::milliseconds(start);
}
template <typename Visitor>
void Fields(Visitor& visit, WorkerCalls& m) {
  visit(m.starts, m.stops, m.paces, m.polls);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardedCommandResponse& m) {
  visit(m.call_id, m.response.outcome, m.response.fence, m.response.clock);
}
template <typename Visitor>
void Fields(Visitor& visit, ActiveRunReport& m) {
  visit(m.run.task.job, m.run.task.occurrence, m.run.task.step,
        m.run.task.index, m.run.number, m.saved, m.percent, m.load);
}
template <typename Visitor>
void Fields(Visitor& visit, EndedRunReport& m) {
  visit(m.number, m.run.task.job, m.run.task.occurrence, m.run.task.step,
        m.run.task.index, m.run.number, m.how, m.saved);
}
template <typename Visitor>
void Fields(Visitor& visit, ForwardedPollResponse& m) {
  // A time since 1970 is longer than the longest duration that is accepted.
  auto start = static_cast<std::uint64_t>(m.response.incarnation_start.count());
  visit(m.call_id, m.response.outcome, m.response.fence, m.response.clock,
        start, m.response.running, m.response.ended);
  m.response.incarnation_start = std::chrono::milliseconds(start);
}
template <typename Visitor>
void Fields(Visitor& visit, WorkerCallResponses& m) {
  visit(m.commands, m.polls);
}
template <typename Visitor>
void Fields(Visitor& visit, JobStatusChange& m) {
  visit(m.job, m.queue, m.cancelled, m.state);
}
template <typename Visitor>
void Fields(Visitor& visit, JobFeed& m) {
  visit(m.number, m.is_first, m.through, m.changes, m.rows);
}
template <typename Visitor>
void Fields(Visitor& visit, JobFeedRequest& m) {
  visit(m.since);
}

// Counts the fields of a structure: the size of its msgpack array.
struct FieldCounter {
  std::uint32_t count = 0;
  template <typename... Types>
  void operator()(Types&... /*fields*/) {
    count += sizeof...(Types);
  }
  void Optional(std::uint64_t value) { count += value == 0 ? 0 : 1; }
};

class Writer {
 public:
  explicit Writer(msgpack::sbuffer& buffer) : packer_(buffer) {}

  void Open(std::size_t fields) {
    packer_.pack_array(static_cast<std::uint32_t>(fields));
  }
  void Put(const std::uint64_t value) { packer_.pack(value); }
  void Put(bool value) { packer_.pack(value); }
  void Put(std::string& value) { packer_.pack(value); }
  void Put(ResultCode value) { packer_.pack(static_cast<int>(value)); }
  void Put(ClaimState value) { packer_.pack(static_cast<int>(value)); }
  void Put(CommandOutcome value) { packer_.pack(static_cast<int>(value)); }
  void Put(RunEndReason value) { packer_.pack(static_cast<int>(value)); }
  void Put(int value) { packer_.pack(value); }
  void Put(double value) { packer_.pack(value); }
  void Put(JobPhase value) { packer_.pack(static_cast<int>(value)); }
  void Put(std::chrono::milliseconds value) { packer_.pack(value.count()); }
  void Put(std::optional<std::chrono::milliseconds> value) {
    if (value) {
      Put(*value);
    } else {
      packer_.pack_nil();
    }
  }
  template <typename Tag>
  void Put(Id<Tag>& value) {
    packer_.pack(value.value());
  }
  template <typename Element>
  void Put(std::vector<Element>& list) {
    Open(list.size());
    for (Element& element : list) Put(element);
  }
  template <typename Struct>
  std::enable_if_t<std::is_class_v<Struct>> Put(Struct& structure) {
    FieldCounter counter;
    Fields(counter, structure);
    Open(counter.count);
    Fields(*this, structure);
  }
  template <typename... Types>
  void operator()(Types&... fields) {
    (Put(fields), ...);
  }
  // A last field that is left out if it is 0: older builds do not know it.
  void Optional(std::uint64_t value) {
    if (value != 0) Put(value);
  }

 private:
  msgpack::packer<msgpack::sbuffer> packer_;
};

// Reads typed fields from a parsed msgpack array. Each Take returns false if
// the object does not have the expected type or range.
class Reader {
 public:
  explicit Reader(const msgpack::object_array& list) : list_(list) {}

  // True if the array had exactly the expected fields, each of its type.
  bool is_complete() const { return good_ && next_ == list_.size; }

  template <typename... Types>
  void operator()(Types&... fields) {
    (TakeNext(fields), ...);
  }
  void Optional(std::uint64_t& to) {
    if (next_ < list_.size) TakeNext(to);
  }

  static bool Take(const msgpack::object& from, std::uint64_t& to) {
    if (from.type != msgpack::type::POSITIVE_INTEGER) return false;
    to = from.via.u64;
    return true;
  }
  static bool Take(const msgpack::object& from, bool& to) {
    if (from.type != msgpack::type::BOOLEAN) return false;
    to = from.via.boolean;
    return true;
  }
  static bool Take(const msgpack::object& from, std::string& to) {
    if (from.type != msgpack::type::STR) return false;
    to.assign(from.via.str.ptr, from.via.str.size);
    return true;
  }
  static bool Take(const msgpack::object& from, ResultCode& to) {
    std::uint64_t number = 0;
    if (!Take(from, number)) return false;
    for (const ResultCodeInfo& row : ResultCodes()) {
      if (static_cast<std::uint64_t>(row.code) != number) continue;
      to = row.code;
      return true;
    }
    return false;
  }
  static bool Take(const msgpack::object& from, ClaimState& to) {
    return TakeEnumerator(from, ClaimState::kUnknown, to);
  }
  static bool Take(const msgpack::object& from, CommandOutcome& to) {
    return TakeEnumerator(from, CommandOutcome::kNotSent, to);
  }
  static bool Take(const msgpack::object& from, RunEndReason& to) {
    return TakeEnumerator(from, RunEndReason::kAlone, to);
  }
  static bool Take(const msgpack::object& from, int& to) {
    const bool is_integer = from.type == msgpack::type::POSITIVE_INTEGER ||
                            from.type == msgpack::type::NEGATIVE_INTEGER;
    if (!is_integer || !std::in_range<int>(from.via.i64)) return false;
    to = static_cast<int>(from.via.i64);
    return true;
  }
  static bool Take(const msgpack::object& from, double& to) {
    // The library packs a whole number as an integer.
    switch (from.type) {
      case msgpack::type::FLOAT32:
      case msgpack::type::FLOAT64:
        to = from.via.f64;
        return true;
      case msgpack::type::POSITIVE_INTEGER:
        to = static_cast<double>(from.via.u64);
        return true;
      case msgpack::type::NEGATIVE_INTEGER:
        to = static_cast<double>(from.via.i64);
        return true;
      default:
        return false;
    }
  }
  static bool Take(const msgpack::object& from,
                   std::optional<std::chrono::milliseconds>& to) {
    if (from.type == msgpack::type::NIL) {
      to.reset();
      return true;
    }
    return Take(from, to.emplace());
  }
  static bool Take(const msgpack::object& from, JobPhase& to) {
    std::uint64_t number = 0;
    if (!Take(from, number)) return false;
    if (number > static_cast<std::uint64_t>(JobPhase::kCancelled)) return false;
    to = static_cast<JobPhase>(number);
    return true;
  }
  static bool Take(const msgpack::object& from, std::chrono::milliseconds& to) {
    constexpr std::uint64_t longest = 1ULL << 40;  // 34 years
    std::uint64_t count = 0;
    if (from.type == msgpack::type::NEGATIVE_INTEGER) {
      to = std::chrono::milliseconds(0);
      return true;
    }
    if (!Take(from, count) || count > longest) return false;
    to = std::chrono::milliseconds(count);
    return true;
  }
  template <typename Tag>
  static bool Take(const msgpack::object& from, Id<Tag>& to) {
    std::string value;
    if (!Take(from, value)) return false;
    to = Id<Tag>(std::move(value));
    return true;
  }
  template <typename Element>
  static bool Take(const msgpack::object& from, std::vector<Element>& to) {
    if (from.type != msgpack::type::ARRAY) return false;
    to.resize(from.via.array.size);
    for (std::size_t i = 0; i < to.size(); ++i) {
      if (!Take(from.via.array.ptr[i], to[i])) return false;
    }
    return true;
  }
  template <typename Struct>
  static std::enable_if_t<std::is_class_v<Struct>, bool> Take(
      const msgpack::object& from, Struct& to) {
    if (from.type != msgpack::type::ARRAY) return false;
    Reader reader(from.via.array);
    Fields(reader, to);
    return reader.is_complete();
  }

 private:
  template <typename Enum>
  static bool TakeEnumerator(const msgpack::object& from, Enum last, Enum& to) {
    std::uint64_t number = 0;
    if (!Take(from, number)) return false;
    if (number > static_cast<std::uint64_t>(last)) return false;
    to = static_cast<Enum>(number);
    return true;
  }
  template <typename Type>
  void TakeNext(Type& to) {
    good_ = good_ && next_ < list_.size && Take(list_.ptr[next_], to);
    ++next_;
  }

  const msgpack::object_array& list_;
  std::size_t next_ = 0;
  bool good_ = true;
};

Error BadFrame(const char* detail) {
  return Error{ResultCode::kBadFrame, detail};
}

template <std::size_t... Types>
bool TakeMessage(std::size_t type, const msgpack::object& payload,
                 PeerMessage& message, std::index_sequence<Types...> /*all*/) {
  bool good = false;
  const auto try_type = [&](auto index) {
    if (type != index) return;
    good = Reader::Take(payload, message.emplace<index>());
  };
  (try_type(std::integral_constant<std::size_t, Types>{}), ...);
  return good;
}

Result<PeerMessage> ReadEnvelope(const msgpack::object& root) {
  if (root.type != msgpack::type::ARRAY)
    return BadFrame("message is not an array");
  const msgpack::object_array& envelope = root.via.array;
  if (envelope.size != kEnvelopeFields)
    return BadFrame("message is not an array of type and payload");
  std::uint64_t type = 0;
  if (!Reader::Take(envelope.ptr[0], type))
    return BadFrame("message type is not an unsigned integer");
  PeerMessage message;
  constexpr auto types = std::variant_size_v<PeerMessage>;
  const bool good = TakeMessage(type, envelope.ptr[1], message,
                                std::make_index_sequence<types>{});
  if (!good) return BadFrame("unknown message type or malformed payload");
  return message;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  PeerMessage copy = message;
  msgpack::sbuffer buffer;
  Writer writer(buffer);
  writer.Open(kEnvelopeFields);
  writer.Put(static_cast<std::uint64_t>(copy.index()));
  std::visit([&writer](auto& each) { writer.Put(each); }, copy);
  return {buffer.data(), buffer.size()};
}

Result<PeerMessage> Decode(std::string_view bytes) {
  const msgpack::unpack_limit limit(kMaxListElements, 0, kMaxStringBytes, 0, 0,
                                    kMaxDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size())
      return BadFrame("frame has bytes after the message");
    return ReadEnvelope(handle.get());
  } catch (const std::exception&) {
    return BadFrame("frame is not valid msgpack or exceeds a decoding limit");
  }
}

}  // namespace chivewing
