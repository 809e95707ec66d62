#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace toucanstand {

/// Messages and records that processes of a landed build wrote, from tests/platform/data;
/// TestRecordLandedFormats.cpp writes the files.
struct RecordedFormats
{
  struct Datagram
  {
    /// `load_report`, `aggregate`, `change_query` or `change_answer`.
    std::string kind;
    std::vector<std::uint8_t> bytes;
  };

  std::vector<Datagram> datagrams;
  /// Answer to a query over a connection.
  std::vector<std::uint8_t> wholeAnswer;
  /// Values by key of the store.
  std::map<std::string, std::string> records;

  [[nodiscard]] std::size_t CountOf(const std::string& aKind) const;

  /// @throws an exception if there is no readable file for the commit
  static RecordedFormats Read(const std::string& aCommit);
};

/// Reads pairs of lower-case hexadecimal digits.
[[nodiscard]] std::vector<std::uint8_t> BytesFromHexadecimal(const std::string& aText);
[[nodiscard]] std::string BytesToHexadecimal(const std::vector<std::uint8_t>& aBytes);

} // namespace toucanstand
