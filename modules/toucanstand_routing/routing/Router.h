#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "errors/Result.h"
#include "observation/WorldView.h"
#include "random/Random.h"
#include "routing/RouteQuery.h"
#include "routing/RouterSettings.h"

namespace toucanstand {

/// Chooses the candidate for each attempt, based on the last WorldView and the results of
/// this process's own attempts.
///
/// The caller reports each attempt with OnSent(), at most one OnFirstByte() and exactly
/// one OnFinished(), all with the same work class. Reports about unknown candidates are
/// counted and ignored.
class Router
{
public:
  explicit Router(RouterSettings aSettings, Random aRandom);
  ~Router();
  Router(Router&& aOther) noexcept;
  Router& operator=(Router&& aOther) noexcept;

  /// Replaces the settings; the state of the candidates is kept.
  void Configure(RouterSettings aSettings);

  /// Updates the candidates from a view. A view received before the last one is counted
  /// and ignored.
  void Update(const WorldView& aView, TimePoint aNow);

  /// Chooses a candidate. Nothing is recorded until OnSent().
  Result<Candidate, RouteRefusal> Choose(const RouteQuery& aQuery, TimePoint aNow);

  /// Records that a request was sent to a candidate.
  void OnSent(const std::string& aCandidateId,
              TimePoint aNow,
              WorkClass aClass = WorkClass::Short);

  /// Records the first byte of an answer. @param aLatency since OnSent().
  void OnFirstByte(const std::string& aCandidateId,
                   Duration aLatency,
                   TimePoint aNow,
                   WorkClass aClass = WorkClass::Short);

  /// Records the end of an attempt. @param aLatency since OnSent().
  void OnFinished(const std::string& aCandidateId,
                  RouteOutcome aOutcome,
                  Duration aLatency,
                  TimePoint aNow,
                  WorkClass aClass = WorkClass::Short);

  /// Requests that the usable candidates of a pool can run at once, for all nodes
  /// together; zero when the pool is unknown. Each reported capacity is clamped to a
  /// range around the pool's median. AdmissionController::OnSlotsReported() expects this
  /// node's share of the result.
  [[nodiscard]] double CapacityOf(const PoolId& aPool, TimePoint aNow) const;

  /// State dump: pools with their candidates, and counters.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace toucanstand
