#include "support/RecordedFormats.h"

#include <algorithm>
#include <fstream>

#include <nlohmann/json.hpp>

namespace toucanstand {

RecordedFormats RecordedFormats::Read(const std::string& aCommit)
{
  std::ifstream file(TOUCANSTAND_RECORDED_FORMATS "/landed-" + aCommit + ".json");
  const auto document = nlohmann::json::parse(file);
  RecordedFormats recorded;
  for (const auto& datagram : document.at("datagrams")) {
    recorded.datagrams.push_back(
      { datagram.at("kind"), BytesFromHexadecimal(datagram.at("hex")) });
  }
  recorded.wholeAnswer = BytesFromHexadecimal(document.at("whole_answer"));
  document.at("records").get_to(recorded.records);
  return recorded;
}

std::size_t RecordedFormats::CountOf(const std::string& aKind) const
{
  return static_cast<std::size_t>(
    std::ranges::count(this->datagrams, aKind, &Datagram::kind));
}

std::vector<std::uint8_t> BytesFromHexadecimal(const std::string& aText)
{
  std::vector<std::uint8_t> bytes;
  for (std::size_t at = 0; at + 1 < aText.size(); at += 2) {
    bytes.push_back(
      static_cast<std::uint8_t>(std::stoul(aText.substr(at, 2), nullptr, 16)));
  }
  return bytes;
}

std::string BytesToHexadecimal(const std::vector<std::uint8_t>& aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const auto byte : aBytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

} // namespace toucanstand
