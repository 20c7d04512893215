#include "schema/json_parser.h"

#include <cstddef>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace chivewing {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNestingDepth = 16;

// Iterates over characters and counts lines. The counter is kept outside of the
// iterator because the parser copies iterators.
class LineCountingIterator {
 public:
  // The standard library requires these names in an iterator.
  // NOLINTBEGIN(readability-identifier-naming)
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  // NOLINTEND(readability-identifier-naming)

  LineCountingIterator(const char* position, int* line)
      : position_(position), line_(line) {}

  reference operator*() const { return *position_; }
  LineCountingIterator& operator++() {
    if (*position_ == '\n') ++*line_;
    ++position_;
    return *this;
  }
  LineCountingIterator operator++(int) {
    const LineCountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const LineCountingIterator& other) const {
    return position_ == other.position_;
  }
  bool operator!=(const LineCountingIterator& other) const {
    return !(*this == other);
  }

 private:
  const char* position_;
  int* line_;
};

// Builds the tree of nodes from the events of the SAX parser. Integers above
// the range of int64 become kNumber.
class TreeBuilder : public nlohmann::json_sax<Json> {
 public:
  TreeBuilder(const int* line, ValidationErrorCollector* errors)
      : line_(line), errors_(errors) {}

  bool null() override { return Append(MakeNode(JsonKind::kNull)); }

  bool boolean(bool value) override {
    JsonNode node = MakeNode(JsonKind::kFlag);
    node.flag = value;
    return Append(std::move(node));
  }

  bool number_integer(number_integer_t value) override {
    JsonNode node = MakeNode(JsonKind::kInteger);
    node.integer = value;
    node.number = static_cast<double>(value);
    return Append(std::move(node));
  }

  bool number_unsigned(number_unsigned_t value) override {
    constexpr auto max_integer =
        static_cast<number_unsigned_t>(std::numeric_limits<int64_t>::max());
    if (value > max_integer) return AppendNumber(static_cast<double>(value));
    return number_integer(static_cast<number_integer_t>(value));
  }

  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return AppendNumber(value);
  }

  bool string(string_t& value) override {
    JsonNode node = MakeNode(JsonKind::kText);
    node.text = std::move(value);
    return Append(std::move(node));
  }

  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*size*/) override {
    return Open(JsonKind::kObject);
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*size*/) override {
    return Open(JsonKind::kList);
  }
  bool end_array() override { return Close(); }

  bool key(string_t& value) override {
    key_ = std::move(value);
    key_line_ = *line_;
    if (open_nodes_.back().Find(key_) != nullptr) {
      errors_->Add(key_line_, key_, "given twice");
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& error) override {
    const std::string text = error.what();
    const std::size_t reason = text.find("syntax error");
    errors_->Add(*line_, "",
                 reason == std::string::npos ? text : text.substr(reason));
    return false;
  }

  JsonNode TakeRoot() { return std::move(root_); }

 private:
  JsonNode MakeNode(JsonKind kind) {
    JsonNode node;
    node.kind = kind;
    node.line = key_.empty() ? *line_ : key_line_;
    node.key = std::move(key_);
    key_.clear();
    return node;
  }

  bool AppendNumber(double value) {
    JsonNode node = MakeNode(JsonKind::kNumber);
    node.number = value;
    return Append(std::move(node));
  }

  bool Append(JsonNode node) {
    if (open_nodes_.empty()) {
      root_ = std::move(node);
    } else {
      open_nodes_.back().items.push_back(std::move(node));
    }
    return true;
  }

  bool Open(JsonKind kind) {
    open_nodes_.push_back(MakeNode(kind));
    if (open_nodes_.size() <= kMaxNestingDepth) return true;
    errors_->Add(*line_, "",
                 "nested deeper than " + std::to_string(kMaxNestingDepth));
    return false;
  }

  bool Close() {
    JsonNode node = std::move(open_nodes_.back());
    open_nodes_.pop_back();
    return Append(std::move(node));
  }

  const int* line_;
  ValidationErrorCollector* errors_;
  std::vector<JsonNode> open_nodes_;
  std::string key_;
  int key_line_ = 0;
  JsonNode root_;
};

}  // namespace

ValidationResult<JsonNode> ParseJson(std::string_view text,
                                     const std::string& file) {
  int line = 1;
  ValidationErrorCollector errors(file);
  TreeBuilder builder(&line, &errors);
  const LineCountingIterator first(text.data(), &line);
  const LineCountingIterator last(text.data() + text.size(), &line);
  Json::sax_parse(first, last, &builder, Json::input_format_t::json, true,
                  true);
  if (!errors.empty()) return errors.Take();
  return builder.TakeRoot();
}

}  // namespace chivewing
