#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "LedgerSettings.h"
#include "claims/ClaimMachine.h"
#include "messages/MessagePort.h"
#include "metrics/MetricsRegistry.h"
#include "random/Random.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// What a ClaimService asks of the rest of the process.
struct ClaimServiceHooks
{
  std::function<void(const Endpoint&, const std::string&, const nlohmann::json&)> send;
  /// True when the entry VM is known to be gone.
  std::function<bool(const VmId&)> isGone;
  /// A claim is finished.
  std::function<void()> noteProgress;
};

/// Carries out the actions of the claim machines: store calls, waits and replies.
class ClaimService
{
public:
  /// Claims that are open at the same time; further ones are refused.
  static constexpr std::size_t kMaximumOpen = 100'000;

  /// @param aStore and @param aMetrics must outlive the service.
  ClaimService(boost::asio::io_context& aLoop,
               PlatformStore& aStore,
               MetricsRegistry& aMetrics,
               const LedgerSettings& aSettings,
               Random aRandom,
               ClaimServiceHooks aHooks);

  /// Begins to look for granted calls that are overdue, once a second.
  void Start();

  /// Takes over `claim` and `outcome` messages; false for other types.
  bool OnMessage(const Message& aMessage);

  /// Refuses new claims; open ones are finished.
  void StopGranting() { this->stopped = true; }

  [[nodiscard]] std::size_t Open() const { return this->open.size(); }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Claim;
  using ClaimPointer = std::shared_ptr<Claim>;

  void OnClaim(ClaimMessage aRequest, const Endpoint& aFrom);
  void OnOutcome(const OutcomeMessage& aOutcome, const Endpoint& aFrom);
  /// Records the outcome of a claim that this process doesn't know.
  void Recover(const OutcomeMessage& aOutcome, const Endpoint& aFrom);
  void Take(const ClaimPointer& aClaim, const ClaimActions& aActions);
  void TakeOne(const ClaimPointer& aClaim, const ClaimAction& aAction);
  Task<> CallStore(ClaimPointer aClaim, ClaimAction aAction);
  Task<ClaimActions> Create(ClaimPointer aClaim, ClaimAction aAction);
  Task<ClaimActions> Read(ClaimPointer aClaim);
  Task<ClaimActions> Change(ClaimPointer aClaim, ClaimAction aAction);
  Task<> WaitToRetry(ClaimPointer aClaim);
  /// The lease that bounds the retention; nothing when the store grants none.
  Task<std::optional<StoreLease>> Lease();
  [[nodiscard]] bool IsOwnerGone(const ClaimRecord& aRecord) const;
  void CheckOverdue();

  boost::asio::io_context& loop;
  PlatformStore& store;
  MetricsRegistry& metrics;
  const LedgerSettings& settings;
  Random random;
  ClaimServiceHooks hooks;
  RetentionLease retention;
  /// Cancelled when the grant of a lease that is under way has ended.
  boost::asio::steady_timer leaseTimer;
  bool askingForLease = false;
  boost::asio::steady_timer overdueTimer;
  /// By nonce.
  std::map<std::string, ClaimPointer> open;
  bool stopped = false;
};

} // namespace toucanstand
