#pragma once

#include <string>
#include <vector>

namespace chivewing {

// Columns of text, each as wide as its longest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head);

  // `cells` has as many cells as the head.
  void AddRow(std::vector<std::string> cells);

  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace chivewing
