#include "peers/PeerReport.h"

#include <cmath>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Rounds to an integer, which takes one byte for small counts; fractions of a request or
/// of a token are not significant.
json RoundToInteger(double aValue)
{
  return static_cast<std::uint64_t>(std::llround(aValue));
}

} // namespace

std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport)
{
  json loads = json::array();
  for (const auto& load : aReport.loads) {
    loads.push_back(json::array({ load.group,
                                  RoundToInteger(load.prefillRequests),
                                  RoundToInteger(load.prefillTokens),
                                  RoundToInteger(load.decodeRequests) }));
  }
  json demand = json::array();
  for (const auto& [model, seconds] : aReport.demand) {
    demand.push_back(json::array({ model, seconds }));
  }
  json learnedOverheads = json::array();
  for (const auto& [model, time] : aReport.learnedOverheads) {
    learnedOverheads.push_back(json::array({ model, time.seconds, time.samples }));
  }
  return EncodeDatagram(DatagramKind::LoadReport,
                        json::array({ aReport.sender.Value(),
                                      aReport.runNumber,
                                      aReport.sequence,
                                      aReport.aggregatedVms,
                                      std::move(loads),
                                      aReport.suspectedGroups,
                                      aReport.quarantinedFingerprints,
                                      std::move(demand),
                                      std::move(learnedOverheads) }));
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
  report.runNumber = reader.Whole(aFields[1]);
  report.sequence = reader.Whole(aFields[2]);
  report.aggregatedVms = reader.Whole(aFields[3]);
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
    report.suspectedGroups.push_back(reader.Text(group));
  }
  for (const auto& fingerprint : reader.List(aFields[6])) {
    report.quarantinedFingerprints.push_back(reader.Whole(fingerprint));
  }
  for (const auto& row : reader.List(aFields[7])) {
    const auto& items = reader.List(row, 2);
    if (!items.empty()) {
      report.demand[reader.Text(items[0])] = reader.Number(items[1]);
    }
  }
  for (const auto& row : reader.List(aFields[8])) {
    const auto& items = reader.List(row, 3);
    if (!items.empty()) {
      report.learnedOverheads[reader.Text(items[0])] = { reader.Number(items[1]),
                                                         reader.Number(items[2]) };
    }
  }
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return report;
}

} // namespace toucanstand
