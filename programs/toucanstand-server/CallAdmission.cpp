#include "CallAdmission.h"

#include <algorithm>

namespace toucanstand {

namespace {

constexpr const char* kNoGroup = "no_group";
constexpr const char* kOverloaded = "overloaded";

} // namespace

CallAdmission::CallAdmission(ServingState& aState, const Call& aCall)
  : state(aState)
  , call(aCall)
{
}

std::optional<CallRefusal> CallAdmission::Decide(
  const Result<PlacementChoice, NoEligibleGroup>& aChoice,
  bool aMustPlace,
  TimePoint aNow)
{
  if (!aChoice) {
    AdmissionDecision decision;
    decision.retryAfter = std::max(aChoice.LastReason().retryAfter,
                                   this->state.TimeUntilAvailable(this->call, aNow));
    return this->Refuse(kNoGroup, kNoGroup, PlacementOutlook(), decision);
  }
  const auto& outlook = aChoice->outlook;
  const auto decision = this->state.admission.Decide(
    this->MakeRequest(aMustPlace, aNow),
    { outlook.earliest, outlook.lowestOccupancy, outlook.margin },
    aNow);
  if (decision.verdict == AdmissionVerdict::AcceptedByFloor) {
    this->state.metrics.Count("placement_floor_accepts_total{route=\"" +
                              this->call.route->name + "\"}");
  }
  if (decision.IsAccepted()) {
    return std::nullopt;
  }
  return this->Refuse(kOverloaded, decision.RejectionName(), outlook, decision);
}

AdmissionRequest CallAdmission::MakeRequest(bool aMustPlace, TimePoint aNow) const
{
  return { this->call.pool,
           this->call.facts.model,
           this->call.priority,
           this->call.route->targetLatency,
           this->call.deadline - aNow,
           this->ExcessPromptTime(),
           aMustPlace };
}

Duration CallAdmission::ExcessPromptTime() const
{
  const auto* cost = this->state.FindCostModel(this->call.pool);
  const auto* model = cost == nullptr ? nullptr : cost->FindModel(this->call.facts.model);
  if (model == nullptr) {
    return Duration::zero();
  }
  const double tokens =
    std::max(this->call.facts.promptTokens - cost->usualPromptTokens, 0.0);
  return FromSeconds(tokens / cost->promptTokensPerSecond * model->paceFactor);
}

CallRefusal CallAdmission::Refuse(const char* aReason,
                                  const char* aCause,
                                  const PlacementOutlook& aOutlook,
                                  const AdmissionDecision& aDecision)
{
  this->state.metrics.Count("placement_refusals_total{route=\"" + this->call.route->name +
                            "\",reason=\"" + aCause + "\"}");
  this->state.log.Write(
    LogWeight::Notable,
    "placement_refused",
    { { "request", this->call.facts.id.Value() },
      { "model", this->call.facts.model },
      { "reason", aReason },
      { "priority", static_cast<std::int64_t>(this->call.priority) },
      { "yields_to", static_cast<std::int64_t>(aDecision.yieldsTo.value_or(-1)) },
      { "returns", aDecision.leavesTimeToReturn },
      { "groups", static_cast<std::int64_t>(aOutlook.groups) },
      { "soonest_ms", ToMilliseconds(aOutlook.earliest).count() },
      { "limit_ms", ToMilliseconds(aDecision.limit).count() },
      { "spared", this->state.DescribeSpared(this->call.pool, BootClock::now()) },
      { "leaving", this->state.CountLeaving(this->call.pool) },
      { "prompt_tokens", this->call.facts.promptTokens },
      { "retry_after_ms", ToMilliseconds(aDecision.retryAfter).count() } });
  return { aReason, aDecision.retryAfter };
}

} // namespace toucanstand
