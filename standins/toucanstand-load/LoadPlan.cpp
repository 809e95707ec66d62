#include "LoadPlan.h"

#include <algorithm>
#include <numeric>

namespace toucanstand {

namespace {

using std::chrono::milliseconds;

constexpr Duration kLongestPhase = std::chrono::hours(24);
constexpr Duration kLongestTimeout = std::chrono::minutes(30);
constexpr double kHighestRate = 100'000;
constexpr std::int64_t kMostTokens = 1'000'000;
constexpr std::int64_t kMostPrefixes = 1'000'000;
constexpr std::int64_t kMostPrefixCharacters = 100'000;
constexpr double kHighestWeight = 1e9;

LoadPhase ReadPhase(SettingsReader& aReader)
{
  LoadPhase phase;
  phase.startRate = aReader.Number("rate", 0, kHighestRate);
  phase.endRate = aReader.Number("end_rate", 0, kHighestRate, phase.startRate);
  phase.length = aReader.Milliseconds("duration_ms", milliseconds(1), kLongestPhase);
  return phase;
}

RequestProfile ReadProfile(SettingsReader& aReader)
{
  RequestProfile profile;
  profile.name = aReader.Text("name");
  const auto kind = aReader.Choice("kind", { "chat", "lookup", "order" });
  profile.kind = kind == "lookup"  ? RequestKind::Lookup
                 : kind == "order" ? RequestKind::Order
                                   : RequestKind::Chat;
  profile.weight = aReader.Number("weight", 0, kHighestWeight, 1);
  profile.worth = aReader.Number("worth", 0, kHighestWeight, 1);
  profile.timeout = aReader.Milliseconds("timeout_ms", milliseconds(1), kLongestTimeout);
  if (profile.kind == RequestKind::Chat) {
    profile.maxTokens = aReader.Whole("max_tokens", 1, kMostTokens);
    profile.streamed = aReader.Flag("streamed", true);
    profile.prefixes = aReader.Whole("prefixes", 1, kMostPrefixes, 1);
    profile.prefixCharacters =
      aReader.Whole("prefix_characters", 0, kMostPrefixCharacters, 200);
  } else {
    profile.path = aReader.Text(
      "path", profile.kind == RequestKind::Lookup ? "/catalogue/" : "/orders");
  }
  profile.abandonShare = aReader.Number("abandon_share", 0, 1, 0);
  profile.abandonAfter = aReader.Milliseconds(
    "abandon_after_ms", milliseconds(0), kLongestTimeout, profile.timeout);
  profile.againShare = aReader.Number("again_share", 0, 1, 0);
  return profile;
}

} // namespace

Duration LoadPlan::Length() const
{
  return std::accumulate(
    this->phases.begin(),
    this->phases.end(),
    Duration::zero(),
    [](Duration aSum, const LoadPhase& aPhase) { return aSum + aPhase.length; });
}

LoadPlan ReadLoadPlan(SettingsReader& aReader)
{
  LoadPlan plan;
  for (const auto& text : aReader.TextList("targets")) {
    const auto target = Endpoint::Parse(text);
    if (target) {
      plan.targets.push_back(*target);
    } else {
      aReader.Reject("targets", SettingsRule::Consistent, "a list of ADDRESS:PORT");
    }
  }
  plan.seed = aReader.Whole("seed", 0, INT64_MAX, 1);
  plan.requireOutcome = aReader.Flag("require_outcome", true);
  aReader.ObjectList("phases", [&plan](SettingsReader& aPhase) {
    plan.phases.push_back(ReadPhase(aPhase));
  });
  aReader.ObjectList("accounts", [&plan](SettingsReader& aAccount) {
    LoadAccount account;
    account.name = aAccount.Text("name");
    account.weight = aAccount.Number("weight", 0, kHighestWeight, 1);
    plan.accounts.push_back(std::move(account));
  });
  aReader.ObjectList("requests", [&plan](SettingsReader& aProfile) {
    plan.requests.push_back(ReadProfile(aProfile));
  });
  const auto requireSome = [&aReader](const char* aKey, bool aEmpty) {
    if (aEmpty) {
      aReader.Reject(aKey, SettingsRule::Required, "at least one");
    }
  };
  requireSome("phases", plan.phases.empty());
  requireSome("accounts", plan.accounts.empty());
  requireSome("requests", plan.requests.empty());
  return plan;
}

ArrivalSchedule::ArrivalSchedule(const LoadPlan& aPlan, Random& aRandom)
  : plan(aPlan)
  , random(aRandom)
{
}

std::optional<Duration> ArrivalSchedule::Next()
{
  // Thinning: candidates at the phase's highest rate, each kept with the share of that
  // rate that is in force at its time.
  while (this->phase < this->plan.phases.size()) {
    const auto& current = this->plan.phases[this->phase];
    const double length = ToSeconds(current.length);
    const double highest = std::max(current.startRate, current.endRate);
    if (highest > 0) {
      this->time += std::exponential_distribution<double>(highest)(this->random.Engine());
    }
    if (highest <= 0 || this->time >= this->phaseStart + length) {
      // The process has no memory, so the next phase can start afresh.
      this->phaseStart += length;
      this->time = this->phaseStart;
      ++this->phase;
      continue;
    }
    const double position = (this->time - this->phaseStart) / length;
    const double rate =
      current.startRate + (current.endRate - current.startRate) * position;
    if (this->random.Fraction() * highest < rate) {
      return FromSeconds(this->time);
    }
  }
  return std::nullopt;
}

} // namespace toucanstand
