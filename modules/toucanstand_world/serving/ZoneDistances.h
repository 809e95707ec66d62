#pragma once

#include <cstddef>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// The one-way delays between availability zones, as the operator states them.
class ZoneDistances
{
public:
  /// Zones are far apart from this delay on. A round trip then takes 4 ms, of which
  /// callers with objectives of 200 to 300 ms notice several.
  static constexpr Duration kFarApart = std::chrono::milliseconds(2);
  /// No two zones are further apart; larger values are malformed.
  static constexpr Duration kMaxDelay = std::chrono::seconds(10);

  /// Adds the delay between two zones. One that is malformed is left out and counted.
  void Add(const ZoneId& aFrom, const ZoneId& aTo, Duration aDelay);

  /// Counts a delay that can't be read.
  void CountMalformed() { ++this->malformed; }

  [[nodiscard]] std::size_t MalformedCount() const { return this->malformed; }

  /// The largest delay between two different zones; zero if none is known.
  [[nodiscard]] Duration Largest() const { return this->largest; }

  [[nodiscard]] bool AreFarApart() const { return this->largest >= kFarApart; }

private:
  Duration largest{ 0 };
  std::size_t malformed = 0;
};

} // namespace toucanstand
