#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace toucanstand {

/// Text table whose columns are as wide as their widest cell.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader);

  void AddRow(std::vector<std::string> aRow);
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> rows;
};

} // namespace toucanstand
