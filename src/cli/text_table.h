#pragma once

#include <string>
#include <vector>

namespace chivewing {

// Formats rows as text in columns, each as wide as its longest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head);

  // `cells` must have as many cells as the head.
  void AddRow(std::vector<std::string> cells);

  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace chivewing
