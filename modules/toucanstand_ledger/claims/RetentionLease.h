#pragma once

#include <cstdint>
#include <optional>

#include "time/BootClock.h"

namespace toucanstand {

/// Chooses the store lease that bounds how long claims are kept.
///
/// One lease serves all claims of a period, because a lease per claim would add a store
/// call to each. It is never renewed; its lifetime is the retention plus the period, so
/// that the last claim of the period is still kept for the whole retention.
class RetentionLease
{
public:
  static constexpr Duration kDefaultRetention = std::chrono::hours(24);
  static constexpr Duration kDefaultPeriod = std::chrono::hours(1);

  explicit RetentionLease(Duration aRetention = kDefaultRetention,
                          Duration aPeriod = kDefaultPeriod);

  /// The lease for a claim made now; nothing when a new one has to be granted first.
  [[nodiscard]] std::optional<std::int64_t> Current(TimePoint aNow) const;

  /// Lifetime to ask the store for.
  [[nodiscard]] Duration Lifetime() const { return this->retention + this->period; }

  /// The store granted a lease. @param aAskedAt when the call was started, because the
  /// lifetime may have begun then.
  void OnGranted(std::int64_t aLease, TimePoint aAskedAt);

  /// The store may have lost the lease: have a new one granted before the next claim.
  void Forget() { this->usableUntil = TimePoint{}; }

private:
  Duration retention;
  Duration period;
  std::int64_t lease = 0;
  TimePoint usableUntil{};
};

} // namespace toucanstand
