#include "peers/PeerReport.h"

#include <cmath>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Counts are whole and take a byte; prompts are not counted to a part of a token.
json WholeNumber(double aValue)
{
  return static_cast<std::uint64_t>(std::llround(aValue));
}

} // namespace

std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport)
{
  json loads = json::array();
  for (const auto& load : aReport.loads) {
    loads.push_back(json::array({ load.destination,
                                  WholeNumber(load.reading),
                                  WholeNumber(load.readingTokens),
                                  WholeNumber(load.writing) }));
  }
  json work = json::array();
  for (const auto& [model, seconds] : aReport.work) {
    work.push_back(json::array({ model, seconds }));
  }
  json learned = json::array();
  for (const auto& [model, time] : aReport.learned) {
    learned.push_back(json::array({ model, time.seconds, time.samples }));
  }
  return EncodeDatagram(DatagramKind::LoadReport,
                        json::array({ aReport.sender.Value(),
                                      aReport.run,
                                      aReport.sequence,
                                      aReport.others,
                                      std::move(loads),
                                      aReport.suspected,
                                      aReport.quarantined,
                                      std::move(work),
                                      std::move(learned) }));
}

Result<PeerReport, DatagramFailure> DecodePeerReport(const json& aFields)
{
  constexpr std::size_t kFields = 9;
  if (!aFields.is_array() || aFields.size() != kFields) {
    return DatagramFailure::BadField;
  }
  FieldReader reader;
  PeerReport report;
  report.sender = VmId(reader.Text(aFields[0]));
  report.run = reader.Whole(aFields[1]);
  report.sequence = reader.Whole(aFields[2]);
  report.others = reader.Whole(aFields[3]);
  for (const auto& row : reader.List(aFields[4])) {
    const auto& items = reader.List(row, 4);
    if (!items.empty()) {
      report.loads.push_back({ reader.Text(items[0]),
                               reader.Number(items[1]),
                               reader.Number(items[2]),
                               reader.Number(items[3]) });
    }
  }
  for (const auto& group : reader.List(aFields[5])) {
    report.suspected.push_back(reader.Text(group));
  }
  for (const auto& fingerprint : reader.List(aFields[6])) {
    report.quarantined.push_back(reader.Whole(fingerprint));
  }
  for (const auto& row : reader.List(aFields[7])) {
    const auto& items = reader.List(row, 2);
    if (!items.empty()) {
      report.work[reader.Text(items[0])] = reader.Number(items[1]);
    }
  }
  for (const auto& row : reader.List(aFields[8])) {
    const auto& items = reader.List(row, 3);
    if (!items.empty()) {
      report.learned[reader.Text(items[0])] = { reader.Number(items[1]),
                                                reader.Number(items[2]) };
    }
  }
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return report;
}

} // namespace toucanstand
