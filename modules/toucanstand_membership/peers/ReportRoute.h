#pragma once

#include "time/BootClock.h"

namespace toucanstand {

/// The way of the loads of other VMs to this one, for the mean age at which they are
/// known.
struct ReportRoute
{
  Duration reportInterval{ 0 };
  Duration aggregateInterval{ 0 };
  /// Network and scheduling delay of a datagram within a zone.
  Duration datagramDelay{ 0 };
  /// Whether reports arrive as a part of a relay's aggregates.
  bool isThroughRelay = false;
  /// Whether each zone has a relay of its own, and loads of other zones wait for its
  /// aggregates.
  bool isByZone = false;
  /// Largest one-way delay between zones, and the part of the VMs that are in others.
  Duration zoneDelay{ 0 };
  double shareOfOtherZones = 0;

  [[nodiscard]] Duration MeanAge() const;
};

} // namespace toucanstand
