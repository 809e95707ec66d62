#include "serving/ZoneEvacuations.h"

#include <algorithm>
#include <ranges>

#include <nlohmann/json.hpp>

namespace toucanstand {

bool ZoneEvacuations::Begin(const ZoneId& aZone, TimePoint aNow)
{
  this->ends.erase(aZone);
  return this->zones.emplace(aZone, aNow).second;
}

std::optional<Duration> ZoneEvacuations::End(const ZoneId& aZone, TimePoint aNow)
{
  std::erase_if(this->ends,
                [aNow](const auto& aEnd) { return aNow - aEnd.second > kEndRetention; });
  const auto found = this->zones.find(aZone);
  if (found == this->zones.end()) {
    return std::nullopt;
  }
  const Duration lasted = aNow - found->second;
  this->zones.erase(found);
  this->ends[aZone] = aNow;
  return lasted;
}

std::optional<Duration> ZoneEvacuations::TimeSinceEnd(const ZoneId& aZone,
                                                      TimePoint aNow) const
{
  const auto found = this->ends.find(aZone);
  if (found == this->ends.end() || aNow - found->second > kEndRetention) {
    return std::nullopt;
  }
  return aNow - found->second;
}

std::vector<ZoneId> ZoneEvacuations::Zones() const
{
  const auto names = this->zones | std::views::keys;
  return { names.begin(), names.end() };
}

bool ZoneEvacuations::AreAllEvacuated(const std::set<ZoneId>& aZones) const
{
  return !aZones.empty() && std::ranges::all_of(aZones, [this](const ZoneId& aZone) {
    return this->IsEvacuated(aZone);
  });
}

nlohmann::json ZoneEvacuations::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::array();
  for (const auto& [zone, since] : this->zones) {
    document.push_back({ { "zone", zone.Value() },
                         { "evacuated_ms", ToMilliseconds(aNow - since).count() } });
  }
  return document;
}

} // namespace toucanstand
