#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contracts/ClientAccount.h"
#include "contracts/Contract.h"
#include "contracts/RoutingStrategy.h"
#include "isolation/IsolationDetector.h"

namespace toucanstand {

/// Key of the configuration in the platform's store.
inline constexpr const char* kConfigurationKey = "/toucanstand/configuration";

/// Limits of one work class.
struct ClassPolicy
{
  /// Largest part of a group's slots that the class may hold, in (0, 1].
  double share = 1.0;
  /// Most requests that wait, per class and account.
  std::int64_t queueLimit = 256;
};

/// Limits of admission.
struct AdmissionPolicy
{
  ClassPolicy shortWork;
  ClassPolicy longWork{ 0.5, 64 };
};

/// How replica groups of a pool are formed.
struct GroupPolicy
{
  PoolId pool;
  /// Members of one group.
  std::int64_t size = 1;
  std::string model;
};

/// What holds wherever no exception says otherwise.
struct ConfigurationDefaults
{
  std::vector<Contract> contracts;
  std::vector<ClientAccount> accounts;
  AdmissionPolicy admission;
  RoutingStrategy strategy = RoutingStrategy::LeastTwoChoices;
  std::vector<GroupPolicy> groups;
  /// Always Refuse: to continue needs an exception with a reason.
  IsolationPolicy isolatedServing = IsolationPolicy::Refuse;
};

/// Kind of thing that an exception is about.
enum class ScopeKind
{
  Account,
  Pool,
  Contract,
  Vm,
  Zone,
};

inline constexpr std::size_t kScopeKinds = 5;

/// Name of a kind in the configuration.
[[nodiscard]] const char* Name(ScopeKind aKind);

/// What an exception is about.
struct Scope
{
  ScopeKind kind = ScopeKind::Account;
  std::string name;

  friend auto operator<=>(const Scope&, const Scope&) = default;
};

/// `kind/name`, for messages and commands.
[[nodiscard]] std::string Describe(const Scope& aScope);

/// Values that an exception sets; which ones it may set depends on its scope.
struct Overrides
{
  std::optional<double> share;
  std::optional<double> worth;
  std::optional<Duration> timeout;
  std::optional<RoutingStrategy> strategy;
  std::optional<std::int64_t> size;
  std::optional<std::string> model;
  std::optional<IsolationPolicy> isolatedServing;
};

/// A deviation from the defaults for one scope.
struct ConfigurationException
{
  Scope scope;
  /// Why it exists; never blank.
  std::string reason;
  Overrides overrides;
};

/// One revision of the operators' configuration.
struct ConfigurationDocument
{
  std::int64_t revision = 0;
  ConfigurationDefaults defaults;
  std::vector<ConfigurationException> exceptions;
  std::string author;
  /// Unique per change; by it a writer recognizes its own write.
  std::string nonce;
  /// Why this revision was made; may be empty.
  std::string reason;
  /// The text that it was read from, for forwarding unchanged.
  std::string text;
};

} // namespace toucanstand
