#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// The availability zones that the operator has evacuated: nothing is sent to their
/// backend servers. The orders lie in the platform's store; this is a VM's copy of them.
class ZoneEvacuations
{
public:
  /// Time for which it is remembered that a zone was taken back. Its servers may have
  /// become cold shortly before, and say so within seconds.
  static constexpr Duration kEndRetention = std::chrono::minutes(1);

  /// The order to evacuate a zone is in the store.
  /// @returns false if that is known
  bool Begin(const ZoneId& aZone, TimePoint aNow);

  /// The order is not in the store any more.
  /// @returns how long the zone was evacuated; nothing if it was not
  std::optional<Duration> End(const ZoneId& aZone, TimePoint aNow);

  [[nodiscard]] bool IsEvacuated(const ZoneId& aZone) const
  {
    return this->zones.contains(aZone);
  }

  /// Time since a zone was taken back; nothing if it is evacuated, or was not within
  /// kEndRetention.
  [[nodiscard]] std::optional<Duration> TimeSinceEnd(const ZoneId& aZone,
                                                     TimePoint aNow) const;

  [[nodiscard]] std::vector<ZoneId> Zones() const;
  /// Whether none of the zones may be used.
  [[nodiscard]] bool AreAllEvacuated(const std::set<ZoneId>& aZones) const;

  /// The evacuated zones and for how long they have been.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// By zone, when this VM learned of the order.
  std::map<ZoneId, TimePoint> zones;
  std::map<ZoneId, TimePoint> ends;
};

} // namespace toucanstand
