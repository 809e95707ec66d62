#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "admission/AdmissionSettings.h"
#include "admission/Arrival.h"
#include "random/Random.h"

namespace toucanstand {

/// Decides for each request whether it runs now, waits, or is refused.
///
/// Every offered request is admitted or refused exactly once, unless OnAbandoned() is
/// called first. An admitted request holds a slot of its pool until OnFinished() or
/// OnAbandoned(). A refusal is returned by the call that makes it certain.
class AdmissionController
{
public:
  AdmissionController(AdmissionSettings aSettings, Random aRandom);
  ~AdmissionController();
  AdmissionController(AdmissionController&& aOther) noexcept;
  AdmissionController& operator=(AdmissionController&& aOther) noexcept;

  /// Replaces the settings; what waits or runs stays.
  void Configure(AdmissionSettings aSettings);

  /// A request arrived. The actions may concern other requests as well.
  [[nodiscard]] std::vector<AdmissionAction> Offer(Arrival aArrival, TimePoint aNow);

  /// An admitted request ended. @param aService since its admission.
  [[nodiscard]] std::vector<AdmissionAction> OnFinished(const RequestId& aId,
                                                        AttemptOutcome aOutcome,
                                                        Duration aService,
                                                        TimePoint aNow);

  /// The caller gave up on a waiting or admitted request.
  [[nodiscard]] std::vector<AdmissionAction> OnAbandoned(const RequestId& aId,
                                                         TimePoint aNow);

  /// Capacity of a pool as this node's part: requests that may run at once. Takes effect
  /// with the next call that returns actions. A negative, infinite or huge number is
  /// counted and ignored.
  void OnSlotsReported(const PoolId& aPool, double aSlots, TimePoint aNow);

  /// From now on new requests are refused; waiting ones are still served.
  void StartDrain();

  /// Does what has become due. @see NextWake
  [[nodiscard]] std::vector<AdmissionAction> Advance(TimePoint aNow);

  /// When Advance() has something to do next, if nothing else happens.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// State dump: pools with their limits, queues and accounts, and counters.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace toucanstand
