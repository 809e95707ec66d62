#include "document/ConfigurationText.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

using namespace std::chrono_literals;

// Larger integers lose precision in tools that read JSON numbers as doubles.
constexpr std::int64_t kMaximumRevision = 1LL << 53U;
constexpr double kMaximumFactor = 1e6;
constexpr std::int64_t kMaximumQueueLimit = 1'000'000;
constexpr std::int64_t kMaximumGroupSize = 256;
constexpr Duration kMinimumTimeout = 1ms;
constexpr Duration kMaximumTimeout = 24h;

constexpr std::array kStrategyNames = { "round-robin",
                                        "least-outstanding",
                                        "two-choices",
                                        "least-two-choices" };
constexpr std::array<const char*, kScopeKindCount> kScopeNames = { "account",
                                                                   "pool",
                                                                   "contract",
                                                                   "vm",
                                                                   "zone" };

template<typename Enum, std::size_t Count>
Enum ReadEnum(SettingsReader& aReader,
              std::string_view aKey,
              const std::array<const char*, Count>& aNames,
              std::optional<std::string> aDefault = {})
{
  const auto text =
    aReader.Choice(aKey, { aNames.begin(), aNames.end() }, std::move(aDefault));
  const auto found =
    std::ranges::find_if(aNames, [&text](const char* aName) { return text == aName; });
  return static_cast<Enum>(found == aNames.end() ? 0 : found - aNames.begin());
}

