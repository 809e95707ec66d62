#pragma once

#include <array>
#include <cstdint>

#include "time/BootClock.h"

namespace toucanstand {

/// Requests of this process on one candidate, with their number in the recent past.
class OwnRequests
{
public:
  void OnSent(TimePoint aNow);

  /// @return false when nothing is outstanding; the number is then unchanged.
  bool OnFinished(TimePoint aNow);

  [[nodiscard]] double Outstanding() const
  {
    return static_cast<double>(this->outstanding);
  }

  /// Number outstanding at a time of the last 3 s, to within 50 ms; for earlier times the
  /// number 3 s ago.
  [[nodiscard]] double OutstandingAt(TimePoint aWhen, TimePoint aNow);

private:
  void AdvanceBins(TimePoint aNow);

  static constexpr std::size_t kBins = 64;
  std::array<std::int32_t, kBins> changes{};
  std::int64_t newestBin = 0;
  std::int64_t outstanding = 0;
};

} // namespace toucanstand
