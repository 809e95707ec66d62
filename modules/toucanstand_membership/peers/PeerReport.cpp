#include "peers/PeerReport.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Lists of a report; a datagram holds fewer.
constexpr std::size_t kMostItems = 4096;
constexpr DecodeLimits kLimits = { 64U << 10U, 6 };

/// Reads fields and remembers whether one of them was missing or of another type.
class FieldReader
{
public:
  [[nodiscard]] bool Failed() const { return this->failed; }

  double Number(const json& aValue)
  {
    const bool good = aValue.is_number() && std::isfinite(aValue.get<double>()) &&
                      aValue.get<double>() >= 0;
    this->failed = this->failed || !good;
    return good ? aValue.get<double>() : 0;
  }

  std::uint64_t Whole(const json& aValue)
  {
    this->failed = this->failed || !aValue.is_number_unsigned();
    return aValue.is_number_unsigned() ? aValue.get<std::uint64_t>() : 0;
  }

  std::string Text(const json& aValue)
  {
    this->failed = this->failed || !aValue.is_string();
    return aValue.is_string() ? aValue.get<std::string>() : std::string();
  }

  /// A list of that length; an empty list when it is none.
  const json& List(const json& aValue, std::size_t aLength)
  {
    static const json kEmpty = json::array();
    const bool good = aValue.is_array() && (aLength == 0 || aValue.size() == aLength) &&
                      aValue.size() <= kMostItems;
    this->failed = this->failed || !good;
    return good ? aValue : kEmpty;
  }

private:
  bool failed = false;
};

} // namespace

std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport)
{
  // Positions instead of names: reports are the largest part of the traffic between
  // entry VMs.
  json loads = json::array();
  for (const auto& load : aReport.loads) {
    loads.push_back(
      json::array({ load.destination, load.reading, load.readingTokens, load.writing }));
  }
  json work = json::array();
  for (const auto& [model, seconds] : aReport.work) {
    work.push_back(json::array({ model, seconds }));
  }
  return json::to_msgpack(json::array({ aReport.sender.Value(),
                                        aReport.run,
                                        aReport.sequence,
                                        std::move(loads),
                                        aReport.suspected,
                                        aReport.quarantined,
                                        std::move(work) }));
}

Result<PeerReport, PeerReportFailure> DecodePeerReport(
  std::span<const std::uint8_t> aBytes)
{
  const auto document = DecodeMessagePack(aBytes, kLimits);
  constexpr std::size_t kFields = 7;
  if (!document || !document->is_array() || document->size() != kFields) {
    return PeerReportFailure::Malformed;
  }
  const auto& fields = *document;
  FieldReader reader;
  PeerReport report;
  report.sender = VmId(reader.Text(fields[0]));
  report.run = reader.Whole(fields[1]);
  report.sequence = reader.Whole(fields[2]);
  for (const auto& row : reader.List(fields[3], 0)) {
    const auto& items = reader.List(row, 4);
    if (!items.empty()) {
      report.loads.push_back({ reader.Text(items[0]),
                               reader.Number(items[1]),
                               reader.Number(items[2]),
                               reader.Number(items[3]) });
    }
  }
  for (const auto& group : reader.List(fields[4], 0)) {
    report.suspected.push_back(reader.Text(group));
  }
  for (const auto& fingerprint : reader.List(fields[5], 0)) {
    report.quarantined.push_back(reader.Whole(fingerprint));
  }
  for (const auto& row : reader.List(fields[6], 0)) {
    const auto& items = reader.List(row, 2);
    if (!items.empty()) {
      report.work[reader.Text(items[0])] = reader.Number(items[1]);
    }
  }
  if (reader.Failed()) {
    return PeerReportFailure::BadField;
  }
  return report;
}

} // namespace toucanstand
