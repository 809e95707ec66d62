#include "priority/PriorityAdmission.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Weight of an arrival in the share of accepted requests: about the arrivals of half a
/// minute at one of many VMs.
constexpr double kAcceptedShareWeight = 1.0 / 16;
/// Bounds how many requests the floor accepts in a row after a time without acceptance.
constexpr double kMaxCredit = 2.0;

} // namespace

const char* AdmissionDecision::RejectionName() const
{
  if (!this->leavesTimeToReturn) {
    return "too_late_to_return";
  }
  return this->verdict == AdmissionVerdict::Yielded ? "yielded" : "overloaded";
}

AdmissionDecision PriorityAdmission::Decide(const AdmissionRequest& aRequest,
                                            const AdmissionOutlook& aOutlook,
                                            TimePoint aNow)
{
  if (aRequest.mustPlace) {
    return {};
  }
  auto& model = this->models[{ aRequest.pool, aRequest.model }];
  auto& kind = model.kinds[{ aRequest.priority, aRequest.objective }];
  kind.arrivedAt = aNow;
  kind.credit = std::min(kind.credit + kFloorShare * model.acceptedShare, kMaxCredit);
  const auto decision = Check(model, aRequest, aOutlook, aNow);
  if (decision.IsAccepted()) {
    kind.credit = std::max(kind.credit - 1.0, 0.0);
  }
  model.acceptedShare +=
    kAcceptedShareWeight * ((decision.IsAccepted() ? 1.0 : 0.0) - model.acceptedShare);
  return decision;
}

AdmissionDecision PriorityAdmission::Check(const ModelState& aModel,
                                           const AdmissionRequest& aRequest,
                                           const AdmissionOutlook& aOutlook,
                                           TimePoint aNow)
{
  const Kind kind{ aRequest.priority, aRequest.objective };
  AdmissionDecision decision;
  decision.limit = OwnLimit(kind, aOutlook.margin);
  // While slots are free, a long prompt that cannot meet its target on any group is not
  // rejected, because it displaces no other request.
  if (aOutlook.lowestOccupancy < kLowOccupancyShare) {
    return decision;
  }
  const auto reject = [&](AdmissionVerdict aVerdict, Duration aExcess) {
    decision.verdict = aVerdict;
    decision.retryAfter = std::max(aExcess, kMinRetryDelay);
    decision.leavesTimeToReturn =
      ToSeconds(decision.retryAfter) * (1.0 + kMaxRetryJitter) <=
      ToSeconds(aRequest.timeLeft) * kRetryWindowShare;
    return decision;
  };
  if (aOutlook.earliest > decision.limit) {
    return reject(AdmissionVerdict::Overloaded, aOutlook.earliest - decision.limit);
  }
  if (aOutlook.lowestOccupancy < kYieldingOccupancy) {
    return decision;
  }
  const auto effective = EffectiveLimit(aModel, kind, aOutlook.margin, aNow);
  // The next urgent request has a prompt of its own, and with several groups it does not
  // wait for this one. Its wait is that of a usual prompt; otherwise the longest prompts
  // of a kind would never be accepted.
  const auto wait = aOutlook.earliest - aRequest.excessPromptTime;
  if (!effective.yieldsTo || wait <= effective.time) {
    return decision;
  }
  decision.yieldsTo = effective.yieldsTo;
  if (aModel.kinds.at(kind).credit >= 1.0) {
    decision.verdict = AdmissionVerdict::AcceptedByFloor;
    return decision;
  }
  decision.limit = effective.time;
  return reject(AdmissionVerdict::Yielded, wait - effective.time);
}

Duration PriorityAdmission::OwnLimit(const Kind& aKind, double aMargin)
{
  return FromSeconds(ToSeconds(aKind.objective) *
                     std::min(kMaxTargetShare, 1.0 / aMargin));
}

PriorityAdmission::Limit PriorityAdmission::EffectiveLimit(const ModelState& aModel,
                                                           const Kind& aKind,
                                                           double aMargin,
                                                           TimePoint aNow)
{
  std::map<Kind, Limit> moreUrgent;
  const auto limitOf = [&](const Kind& aOther) {
    Limit limit{ OwnLimit(aOther, aMargin), std::nullopt };
    for (const auto& [urgent, effective] : moreUrgent) {
      if (urgent.priority >= aOther.priority) {
        break;
      }
      const auto bound =
        std::max(FromSeconds(kTightening * ToSeconds(effective.time)),
                 FromSeconds(kMinTightening * ToSeconds(OwnLimit(urgent, aMargin))));
      if (bound < limit.time) {
        limit = { bound, urgent.priority };
      }
    }
    return limit;
  };
  // Kinds are in order of priority, so the limits that each depends on are known.
  for (const auto& [kind, state] : aModel.kinds) {
    if (kind.priority >= aKind.priority) {
      break;
    }
    if (aNow - state.arrivedAt <= kKindLifetime) {
      moreUrgent[kind] = limitOf(kind);
    }
  }
  return limitOf(aKind);
}

nlohmann::json PriorityAdmission::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::array();
  for (const auto& [key, model] : this->models) {
    auto kinds = nlohmann::json::array();
    for (const auto& [kind, state] : model.kinds) {
      kinds.push_back(
        { { "priority", kind.priority },
          { "objective_ms", ToMilliseconds(kind.objective).count() },
          { "arrived_ago_ms", ToMilliseconds(aNow - state.arrivedAt).count() },
          { "credit", state.credit } });
    }
    document.push_back({ { "pool", key.first.Value() },
                         { "model", key.second },
                         { "accepted_share", model.acceptedShare },
                         { "kinds", std::move(kinds) } });
  }
  return document;
}

} // namespace toucanstand
