#include "EntryContext.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Without news from the node for this long the process can't know whether it still
/// follows the accepted configuration.
constexpr Duration kViewValidity = std::chrono::seconds(8);

AdmissionSettings AdmissionFrom(const EffectiveConfiguration& aConfiguration)
{
  AdmissionSettings settings;
  settings.accounts = aConfiguration.Accounts();
  const auto& policy = aConfiguration.Admission();
  settings.maximumLongShare = policy.longWork.share;
  settings.maximumQueued =
    static_cast<std::size_t>(policy.shortWork.queueLimit + policy.longWork.queueLimit);
  return settings;
}

} // namespace

EntryContext::EntryContext(boost::asio::io_context& aLoop,
                           EntrySettings aSettings,
                           MetricsRegistry& aMetrics,
                           Random aRandom)
  : loop(aLoop)
  , settings(std::move(aSettings))
  , metrics(aMetrics)
  , random(aRandom)
  , client(aLoop, aMetrics)
  , port(aLoop, aMetrics)
  , claims(aLoop, this->port, this->settings.ledger)
  , suspects(aLoop, this->port, this->settings.node)
  , gate(aLoop,
         this->settings.admission,
         AdmissionController(AdmissionSettings{}, Random(this->random.Engine()())))
{
}

Router& EntryContext::RouterFor(const PoolId& aPool)
{
  const auto found = this->routers.find(aPool);
  if (found != this->routers.end()) {
    return found->second;
  }
  Router router(this->SettingsFor(aPool), Random(this->random.Engine()()));
  router.Update(this->view, BootClock::now());
  return this->routers.emplace(aPool, std::move(router)).first->second;
}

std::vector<const Candidate*> EntryContext::UsableCandidates(const PoolId& aPool,
                                                             TimePoint aNow) const
{
  std::vector<const Candidate*> usable;
  for (const auto& candidate : this->view.candidates) {
    if (candidate.pool == aPool && candidate.usableUntil > aNow) {
      usable.push_back(&candidate);
    }
  }
  return usable;
}

void EntryContext::OnWorldView(WorldView aView, TimePoint aNow)
{
  const bool peersChanged = aView.liveEntryVms != this->view.liveEntryVms;
  this->view = std::move(aView);
  for (const auto& entry : this->view.quarantine) {
    this->quarantine.Merge(entry, aNow);
  }
  for (const auto& candidate : this->view.candidates) {
    (void)this->RouterFor(candidate.pool);
  }
  const auto sharers =
    static_cast<double>(std::max<std::size_t>(1, this->view.liveEntryVms.size()));
  for (auto& [pool, router] : this->routers) {
    if (peersChanged) {
      router.Configure(this->SettingsFor(pool));
    }
    router.Update(this->view, aNow);
    // A pool whose candidates have all gone keeps its router and has no slots.
    this->gate.UpdateSlots(pool, router.CapacityOf(pool, aNow) / sharers);
  }
}

void EntryContext::OnConfiguration(EffectiveConfiguration aConfiguration)
{
  this->configuration = std::move(aConfiguration);
  this->gate.Configure(AdmissionFrom(this->configuration));
  for (auto& [pool, router] : this->routers) {
    router.Configure(this->SettingsFor(pool));
  }
}

Duration EntryContext::Spread(Duration aPeriod)
{
  return FromSeconds(ToSeconds(aPeriod) * (1 + this->random.Fraction() / 2));
}

bool EntryContext::MayServe(TimePoint aNow) const
{
  const bool recent =
    this->view.receivedAt != TimePoint{} && aNow - this->view.receivedAt < kViewValidity;
  return recent && this->view.mayServe && this->configuration.Revision() > 0;
}

RouterSettings EntryContext::SettingsFor(const PoolId& aPool) const
{
  RouterSettings routerSettings;
  routerSettings.strategy = this->configuration.StrategyFor(aPool);
  routerSettings.subsetSize = this->settings.subsetSize;
  routerSettings.self = this->settings.id;
  routerSettings.ownZone = this->settings.zone;
  std::ranges::transform(this->view.liveEntryVms,
                         std::back_inserter(routerSettings.peers),
                         [](const Vm& aVm) { return aVm.id; });
  return routerSettings;
}

} // namespace toucanstand
