#include "peers/ZoneAggregate.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

using nlohmann::json;

std::vector<std::uint8_t> EncodeZoneAggregate(const ZoneAggregate& aAggregate)
{
  json vms = json::array();
  std::ranges::transform(aAggregate.vms, std::back_inserter(vms), &VmId::Value);
  return EncodeDatagram(
    DatagramKind::ZoneAggregate,
    json::array(
      { aAggregate.zone.Value(), std::move(vms), PeerReportFields(aAggregate.sum) }));
}

Result<ZoneAggregate, DatagramFailure> DecodeZoneAggregate(const json& aFields)
{
  constexpr std::size_t kFields = 3;
  FieldReader reader;
  const auto& fields = reader.List(aFields, kFields);
  if (reader.Failed()) {
    return DatagramFailure::BadField;
  }
  ZoneAggregate aggregate;
  aggregate.zone = ZoneId(reader.Text(fields[0]));
  std::ranges::transform(
    reader.List(fields[1]),
    std::back_inserter(aggregate.vms),
    [&reader](const json& aItem) { return VmId(reader.Text(aItem)); });
  auto sum = DecodePeerReport(fields[2]);
  const bool isValid = !reader.Failed() && sum && !aggregate.zone.IsEmpty() &&
                       !aggregate.vms.empty() &&
                       sum->aggregatedVms == aggregate.vms.size();
  if (!isValid) {
    return DatagramFailure::BadField;
  }
  aggregate.sum = std::move(*sum);
  return aggregate;
}

} // namespace toucanstand
