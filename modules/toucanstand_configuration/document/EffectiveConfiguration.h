#pragma once

#include <string>
#include <vector>

#include "document/ConfigurationDocument.h"

namespace toucanstand {

/// What is in force on one node: the defaults with the exceptions that apply there.
///
/// Exceptions for an account, a contract or a pool apply on every node. For the routing
/// strategy the narrower place wins: VM, then availability zone, then pool.
class EffectiveConfiguration
{
public:
  /// Nothing configured: no contracts, the built-in limits.
  EffectiveConfiguration() = default;
  EffectiveConfiguration(const ConfigurationDocument& aDocument,
                         const VmId& aVm,
                         const ZoneId& aZone);

  [[nodiscard]] std::int64_t Revision() const { return this->revision; }
  [[nodiscard]] const std::vector<Contract>& Contracts() const
  {
    return this->defaults.contracts;
  }
  /// The contract with the longest prefix of the path; null when there is none.
  [[nodiscard]] const Contract* ContractFor(std::string_view aPath) const;
  [[nodiscard]] const std::vector<ClientAccount>& Accounts() const
  {
    return this->defaults.accounts;
  }
  /// What is granted to an account; an unlisted one gets share 1 and worth 1.
  [[nodiscard]] ClientAccount AccountFor(const AccountId& aId) const;
  [[nodiscard]] const AdmissionPolicy& Admission() const
  {
    return this->defaults.admission;
  }
  [[nodiscard]] RoutingStrategy StrategyFor(const PoolId& aPool) const;
  [[nodiscard]] const std::vector<GroupPolicy>& Groups() const
  {
    return this->defaults.groups;
  }
  [[nodiscard]] IsolationPolicy IsolatedServingPolicy() const
  {
    return this->defaults.isolatedServing;
  }
  /// Scopes of the exceptions that apply on this node.
  [[nodiscard]] const std::vector<Scope>& Applied() const { return this->applied; }

private:
  void ApplyPlace(const Overrides& aOverrides);
  void ApplyAccount(const Scope& aScope, const Overrides& aOverrides);
  void ApplyContract(const Scope& aScope, const Overrides& aOverrides);
  void ApplyPool(const Scope& aScope, const Overrides& aOverrides);

  std::int64_t revision = 0;
  ConfigurationDefaults defaults;
  std::optional<RoutingStrategy> placeStrategy;
  std::vector<std::pair<PoolId, RoutingStrategy>> poolStrategies;
  std::vector<Scope> applied;
};

} // namespace toucanstand
