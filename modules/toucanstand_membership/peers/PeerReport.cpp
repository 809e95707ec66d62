#include "peers/PeerReport.h"

namespace toucanstand {

using nlohmann::json;

std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport)
{
  json loads = json::array();
  for (const auto& load : aReport.loads) {
    loads.push_back(
      json::array({ load.destination, load.reading, load.readingTokens, load.writing }));
  }
  json work = json::array();
  for (const auto& [model, seconds] : aReport.work) {
    work.push_back(json::array({ model, seconds }));
  }
  return EncodeDatagram(DatagramKind::LoadReport,
                        json::array({ aReport.sender.Value(),
                                      aReport.run,
                                      aReport.sequence,
                                      aReport.others,
                                      std::move(loads),
                                      aReport.suspected,
                                      aReport.quarantined,
                                      std::move(work) }));
}

Result<PeerReport, DatagramFailure> DecodePeerReport(const json& aFields)
{
  constexpr std::size_t kFields = 8;
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
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return report;
}

} // namespace toucanstand
