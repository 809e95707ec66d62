#pragma once

#include <string>
#include <vector>

#include "document/ConfigurationDocument.h"

namespace toucanstand {

/// The configuration in force on one node: the defaults with the exceptions that apply to
/// it.
///
/// Exceptions for an account, a contract or a pool apply on every node. For the routing
/// strategy, an exception for the VM takes precedence over one for the availability zone,
/// and that over one for the pool.
class EffectiveConfiguration
{
public:
  /// Creates an empty configuration: no contracts, and the built-in limits.
  EffectiveConfiguration() = default;
  EffectiveConfiguration(const ConfigurationDocument& aDocument,
                         const VmId& aVm,
                         const ZoneId& aZone);

  [[nodiscard]] std::int64_t Revision() const { return this->revision; }
  [[nodiscard]] const std::vector<Contract>& Contracts() const
  {
    return this->defaults.contracts;
  }
  /// The contract with the longest path prefix that matches; null when none matches.
  [[nodiscard]] const Contract* ContractFor(std::string_view aPath) const;
  [[nodiscard]] const std::vector<ClientAccount>& Accounts() const
  {
    return this->defaults.accounts;
  }
  /// Share and worth of an account; both are 1 when it is not configured.
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
  [[nodiscard]] const std::vector<Scope>& AppliedScopes() const
  {
    return this->appliedScopes;
  }

private:
  void ApplyNodeOverrides(const Overrides& aOverrides);
  void ApplyAccount(const Scope& aScope, const Overrides& aOverrides);
  void ApplyContract(const Scope& aScope, const Overrides& aOverrides);
  void ApplyPool(const Scope& aScope, const Overrides& aOverrides);

  std::int64_t revision = 0;
  ConfigurationDefaults defaults;
  std::optional<RoutingStrategy> nodeStrategy;
  std::vector<std::pair<PoolId, RoutingStrategy>> poolStrategies;
  std::vector<Scope> appliedScopes;
};

} // namespace toucanstand
