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

/// Chooses the candidate for each attempt from the last WorldView and from what this
/// process observed of its own attempts.
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

  /// Replaces the settings; what is known about candidates stays.
  void Configure(RouterSettings aSettings);

  /// Takes over a view. A view received before the last one is counted and ignored.
  void Update(const WorldView& aView, TimePoint aNow);

  /// Chooses a candidate. Nothing is recorded until OnSent().
  Result<Candidate, RouteRefusal> Choose(const RouteQuery& aQuery, TimePoint aNow);

  /// A request was sent to a candidate.
  void OnSent(const std::string& aCandidateId,
              TimePoint aNow,
              WorkClass aClass = WorkClass::Short);

  /// The first byte of an answer arrived. @param aLatency since OnSent().
  void OnFirstByte(const std::string& aCandidateId,
                   Duration aLatency,
                   TimePoint aNow,
                   WorkClass aClass = WorkClass::Short);

  /// An attempt ended. @param aLatency since OnSent().
  void OnFinished(const std::string& aCandidateId,
                  AttemptEnd aEnd,
                  Duration aLatency,
                  TimePoint aNow,
                  WorkClass aClass = WorkClass::Short);

  /// Requests that the usable candidates of a pool can run at once, for all nodes
  /// together. Each reported capacity is bounded by what is usual in the pool; zero when
  /// the pool is unknown. The share of this node is what
  /// AdmissionController::OnSlotsReported() expects.
  [[nodiscard]] double CapacityOf(const PoolId& aPool, TimePoint aNow) const;

  /// State dump: pools with their candidates, and counters.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace toucanstand
