#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "admission/AdmissionSettings.h"
#include "admission/Arrival.h"
#include "random/Random.h"

namespace toucanstand {

/// Decides for each request whether it runs now, waits in a queue, or is refused.
///
/// Every offered request is admitted or refused exactly once, unless OnAbandoned() is
/// called first. An admitted request holds a slot of its pool until OnFinished() or
/// OnAbandoned(). A refusal is returned by the first call that finds a reason for it
/// (see RefusalReason), which may be a call for another request.
class AdmissionController
{
public:
  AdmissionController(AdmissionSettings aSettings, Random aRandom);
  ~AdmissionController();
  AdmissionController(AdmissionController&& aOther) noexcept;
  AdmissionController& operator=(AdmissionController&& aOther) noexcept;

  /// Replaces the settings. Waiting and running requests are kept.
  void Configure(AdmissionSettings aSettings);

  /// Submits a new request. The returned actions may concern other requests as well.
  [[nodiscard]] std::vector<AdmissionAction> Offer(Arrival aArrival, TimePoint aNow);

  /// Reports the end of an admitted request. @param aService time since its admission
  [[nodiscard]] std::vector<AdmissionAction> OnFinished(const RequestId& aId,
                                                        AttemptOutcome aOutcome,
                                                        Duration aService,
                                                        TimePoint aNow);

  /// Reports that the caller gave up on a waiting or admitted request.
  [[nodiscard]] std::vector<AdmissionAction> OnAbandoned(const RequestId& aId,
                                                         TimePoint aNow);

  /// Sets this node's part of a pool's capacity, in requests that may run at once. It
  /// takes effect with the next call that returns actions. A value that is negative, not
  /// finite or above 1e9 is ignored and counted.
  void OnSlotsReported(const PoolId& aPool, double aSlots, TimePoint aNow);

  /// Refuses new requests from now on. Waiting requests are still served.
  void StartDrain();

  /// Counts requests that run long as long work, refuses waiting requests that cannot
  /// finish by their deadline, admits what fits, and shortens queues that are too long by
  /// refusals.
  /// @see NextWake
  [[nodiscard]] std::vector<AdmissionAction> Advance(TimePoint aNow);

  /// Time at which Advance() must be called next, unless another event comes first.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// State dump: counters, and the limit, queues and accounts of each pool.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace toucanstand
