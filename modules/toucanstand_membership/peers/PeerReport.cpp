#include "peers/PeerReport.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Rounds to an integer, which takes one byte for small counts; fractions of a request or
/// of a token are not significant.
json RoundToInteger(double aValue)
{
  return static_cast<std::uint64_t>(std::llround(aValue));
}

std::vector<std::uint64_t> ReadNumbers(FieldReader& aReader, const json& aList)
{
  std::vector<std::uint64_t> numbers;
  std::ranges::transform(aReader.List(aList),
                         std::back_inserter(numbers),
                         [&aReader](const json& aItem) { return aReader.Whole(aItem); });
  return numbers;
}

} // namespace

json PeerReportFields(const PeerReport& aReport)
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
  json crashes = json::array();
  for (const auto& crash : aReport.crashes) {
    crashes.push_back(json::array({ crash.server, crash.ageSeconds, crash.parts }));
  }
  json survivals = json::array();
  for (const auto& survival : aReport.survivals) {
    survivals.push_back(json::array({ survival.part, survival.ageSeconds }));
  }
  json rateLimits = json::array();
  for (const auto& limit : aReport.rateLimits) {
    json perSecond = json::array();
    if (limit.perSecond) {
      perSecond.push_back(*limit.perSecond);
    }
    rateLimits.push_back(
      json::array({ limit.server, std::move(perSecond), limit.ageSeconds }));
  }
  json learnedOverheads = json::array();
  for (const auto& [model, time] : aReport.learnedOverheads) {
    learnedOverheads.push_back(json::array({ model, time.seconds, time.samples }));
  }
  return json::array({ aReport.sender.Value(),
                       aReport.runNumber,
                       aReport.sequence,
                       aReport.aggregatedVms,
                       std::move(loads),
                       aReport.suspectedGroups,
                       aReport.quarantinedFingerprints,
                       std::move(demand),
                       std::move(learnedOverheads),
                       std::move(crashes),
                       std::move(survivals),
                       aReport.quarantinedParts,
                       std::move(rateLimits) });
}

std::vector<std::uint8_t> EncodePeerReport(const PeerReport& aReport)
{
  return EncodeDatagram(DatagramKind::LoadReport, PeerReportFields(aReport));
}

Result<PeerReport, DatagramFailure> DecodePeerReport(const json& aFields)
{
  constexpr std::size_t kFields = 13;
  if (!aFields.is_array() || aFields.size() < kFields) {
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
  report.quarantinedFingerprints = ReadNumbers(reader, aFields[6]);
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
  for (const auto& row : reader.List(aFields[9])) {
    const auto& items = reader.List(row, 3);
    if (!items.empty()) {
      report.crashes.push_back({ reader.Text(items[0]),
                                 reader.Number(items[1]),
                                 ReadNumbers(reader, items[2]) });
    }
  }
  for (const auto& row : reader.List(aFields[10])) {
    const auto& items = reader.List(row, 2);
    if (!items.empty()) {
      report.survivals.push_back({ reader.Whole(items[0]), reader.Number(items[1]) });
    }
  }
  report.quarantinedParts = ReadNumbers(reader, aFields[11]);
  for (const auto& row : reader.List(aFields[12])) {
    const auto& items = reader.List(row, 3);
    if (!items.empty()) {
      const auto& perSecond = reader.List(items[1]);
      report.rateLimits.push_back(
        { reader.Text(items[0]),
          perSecond.empty() ? std::nullopt : std::optional(reader.Number(perSecond[0])),
          reader.Number(items[2]) });
    }
  }
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  return report;
}

} // namespace toucanstand
