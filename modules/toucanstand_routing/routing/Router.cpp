#include "routing/Router.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "routing/Ejection.h"
#include "routing/PrefixAffinity.h"
#include "routing/SelectionStrategy.h"
#include "routing/SubsetAssignment.h"

namespace toucanstand {

namespace {

/// Maximum number of candidates used from one view; further ones are counted and ignored.
constexpr std::size_t kMaximumCandidates = 20'000;

/// Number of pools above which pools without candidates are removed.
constexpr std::size_t kMaximumPools = 1'000;

/// Time for which an unlisted candidate is kept, so that one that is listed again keeps
/// its failure history.
constexpr Duration kUnlistedRetention = std::chrono::seconds(60);

struct Pool
{
  RoutingPool routing;
  /// Candidate ids of the last view in ascending order, and the subset that this node
  /// uses.
  std::vector<std::string> ids;
  std::vector<std::string> subset;
};

} // namespace

struct Router::State
{
  State(RouterSettings aSettings, Random aRandom)
    : settings(std::move(aSettings))
    , random(aRandom)
    , strategy(MakeStrategy(this->settings.strategy))
    , ejection(this->settings.ejection)
  {
  }

  CandidateState* Find(const std::string& aId);
  void UpdateFromView(const WorldView& aView, TimePoint aNow);
  void UpdateCandidate(const Candidate& aCandidate, TimePoint aNow);
  void RebuildPools(TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  CandidateState* Select(const SelectionContext& aSelection, RoutingPool& aPool);
  void RecordOutcome(CandidateState& aCandidate, RouteOutcome aOutcome, TimePoint aNow);
  RoutingPool& PoolOf(const CandidateState& aCandidate)
  {
    return this->pools[aCandidate.candidate.pool].routing;
  }
  void Count(EjectionEffect aEffect)
  {
    ++this->effectCounts[static_cast<std::size_t>(aEffect)];
  }

  RouterSettings settings;
  Random random;
  std::unique_ptr<SelectionStrategy> strategy;
  Ejection ejection;
  bool mayServe = false;
  /// Whether settings that affect the subsets changed since they were computed.
  bool subsetsOutdated = false;
  TimePoint lastView{};
  std::unordered_map<std::string, std::unique_ptr<CandidateState>> candidates;
  std::unordered_map<PoolId, Pool> pools;
  std::array<std::uint64_t, 5> reportCounts{};
  std::array<std::uint64_t, 5> effectCounts{};
  std::uint64_t viewsIgnored = 0;
  std::uint64_t candidatesIgnored = 0;
  std::uint64_t unknownIds = 0;
  std::uint64_t lastResorts = 0;
};

CandidateState* Router::State::Find(const std::string& aId)
{
  const auto found = this->candidates.find(aId);
  if (found == this->candidates.end()) {
    ++this->unknownIds;
    return nullptr;
  }
  return found->second.get();
}

void Router::State::UpdateFromView(const WorldView& aView, TimePoint aNow)
{
  for (auto& [id, candidate] : this->candidates) {
    candidate->listed = false;
  }
  const std::size_t used = std::min(aView.candidates.size(), kMaximumCandidates);
  this->candidatesIgnored += aView.candidates.size() - used;
  for (std::size_t index = 0; index < used; ++index) {
    this->UpdateCandidate(aView.candidates[index], aNow);
  }
}

void Router::State::UpdateCandidate(const Candidate& aCandidate, TimePoint aNow)
{
  auto& candidate = this->candidates[aCandidate.id];
  if (candidate == nullptr) {
    candidate = std::make_unique<CandidateState>(aCandidate, false);
  } else if (candidate->listed) {
    ++this->candidatesIgnored; // Duplicate in one view.
    return;
  }
  const auto status =
    candidate->UpdateFromView(aCandidate, this->settings.maxReportAge, aNow);
  ++this->reportCounts[static_cast<std::size_t>(status)];
  candidate->inOwnZone =
    !this->settings.ownZone.IsEmpty() && aCandidate.zone == this->settings.ownZone;
  candidate->listed = true;
  candidate->lastListed = aNow;
}

void Router::State::RebuildPools(TimePoint aNow)
{
  std::unordered_map<PoolId, std::vector<std::string>> idsByPool;
  for (const auto& [id, candidate] : this->candidates) {
    if (candidate->listed) {
      idsByPool[candidate->candidate.pool].push_back(id);
      this->pools[candidate->candidate.pool]; // Creates the pool if it is new.
      // Candidates of the subset are listed again below.
      candidate->listed = false;
    }
  }
  if (this->pools.size() > kMaximumPools) {
    std::erase_if(this->pools, [&idsByPool](const auto& aPool) {
      return !idsByPool.contains(aPool.first);
    });
  }
  const SubsetAssignment assignment(this->settings.subsetSize);
  for (auto& [name, pool] : this->pools) {
    auto& ids = idsByPool[name];
    std::ranges::sort(ids);
    if (this->subsetsOutdated || ids != pool.ids) {
      pool.ids = std::move(ids);
      pool.subset =
        assignment.Assign(this->settings.self, this->settings.peers, pool.ids);
    }
    pool.routing.Clear();
    for (const auto& id : pool.subset) {
      auto& candidate = *this->candidates.at(id);
      candidate.listed = true;
      pool.routing.Add(candidate);
    }
    pool.routing.UpdateFromReports(this->settings, aNow);
    this->ejection.EnforceEjectionLimit(pool.routing, aNow);
  }
  this->subsetsOutdated = false;
}

void Router::State::RemoveExpired(TimePoint aNow)
{
  std::erase_if(this->candidates, [aNow](const auto& aEntry) {
    const auto& candidate = *aEntry.second;
    return !candidate.listed && candidate.ownRequests.Outstanding() == 0 &&
           aNow - candidate.lastListed > kUnlistedRetention;
  });
}

CandidateState* Router::State::Select(const SelectionContext& aSelection,
                                      RoutingPool& aPool)
{
  if (aSelection.query.prefix) {
    if (auto* preferred = PrefixAffinity::Choose(aSelection, *aSelection.query.prefix)) {
      return preferred;
    }
  }
  return this->strategy->Choose(aSelection, aPool, this->random);
}

void Router::State::RecordOutcome(CandidateState& aCandidate,
                                  RouteOutcome aOutcome,
                                  TimePoint aNow)
{
  const auto& pool = this->PoolOf(aCandidate);
  switch (aOutcome) {
    case RouteOutcome::Answered:
      aCandidate.OnAnswered();
      this->Count(this->ejection.OnSuccess(aCandidate, aNow));
      break;
    case RouteOutcome::Refused:
      aCandidate.OnRejected(this->settings.overloadBackoff, aNow);
      break;
    case RouteOutcome::ConnectFailed:
      aCandidate.OnConnectionRefused(aNow);
      this->Count(this->ejection.OnFailure(aCandidate, pool, aNow));
      break;
    case RouteOutcome::Broken:
    case RouteOutcome::Slow:
      this->Count(this->ejection.OnFailure(aCandidate, pool, aNow));
      break;
    case RouteOutcome::Abandoned:
    case RouteOutcome::DeadConnection:
      break;
  }
}

Router::Router(RouterSettings aSettings, Random aRandom)
  : state(std::make_unique<State>(std::move(aSettings), aRandom))
{
}

Router::~Router() = default;
Router::Router(Router&& aOther) noexcept = default;
Router& Router::operator=(Router&& aOther) noexcept = default;

void Router::Configure(RouterSettings aSettings)
{
  auto& impl = *this->state;
  // Computing the subsets of many nodes takes milliseconds, so they are recomputed only
  // when settings that affect them change.
  impl.subsetsOutdated =
    impl.subsetsOutdated || impl.settings.subsetSize != aSettings.subsetSize ||
    impl.settings.self != aSettings.self || impl.settings.peers != aSettings.peers;
  impl.settings = std::move(aSettings);
  impl.strategy = MakeStrategy(impl.settings.strategy);
  impl.ejection = Ejection(impl.settings.ejection);
}

void Router::Update(const WorldView& aView, TimePoint aNow)
{
  auto& impl = *this->state;
  if (aView.receivedAt < impl.lastView) {
    ++impl.viewsIgnored;
    return;
  }
  impl.lastView = aView.receivedAt;
  impl.mayServe = aView.mayServe;
  impl.UpdateFromView(aView, aNow);
  impl.RebuildPools(aNow);
  impl.RemoveExpired(aNow);
}

Result<Candidate, RouteRefusal> Router::Choose(const RouteQuery& aQuery, TimePoint aNow)
{
  auto& impl = *this->state;
  if (!impl.mayServe) {
    return RouteRefusal::Isolated;
  }
  const auto found = impl.pools.find(aQuery.pool);
  if (found == impl.pools.end()) {
    return RouteRefusal::UnknownPool;
  }
  auto& pool = found->second.routing;
  SelectionContext selection{ pool, aQuery, impl.settings, aNow };
  auto* chosen = impl.Select(selection, pool);
  if (chosen == nullptr) {
    // Ejected and paused candidates may still work, whereas refusing the request
    // certainly fails it.
    selection.lastResort = true;
    chosen = impl.Select(selection, pool);
    impl.lastResorts += chosen != nullptr ? 1 : 0;
  }
  if (chosen != nullptr) {
    return chosen->candidate;
  }
  const bool anyUsable =
    std::ranges::any_of(pool.Candidates(), [aNow](const auto* aCandidate) {
      return aCandidate->IsUsable(aNow);
    });
  return anyUsable ? RouteRefusal::AllExcluded : RouteRefusal::NoCandidate;
}

void Router::OnSent(const std::string& aCandidateId, TimePoint aNow, WorkClass aClass)
{
  if (auto* candidate = this->state->Find(aCandidateId)) {
    candidate->ownRequests.OnSent(aNow);
    candidate->ownLong += aClass == WorkClass::Long ? 1 : 0;
  }
}

void Router::OnFirstByte(const std::string& aCandidateId,
                         Duration aLatency,
                         TimePoint aNow,
                         WorkClass aClass)
{
  auto& impl = *this->state;
  if (auto* candidate = impl.Find(aCandidateId)) {
    const auto series = LatencyAverages::SeriesIndex(LatencyKind::FirstByte, aClass);
    impl.Count(impl.ejection.OnLatency(
      *candidate, impl.PoolOf(*candidate), series, aLatency, aNow));
  }
}

void Router::OnFinished(const std::string& aCandidateId,
                        RouteOutcome aOutcome,
                        Duration aLatency,
                        TimePoint aNow,
                        WorkClass aClass)
{
  auto& impl = *this->state;
  auto* candidate = impl.Find(aCandidateId);
  if (candidate == nullptr) {
    return;
  }
  candidate->ownRequests.OnFinished(aNow);
  if (aClass == WorkClass::Long) {
    candidate->ownLong = std::max(0.0, candidate->ownLong - 1);
  }
  impl.RecordOutcome(*candidate, aOutcome, aNow);
  const auto series = LatencyAverages::SeriesIndex(LatencyKind::WholeAnswer, aClass);
  auto& pool = impl.PoolOf(*candidate);
  if (aOutcome == RouteOutcome::Answered) {
    impl.Count(impl.ejection.OnLatency(*candidate, pool, series, aLatency, aNow));
  } else if (aOutcome == RouteOutcome::Abandoned || aOutcome == RouteOutcome::Slow) {
    impl.Count(impl.ejection.OnUnanswered(*candidate, pool, series, aLatency, aNow));
  }
}

double Router::CapacityOf(const PoolId& aPool, TimePoint aNow) const
{
  const auto found = this->state->pools.find(aPool);
  if (found == this->state->pools.end()) {
    return 0;
  }
  double sum = 0;
  for (const auto* candidate : found->second.routing.Candidates()) {
    sum += candidate->IsUsable(aNow) ? candidate->capacity : 0.0;
  }
  const auto& pool = found->second;
  return pool.subset.empty() ? 0.0
                             : sum * static_cast<double>(pool.ids.size()) /
                                 static_cast<double>(pool.subset.size());
}

nlohmann::json Router::Describe(TimePoint aNow) const
{
  const auto& impl = *this->state;
  nlohmann::json pools = nlohmann::json::object();
  for (const auto& [name, pool] : impl.pools) {
    auto& described = pools[name.Value()] = nlohmann::json::object();
    for (const auto* candidate : pool.routing.Candidates()) {
      described[candidate->candidate.id] = {
        { "outstanding", candidate->ownRequests.Outstanding() },
        { "load", pool.routing.RelativeLoad(*candidate, aNow) },
        { "capacity", candidate->capacity },
        { "report_known",
          candidate->load.HasFreshReport(impl.settings.maxReportAge, aNow) },
        { "usable", candidate->IsUsable(aNow) },
        { "phase", Name(candidate->health.Phase(aNow)) },
        { "ejections", candidate->health.ejections },
        { "in_own_zone", candidate->inOwnZone },
      };
    }
  }
  nlohmann::json reports = nlohmann::json::object();
  for (std::size_t index = 0; index < impl.reportCounts.size(); ++index) {
    reports[Name(static_cast<ReportStatus>(index))] = impl.reportCounts[index];
  }
  nlohmann::json ejections = nlohmann::json::object();
  for (std::size_t index = 1; index < impl.effectCounts.size(); ++index) {
    ejections[Name(static_cast<EjectionEffect>(index))] = impl.effectCounts[index];
  }
  return { { "strategy", Name(impl.settings.strategy) },
           { "may_serve", impl.mayServe },
           { "pools", pools },
           { "reports", reports },
           { "ejections", ejections },
           { "views_ignored", impl.viewsIgnored },
           { "candidates_ignored", impl.candidatesIgnored },
           { "unknown_ids", impl.unknownIds },
           { "last_resorts", impl.lastResorts } };
}

} // namespace toucanstand
