#pragma once

#include <cstddef>
#include <vector>

#include "identifiers/Identifiers.h"
#include "placement/ArrivalDistribution.h"
#include "time/BootClock.h"

namespace toucanstand {

struct PlacementChoice;

/// Keeps a request in the availability zone of this VM, where zones are far apart, as
/// long as its caller gets the first event on time all the same.
///
/// It is designed for the mean load of a day, with half to three quarters of the slots
/// taken evenly over the zones: predictions are then a small part of the objective, and
/// the earliest one is as often in another zone as in the own one. At the peak,
/// predictions exceed kMaxTargetShare and the earliest one decides, so that no zone
/// rejects or delays a request that another zone could serve.
class ZonePreference
{
public:
  /// Part of the objective within which the predicted first event must be. Callers see up
  /// to 1.6 times the prediction (GroupPlacement's bound of the margin), which is then
  /// within 0.8 of the objective.
  static constexpr double kMaxTargetShare = 0.5;
  /// Part of a group's slots by which it may be fuller than the group with the earliest
  /// prediction. Bounds the difference between zones when most callers are in one.
  static constexpr double kMaxExtraOccupancy = 0.25;

  /// @param aSlots of one group
  /// @param aTarget objective for the first event
  ZonePreference(ZoneId aOwnZone, std::size_t aSlots, Duration aTarget);

  /// Leaves only groups of the own zone that are good enough, if there are any; otherwise
  /// changes nothing.
  ///
  /// @param aDistribution unreported requests on these groups
  void Apply(std::vector<PlacementChoice>& aGroups,
             ArrivalDistribution& aDistribution) const;

private:
  [[nodiscard]] double OccupancyOf(const PlacementChoice& aGroup) const;

  ZoneId ownZone;
  double slots;
  Duration maxPrediction;
};

} // namespace toucanstand