bool IsBlank(std::string_view aText)
{
  return aText.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

std::string ReadNonBlankText(SettingsReader& aReader, std::string_view aKey)
{
  auto text = aReader.Text(aKey);
  if (aReader.Has(aKey) && (IsBlank(text) || text.size() > kMaximumTextFieldBytes)) {
    aReader.Reject(aKey,
                   SettingsRule::InRange,
                   "not blank, at most " + std::to_string(kMaximumTextFieldBytes) +
                     " bytes");
  }
  return text;
}

/// Reads a share or worth. Zero is rejected, because requests of an account or contract
/// with share or worth zero would starve without any error.
double ReadFactor(SettingsReader& aReader, std::string_view aKey, double aDefault)
{
  constexpr double kMinimumFactor = 0.001;
  return aReader.Number(aKey, kMinimumFactor, kMaximumFactor, aDefault);
}

void RequireUnique(SettingsReader& aReader,
                   std::string_view aKey,
                   const std::vector<std::string>& aNames,
                   const std::string& aField)
{
  std::set<std::string> seen;
  for (const auto& name : aNames) {
    if (!seen.insert(name).second) {
      auto expectation = aField;
      expectation.append(" '").append(name).append("' occurs twice");
      aReader.Reject(aKey, SettingsRule::Consistent, std::move(expectation));
    }
  }
}

template<typename Item, typename Projection>
std::vector<std::string> NamesOf(const std::vector<Item>& aItems, Projection aProjection)
{
  std::vector<std::string> names;
  names.reserve(aItems.size());
  for (const auto& item : aItems) {
    names.push_back(std::invoke(aProjection, item));
  }
  return names;
}

Contract ReadContract(SettingsReader& aReader)
{
  Contract contract;
  contract.name = ReadNonBlankText(aReader, "name");
  contract.pathPrefix = aReader.Text("pathPrefix");
  if (aReader.Has("pathPrefix") && !contract.pathPrefix.starts_with('/')) {
    aReader.Reject("pathPrefix", SettingsRule::Consistent, "must start with /");
  }
  contract.pool = PoolId(ReadNonBlankText(aReader, "pool"));
  contract.repeatability = ReadEnum<Repeatability>(
    aReader, "repeatability", std::array{ "idempotent", "only-once" }, "only-once");
  contract.workClass =
    ReadEnum<WorkClass>(aReader, "workClass", std::array{ "short", "long" }, "short");
  contract.timeout =
    aReader.Milliseconds("timeoutMs", kMinimumTimeout, kMaximumTimeout, contract.timeout);
  contract.worth = ReadFactor(aReader, "worth", contract.worth);
  for (const auto status : aReader.UnsignedList("notRunStatuses")) {
    if (status < 400 || status > 599) {
      aReader.Reject("notRunStatuses", SettingsRule::InRange, "400 to 599");
    }
    contract.notRunStatuses.push_back(static_cast<int>(status));
  }
  return contract;
}

ClientAccount ReadAccount(SettingsReader& aReader)
{
  ClientAccount account;
  account.id = AccountId(ReadNonBlankText(aReader, "id"));
  account.share = ReadFactor(aReader, "share", account.share);
  account.worth = ReadFactor(aReader, "worth", account.worth);
  return account;
}

GroupPolicy ReadGroup(SettingsReader& aReader)
{
  GroupPolicy group;
  group.pool = PoolId(ReadNonBlankText(aReader, "pool"));
  group.size = aReader.Whole("size", 1, kMaximumGroupSize);
  group.model = ReadNonBlankText(aReader, "model");
  return group;
}

void ReadWorkClass(SettingsReader& aReader,
                   std::string_view aKey,
                   WorkClassPolicy& aPolicy)
{
  aReader.Object(aKey, [&aPolicy](SettingsReader& aClass) {
    aPolicy.share = aClass.Number("share", 0.01, 1.0, aPolicy.share);
    aPolicy.queueLimit =
      aClass.Whole("queueLimit", 0, kMaximumQueueLimit, aPolicy.queueLimit);
  });
}

void ReadDefaults(SettingsReader& aReader, ConfigurationDefaults& aDefaults)
{
  aReader.ObjectList("contracts", [&](SettingsReader& aContract) {
    aDefaults.contracts.push_back(ReadContract(aContract));
  });
  aReader.ObjectList("accounts", [&](SettingsReader& aAccount) {
    aDefaults.accounts.push_back(ReadAccount(aAccount));
  });
  aReader.ObjectList("groups", [&](SettingsReader& aGroup) {
    aDefaults.groups.push_back(ReadGroup(aGroup));
  });
  aReader.Object("admission", [&](SettingsReader& aAdmission) {
    ReadWorkClass(aAdmission, "short", aDefaults.admission.shortWork);
    ReadWorkClass(aAdmission, "long", aDefaults.admission.longWork);
  });
  aReader.Object("routing", [&](SettingsReader& aRouting) {
    aDefaults.strategy = ReadEnum<RoutingStrategy>(
      aRouting, "strategy", kStrategyNames, Name(aDefaults.strategy));
  });
  const auto policy = ReadEnum<IsolationPolicy>(
    aReader, "isolatedServing", std::array{ "refuse", "continue" }, "refuse");
  if (policy == IsolationPolicy::Continue) {
    aReader.Reject("isolatedServing",
                   SettingsRule::Consistent,
                   "'continue' can be set only by an exception with a reason");
  }
  const auto contractName = [](const Contract& aItem) { return aItem.name; };
  const auto prefix = [](const Contract& aItem) { return aItem.pathPrefix; };
  const auto account = [](const ClientAccount& aItem) { return aItem.id.Value(); };
  const auto pool = [](const GroupPolicy& aItem) { return aItem.pool.Value(); };
  RequireUnique(aReader, "contracts", NamesOf(aDefaults.contracts, contractName), "name");
  RequireUnique(aReader, "contracts", NamesOf(aDefaults.contracts, prefix), "pathPrefix");
  RequireUnique(aReader, "accounts", NamesOf(aDefaults.accounts, account), "id");
  RequireUnique(aReader, "groups", NamesOf(aDefaults.groups, pool), "pool");
}

using ReadOverride = void (*)(SettingsReader&, Overrides&);

void ReadShare(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.share = ReadFactor(aReader, "share", 1.0);
}

void ReadWorth(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.worth = ReadFactor(aReader, "worth", 1.0);
}

void ReadTimeout(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.timeout =
    aReader.Milliseconds("timeoutMs", kMinimumTimeout, kMaximumTimeout);
}

void ReadStrategy(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.strategy = ReadEnum<RoutingStrategy>(aReader, "strategy", kStrategyNames);
}

void ReadSize(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.size = aReader.Whole("size", 1, kMaximumGroupSize);
}

void ReadModel(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.model = ReadNonBlankText(aReader, "model");
}

void ReadIsolatedServing(SettingsReader& aReader, Overrides& aOverrides)
{
  aOverrides.isolatedServing = ReadEnum<IsolationPolicy>(
    aReader, "isolatedServing", std::array{ "refuse", "continue" });
}

struct OverrideRule
{
  const char* key;
  ReadOverride read;
  std::vector<ScopeKind> scopes;
};

const std::vector<OverrideRule>& OverrideRules()
{
  static const std::vector<OverrideRule> kRules = {
    { "share", &ReadShare, { ScopeKind::Account } },
    { "worth", &ReadWorth, { ScopeKind::Account, ScopeKind::Contract } },
    { "timeoutMs", &ReadTimeout, { ScopeKind::Contract } },
    { "strategy", &ReadStrategy, { ScopeKind::Pool, ScopeKind::Vm, ScopeKind::Zone } },
    { "size", &ReadSize, { ScopeKind::Pool } },
    { "model", &ReadModel, { ScopeKind::Pool } },
    { "isolatedServing", &ReadIsolatedServing, { ScopeKind::Vm, ScopeKind::Zone } },
  };
  return kRules;
}

ConfigurationException ReadException(SettingsReader& aReader)
{
  ConfigurationException exception;
  exception.reason = ReadNonBlankText(aReader, "reason");
  if (!aReader.Has("scope")) {
    aReader.Reject("scope", SettingsRule::Required, "");
  }
  aReader.Object("scope", [&exception](SettingsReader& aScope) {
    exception.scope.kind = ReadEnum<ScopeKind>(aScope, "kind", kScopeNames);
    exception.scope.name = ReadNonBlankText(aScope, "name");
  });
  bool setsValue = false;
  aReader.Object("set", [&](SettingsReader& aSet) {
    for (const auto& rule : OverrideRules()) {
      // A key that the scope does not allow is not read here, so Finish() rejects it.
      const bool allowed =
        std::ranges::find(rule.scopes, exception.scope.kind) != rule.scopes.end();
      if (allowed && aSet.Has(rule.key)) {
        rule.read(aSet, exception.overrides);
        setsValue = true;
      }
    }
  });
  if (!setsValue) {
    aReader.Reject("set",
                   SettingsRule::Required,
                   std::string("at least one value that can be set for ") +
                     Name(exception.scope.kind));
  }
  return exception;
}

/// Rejects exceptions for a contract or pool that is not configured, which are most
/// likely typing errors.
void RequireKnownScopes(SettingsReader& aReader, const ConfigurationDocument& aDocument)
{
  std::set<Scope> known;
  for (const auto& contract : aDocument.defaults.contracts) {
    known.insert({ ScopeKind::Contract, contract.name });
    known.insert({ ScopeKind::Pool, contract.pool.Value() });
  }
  for (const auto& group : aDocument.defaults.groups) {
    known.insert({ ScopeKind::Pool, group.pool.Value() });
  }
  for (const auto& exception : aDocument.exceptions) {
    const auto kind = exception.scope.kind;
    const bool checked = kind == ScopeKind::Contract || kind == ScopeKind::Pool;
    if (checked && !known.contains(exception.scope)) {
      aReader.Reject("exceptions",
                     SettingsRule::Consistent,
                     Describe(exception.scope) + " does not exist");
    }
  }
}

void ReadDocument(SettingsReader& aReader, ConfigurationDocument& aDocument)
{
  aDocument.revision = aReader.Whole("revision", 1, kMaximumRevision);
  aDocument.author = ReadNonBlankText(aReader, "author");
  aDocument.nonce = ReadNonBlankText(aReader, "nonce");
  aDocument.reason = aReader.Text("reason", "");
  if (aDocument.reason.size() > kMaximumTextFieldBytes) {
    aReader.Reject("reason", SettingsRule::InRange, "at most 1024 bytes");
  }
  if (!aReader.Has("defaults")) {
    aReader.Reject("defaults", SettingsRule::Required, "");
  }
  aReader.Object("defaults", [&aDocument](SettingsReader& aDefaults) {
    ReadDefaults(aDefaults, aDocument.defaults);
  });
  aReader.ObjectList("exceptions", [&aDocument](SettingsReader& aException) {
    aDocument.exceptions.push_back(ReadException(aException));
  });
  if (aDocument.exceptions.size() > kMaximumExceptions) {
    aReader.Reject("exceptions", SettingsRule::InRange, "at most 256 exceptions");
  }
  const auto scope = [](const ConfigurationException& aItem) {
    return Describe(aItem.scope);
  };
  RequireUnique(aReader, "exceptions", NamesOf(aDocument.exceptions, scope), "scope");
  RequireKnownScopes(aReader, aDocument);
}

} // namespace

