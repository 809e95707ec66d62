#include "document/EffectiveConfiguration.h"

#include <algorithm>

namespace toucanstand {

EffectiveConfiguration::EffectiveConfiguration(const ConfigurationDocument& aDocument,
                                               const VmId& aVm,
                                               const ZoneId& aZone)
  : revision(aDocument.revision)
  , defaults(aDocument.defaults)
{
  // The VM is applied last, so that its exception overrides that of its availability
  // zone.
  const std::vector<Scope> nodeScopes = { { ScopeKind::Zone, aZone.Value() },
                                          { ScopeKind::Vm, aVm.Value() } };
  for (const auto& nodeScope : nodeScopes) {
    for (const auto& exception : aDocument.exceptions) {
      if (exception.scope == nodeScope) {
        this->ApplyNodeOverrides(exception.overrides);
        this->appliedScopes.push_back(nodeScope);
      }
    }
  }
  for (const auto& [scope, reason, overrides] : aDocument.exceptions) {
    switch (scope.kind) {
      case ScopeKind::Account:
        this->ApplyAccount(scope, overrides);
        break;
      case ScopeKind::Contract:
        this->ApplyContract(scope, overrides);
        break;
      case ScopeKind::Pool:
        this->ApplyPool(scope, overrides);
        break;
      default:
        continue;
    }
    this->appliedScopes.push_back(scope);
  }
}

const Contract* EffectiveConfiguration::ContractFor(std::string_view aPath) const
{
  const Contract* best = nullptr;
  for (const auto& contract : this->defaults.contracts) {
    const bool longer =
      best == nullptr || contract.pathPrefix.size() > best->pathPrefix.size();
    if (longer && aPath.starts_with(contract.pathPrefix)) {
      best = &contract;
    }
  }
  return best;
}

ClientAccount EffectiveConfiguration::AccountFor(const AccountId& aId) const
{
  const auto found = std::ranges::find(this->defaults.accounts, aId, &ClientAccount::id);
  return found == this->defaults.accounts.end() ? ClientAccount{ aId, 1.0, 1.0 } : *found;
}

RoutingStrategy EffectiveConfiguration::StrategyFor(const PoolId& aPool) const
{
  if (this->nodeStrategy) {
    return *this->nodeStrategy;
  }
  for (const auto& [pool, strategy] : this->poolStrategies) {
    if (pool == aPool) {
      return strategy;
    }
  }
  return this->defaults.strategy;
}

void EffectiveConfiguration::ApplyNodeOverrides(const Overrides& aOverrides)
{
  if (aOverrides.strategy) {
    this->nodeStrategy = aOverrides.strategy;
  }
  if (aOverrides.isolatedServing) {
    this->defaults.isolatedServing = *aOverrides.isolatedServing;
  }
}

void EffectiveConfiguration::ApplyAccount(const Scope& aScope,
                                          const Overrides& aOverrides)
{
  const AccountId id(aScope.name);
  auto& accounts = this->defaults.accounts;
  auto found = std::ranges::find(accounts, id, &ClientAccount::id);
  if (found == accounts.end()) {
    found = accounts.insert(found, ClientAccount{ id, 1.0, 1.0 });
  }
  found->share = aOverrides.share.value_or(found->share);
  found->worth = aOverrides.worth.value_or(found->worth);
}

void EffectiveConfiguration::ApplyContract(const Scope& aScope,
                                           const Overrides& aOverrides)
{
  const auto found =
    std::ranges::find(this->defaults.contracts, aScope.name, &Contract::name);
  if (found == this->defaults.contracts.end()) {
    return;
  }
  found->worth = aOverrides.worth.value_or(found->worth);
  found->timeout = aOverrides.timeout.value_or(found->timeout);
}

void EffectiveConfiguration::ApplyPool(const Scope& aScope, const Overrides& aOverrides)
{
  const PoolId pool(aScope.name);
  if (aOverrides.strategy) {
    this->poolStrategies.emplace_back(pool, *aOverrides.strategy);
  }
  const auto found = std::ranges::find(this->defaults.groups, pool, &GroupPolicy::pool);
  if (found == this->defaults.groups.end()) {
    return;
  }
  found->size = aOverrides.size.value_or(found->size);
  found->model = aOverrides.model.value_or(found->model);
}

} // namespace toucanstand
