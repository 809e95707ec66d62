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
struct WorkClassPolicy
{
  /// Maximum fraction of a group's slots that the class may use, in (0, 1].
  double share = 1.0;
  /// Maximum number of waiting requests, per class and account.
  std::int64_t queueLimit = 256;
};

/// Admission limits by work class.
struct AdmissionPolicy
{
  WorkClassPolicy shortWork;
  WorkClassPolicy longWork{ 0.5, 64 };
};

/// How replica groups of a pool are formed.
struct GroupPolicy
{
  PoolId pool;
  /// Number of members of one group.
  std::int64_t size = 1;
  std::string model;
};

/// Values that apply where no exception overrides them.
struct ConfigurationDefaults
{
  std::vector<Contract> contracts;
  std::vector<ClientAccount> accounts;
  AdmissionPolicy admission;
  RoutingStrategy strategy = RoutingStrategy::LeastTwoChoices;
  std::vector<GroupPolicy> groups;
  /// Always Refuse. Continue can be set only by an exception, which must have a reason.
  IsolationPolicy isolatedServing = IsolationPolicy::Refuse;
};

/// Kind of object that an exception applies to.
enum class ScopeKind
{
  Account,
  Pool,
  Contract,
  Vm,
  Zone,
};

inline constexpr std::size_t kScopeKindCount = 5;

/// Name of a kind in the configuration.
[[nodiscard]] const char* Name(ScopeKind aKind);

/// The object that an exception applies to.
struct Scope
{
  ScopeKind kind = ScopeKind::Account;
  std::string name;

  friend auto operator<=>(const Scope&, const Scope&) = default;
};

/// `kind/name`, for messages and commands.
[[nodiscard]] std::string Describe(const Scope& aScope);

/// Values that an exception sets. Its scope determines which of them it may set.
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

/// Overrides of the defaults for one scope: an item of the setting `exceptions`, not a
/// C++ exception.
struct ConfigurationException
{
  Scope scope;
  /// Why the exception exists; never blank.
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
  /// Unique per change. After a lost reply, the writer recognizes its own write by it.
  std::string nonce;
  /// Why this revision was made; may be empty.
  std::string reason;
  /// The JSON text that it was parsed from, to be forwarded unchanged.
  std::string text;
};

} // namespace toucanstand