const char* Name(ScopeKind aKind)
{
  return kScopeNames.at(static_cast<std::size_t>(aKind));
}

std::string Describe(const Scope& aScope)
{
  return std::string(Name(aScope.kind)) + "/" + aScope.name;
}

Result<ConfigurationDocument, std::vector<SettingsError>> ParseConfiguration(
  std::string_view aText)
{
  const auto parsed = DecodeJson(aText, { kMaximumConfigurationBytes });
  if (!parsed) {
    return std::vector<SettingsError>{ DecodeError(parsed.LastReason()) };
  }
  ConfigurationDocument document;
  SettingsReader reader(*parsed);
  ReadDocument(reader, document);
  reader.Finish();
  if (!reader.Errors().empty()) {
    return reader.Errors();
  }
  document.text = std::string(aText);
  return document;
}

SettingsError DecodeError(DecodeFailure aFailure)
{
  const bool tooLarge = aFailure == DecodeFailure::TooLarge;
  return { "",
           "",
           tooLarge ? SettingsRule::InRange : SettingsRule::ValidJson,
           tooLarge ? "at most " + std::to_string(kMaximumConfigurationBytes) + " bytes"
                    : Name(aFailure) };
}

std::vector<Scope> ScopesServingIsolated(const ConfigurationDocument& aDocument)
{
  std::vector<Scope> scopes;
  for (const auto& exception : aDocument.exceptions) {
    if (exception.overrides.isolatedServing == IsolationPolicy::Continue) {
      scopes.push_back(exception.scope);
    }
  }
  return scopes;
}

} // namespace toucanstand
