#include "routing/Router.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace toucanstand {

struct Router::State
{
  RouterSettings settings;
  Random random;
  WorldView view;
  std::unordered_set<PoolId> pools;
  std::unordered_map<std::string, std::int64_t> outstanding;
  std::unordered_map<std::string, TimePoint> refusedUntil;
};

Router::Router(RouterSettings aSettings, Random aRandom)
  : state(std::make_unique<State>(State{ std::move(aSettings), aRandom, {}, {}, {}, {} }))
{
}

Router::~Router() = default;
Router::Router(Router&& aOther) noexcept = default;
Router& Router::operator=(Router&& aOther) noexcept = default;

void Router::Configure(RouterSettings aSettings)
{
  this->state->settings = std::move(aSettings);
}

void Router::Update(const WorldView& aView, TimePoint /*aNow*/)
{
  this->state->view = aView;
  for (const auto& candidate : aView.candidates) {
    this->state->pools.insert(candidate.pool);
  }
}

Result<Candidate, RouteRefusal> Router::Choose(const RouteQuery& aQuery, TimePoint aNow)
{
  auto& own = *this->state;
  if (!own.view.mayServe) {
    return RouteRefusal::Isolated;
  }
  if (!own.pools.contains(aQuery.pool)) {
    return RouteRefusal::UnknownPool;
  }
  const Candidate* best = nullptr;
  bool anyUsable = false;
  for (const auto& candidate : own.view.candidates) {
    const auto refused = own.refusedUntil.find(candidate.id);
    const bool usable =
      candidate.pool == aQuery.pool && candidate.usableUntil > aNow &&
      (refused == own.refusedUntil.end() || refused->second < candidate.usableUntil);
    anyUsable = anyUsable || usable;
    if (!usable ||
        std::ranges::find(aQuery.excluded, candidate.id) != aQuery.excluded.end()) {
      continue;
    }
    if (best == nullptr || own.outstanding[candidate.id] < own.outstanding[best->id]) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return anyUsable ? RouteRefusal::AllExcluded : RouteRefusal::NoCandidate;
  }
  return *best;
}

void Router::OnSent(const std::string& aCandidateId, TimePoint /*aNow*/)
{
  ++this->state->outstanding[aCandidateId];
}

void Router::OnFirstByte(const std::string& /*aCandidateId*/,
                         Duration /*aLatency*/,
                         TimePoint /*aNow*/,
                         WorkClass /*aClass*/)
{
}

void Router::OnFinished(const std::string& aCandidateId,
                        AttemptEnd aEnd,
                        Duration /*aLatency*/,
                        TimePoint /*aNow*/,
                        WorkClass /*aClass*/)
{
  auto& own = *this->state;
  --own.outstanding[aCandidateId];
  if (aEnd != AttemptEnd::ConnectFailed) {
    return;
  }
  for (const auto& candidate : own.view.candidates) {
    if (candidate.id == aCandidateId) {
      own.refusedUntil[aCandidateId] = candidate.usableUntil;
    }
  }
}

nlohmann::json Router::Describe(TimePoint /*aNow*/) const
{
  return { { "may_serve", this->state->view.mayServe },
           { "candidates", this->state->view.candidates.size() } };
}

} // namespace toucanstand
