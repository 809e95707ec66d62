#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A request that placement could send to a group.
struct AdmissionRequest
{
  PoolId pool;
  std::string model;
  /// 0 is the most urgent.
  int priority = 0;
  /// Target for the time to the first event.
  Duration objective{ 0 };
  /// Time until the caller must have the final response.
  Duration timeLeft{ 0 };
  /// Time that its prompt takes beyond a usual prompt; zero if it is not longer.
  Duration excessPromptTime{ 0 };
  /// Accept the request whatever is predicted, for example because its stream has already
  /// begun.
  bool mustPlace = false;
};

/// What placement predicts for the request.
struct AdmissionOutlook
{
  /// Earliest predicted first event among the eligible groups.
  Duration earliest{ 0 };
  /// Share of slots taken on the emptiest eligible group; above 1 when requests wait.
  double lowestOccupancy = 0;
  /// Ratio of observed to predicted times that most requests of the model do not exceed.
  double margin = 1.0;
};

enum class AdmissionVerdict
{
  Accepted,
  /// Accepted so that its kind does not starve, although it delays more urgent ones.
  AcceptedByFloor,
  /// No group is predicted to meet its own objective.
  Overloaded,
  /// A more urgent request that arrives next would miss its objective.
  Yielded,
};

struct AdmissionDecision
{
  AdmissionVerdict verdict = AdmissionVerdict::Accepted;
  /// Longest prediction allowed by the check that decided.
  Duration limit{ 0 };
  /// Priority of the kind from which the limit derives, if it is not the request's own.
  std::optional<int> yieldsTo;
  /// Time after which the prediction is expected to be within the limit.
  Duration retryAfter{ 0 };
  /// The caller may come back after `retryAfter`: it lies within the time in which
  /// callers retry.
  bool leavesTimeToReturn = true;

  [[nodiscard]] bool IsAccepted() const
  {
    return this->verdict == AdmissionVerdict::Accepted ||
           this->verdict == AdmissionVerdict::AcceptedByFloor;
  }
  /// Name of the reason for a rejection, for metrics.
  [[nodiscard]] const char* RejectionName() const;
};

/// Decides whether a request is accepted now, by its priority and that of the requests
/// that have recently arrived for its model.
///
/// It is designed for peak load, when nearly all slots of a model's groups are taken by
/// kinds of several priorities and each of about a hundred VMs sees a request of a kind
/// every few seconds. See docs/design/priority-admission.md.
class PriorityAdmission
{
public:
  /// Maximum share of the objective that a prediction may use, however accurate
  /// predictions are.
  static constexpr double kMaxTargetShare = 0.85;
  /// No request is rejected while an eligible group has a smaller share of its slots
  /// taken.
  static constexpr double kLowOccupancyShare = 0.5;
  /// No request yields while an eligible group has a smaller share of its slots taken: a
  /// free slot serves it, and long predictions then come from the engine, not from its
  /// load.
  static constexpr double kYieldingOccupancy = 1.0;
  /// Time for which a kind counts as arriving: at 0.3 requests per second, 95 in 100 VMs
  /// see one within it.
  static constexpr Duration kKindLifetime = std::chrono::seconds(10);
  /// Share of a kind's limit that the next less urgent kind may use.
  static constexpr double kTightening = 0.7;
  /// The least share of a kind's own limit that less urgent kinds may use, however many
  /// priorities there are.
  static constexpr double kMinTightening = 0.5;
  /// A kind that yields is accepted at least this much as often as all requests of the
  /// model. Callers need a quarter; some accepted requests fail later.
  static constexpr double kFloorShare = 0.35;
  /// Rejected callers retry no earlier than after one pass of a full group.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
  /// Share of their remaining time within which callers retry.
  static constexpr double kRetryWindowShare = 1.0 / 3.0;
  /// The most by which the response lengthens the time that it states.
  static constexpr double kMaxRetryJitter = 0.5;

  /// Records the arrival, unless it must be placed, and decides.
  [[nodiscard]] AdmissionDecision Decide(const AdmissionRequest& aRequest,
                                         const AdmissionOutlook& aOutlook,
                                         TimePoint aNow);

  /// State dump: the kinds of each model, when they last arrived, and their credit.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// Requests that are alike to the decision.
  struct Kind
  {
    int priority = 0;
    Duration objective{ 0 };

    auto operator<=>(const Kind&) const = default;
  };

  struct KindState
  {
    TimePoint arrivedAt{};
    /// Requests that the floor may accept. The first request that a VM sees is one of
    /// them, so that a rare kind is not rejected once by each VM.
    double credit = 1.0;
  };

  struct ModelState
  {
    std::map<Kind, KindState> kinds;
    /// Moving average over the latest arrivals.
    double acceptedShare = 1.0;
  };

  struct Limit
  {
    Duration time{ 0 };
    std::optional<int> yieldsTo;
  };

  static Duration OwnLimit(const Kind& aKind, double aMargin);
  static Limit EffectiveLimit(const ModelState& aModel,
                              const Kind& aKind,
                              double aMargin,
                              TimePoint aNow);
  static AdmissionDecision Check(const ModelState& aModel,
                                 const AdmissionRequest& aRequest,
                                 const AdmissionOutlook& aOutlook,
                                 TimePoint aNow);

  std::map<std::pair<PoolId, std::string>, ModelState> models;
};

} // namespace toucanstand
