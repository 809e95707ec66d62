#pragma once

#include <array>
#include <cstdint>

#include "time/BootClock.h"

namespace toucanstand {

/// Outstanding requests of this process on one candidate, with a short history of their
/// number.
class OwnRequests
{
public:
  void OnSent(TimePoint aNow);

  /// @return false when no request is outstanding; the count is then unchanged.
  bool OnFinished(TimePoint aNow);

  [[nodiscard]] double Outstanding() const
  {
    return static_cast<double>(this->outstanding);
  }

  /// Number of requests that were outstanding at aWhen, with a resolution of 50 ms. The
  /// history covers 3 s; for earlier times, returns the number 3 s ago.
  [[nodiscard]] double OutstandingAt(TimePoint aWhen, TimePoint aNow);

private:
  void AdvanceBins(TimePoint aNow);

  static constexpr std::size_t kBins = 64;
  /// Ring buffer of the net change of the outstanding requests in each time bin.
  std::array<std::int32_t, kBins> changes{};
  std::int64_t newestBin = 0;
  std::int64_t outstanding = 0;
};

} // namespace toucanstand
