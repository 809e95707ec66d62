#include "Table.h"

#include <algorithm>
#include <utility>

namespace toucanstand {

Table::Table(std::vector<std::string> aHeader)
{
  this->rows.push_back(std::move(aHeader));
}

void Table::AddRow(std::vector<std::string> aRow)
{
  aRow.resize(this->rows.front().size());
  this->rows.push_back(std::move(aRow));
}

void Table::Print(std::ostream& aOut) const
{
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const auto& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      aOut << row[column];
      // The last column is not padded, so that lines have no trailing spaces.
      if (column + 1 < row.size()) {
        aOut << std::string(widths[column] - row[column].size() + 2, ' ');
      }
    }
    aOut << '\n';
  }
}

} // namespace toucanstand
