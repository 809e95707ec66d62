#include "ClaimService.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kOverdueInterval = std::chrono::seconds(1);

auto ToTimer(Duration aDuration)
{
  return std::chrono::duration_cast<asio::steady_timer::duration>(aDuration);
}

StoreResult ToStoreResult(StoreFailure aFailure)
{
  switch (aFailure) {
    case StoreFailure::NotFound:
    case StoreFailure::Conflict:
      return StoreResult::ConditionFailed;
    case StoreFailure::NotSent:
    case StoreFailure::Throttled:
    case StoreFailure::TooLarge:
      return StoreResult::NotSent;
    case StoreFailure::EffectUnknown:
    case StoreFailure::Malformed:
    case StoreFailure::HistoryLost:
      break;
  }
  return StoreResult::NoReply;
}

} // namespace

struct ClaimService::Claim
{
  Claim(asio::io_context& aLoop,
        ClaimMessage aRequest,
        const VmId& aOwner,
        Endpoint aFrom)
    : machine(std::move(aRequest), aOwner)
    , from(std::move(aFrom))
    , timer(aLoop)
    , askedAt(BootClock::now())
  {
  }

  ClaimMachine machine;
  /// The entry process that asked.
  Endpoint from;
  asio::steady_timer timer;
  TimePoint askedAt;
  int waits = 0;
};

ClaimService::ClaimService(asio::io_context& aLoop,
                           PlatformStore& aStore,
                           MetricsRegistry& aMetrics,
                           const LedgerSettings& aSettings,
                           Random aRandom,
                           ClaimServiceHooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , metrics(aMetrics)
  , settings(aSettings)
  , random(aRandom)
  , hooks(std::move(aHooks))
  , retention(aSettings.retention)
  , leaseTimer(aLoop)
  , overdueTimer(aLoop)
{
}

void ClaimService::Start()
{
  this->overdueTimer.expires_after(kOverdueInterval);
  this->overdueTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->CheckOverdue();
      this->Start();
    }
  });
}

bool ClaimService::OnMessage(const Message& aMessage)
{
  if (aMessage.type == "claim") {
    auto request = ClaimFromJson(aMessage.body);
    request ? this->OnClaim(std::move(*request), aMessage.from)
            : this->metrics.Count("messages_rejected_total{reason=\"claim\"}");
    return true;
  }
  if (aMessage.type == "outcome") {
    const auto outcome = OutcomeFromJson(aMessage.body);
    outcome ? this->OnOutcome(*outcome, aMessage.from)
            : this->metrics.Count("messages_rejected_total{reason=\"outcome\"}");
    return true;
  }
  return false;
}

nlohmann::json ClaimService::Describe() const
{
  constexpr std::size_t kMostShown = 100;
  auto claims = nlohmann::json::array();
  for (const auto& [nonce, claim] : this->open) {
    if (claims.size() >= kMostShown) {
      break;
    }
    claims.push_back(claim->machine.Describe());
  }
  return { { "open", this->open.size() },
           { "claims", std::move(claims) },
           { "granting", !this->stopped } };
}

void ClaimService::OnClaim(ClaimMessage aRequest, const Endpoint& aFrom)
{
  if (this->open.contains(aRequest.nonce)) {
    this->metrics.Count("claims_duplicate_total");
    return;
  }
  if (this->stopped || this->open.size() >= kMaximumOpen) {
    this->metrics.Count("claims_refused_total");
    this->hooks.send(
      aFrom,
      "claim-reply",
      ToJson(ClaimReplyMessage{ aRequest.nonce, ClaimAnswer::StoreDown, 0, {}, false }));
    return;
  }
  const std::string nonce = aRequest.nonce;
  const auto claim =
    std::make_shared<Claim>(this->loop, std::move(aRequest), this->settings.id, aFrom);
  this->open.emplace(nonce, claim);
  this->Take(claim, claim->machine.OnClaimAsked());
}

void ClaimService::OnOutcome(const OutcomeMessage& aOutcome, const Endpoint& aFrom)
{
  this->metrics.Count(std::string("outcomes_total{outcome=\"") +
                      WireName(aOutcome.outcome) + "\"}");
  const auto found = this->open.find(aOutcome.nonce);
  if (found == this->open.end()) {
    this->Recover(aOutcome, aFrom);
    return;
  }
  const ClaimPointer claim = found->second;
  claim->waits = 0;
  this->Take(claim, claim->machine.OnOutcomeKnown(aOutcome));
}

void ClaimService::Recover(const OutcomeMessage& aOutcome, const Endpoint& aFrom)
{
  if (aOutcome.key.empty() || this->open.size() >= kMaximumOpen) {
    this->hooks.send(
      aFrom, "outcome-reply", ToJson(OutcomeReplyMessage{ aOutcome.nonce, false }));
    return;
  }
  // Claimed before this process was started, or already finished.
  this->metrics.Count("outcomes_recovered_total");
  ClaimMessage request{ aOutcome.account, aOutcome.key, {}, aOutcome.nonce };
  const auto claim =
    std::make_shared<Claim>(this->loop, std::move(request), this->settings.id, aFrom);
  this->open.emplace(aOutcome.nonce, claim);
  this->Take(claim, claim->machine.OnOutcomeRecovered(aOutcome));
}

void ClaimService::Take(const ClaimPointer& aClaim, const ClaimActions& aActions)
{
  for (const auto& action : aActions) {
    this->TakeOne(aClaim, action);
  }
  if (aClaim->machine.IsDone() && this->open.erase(aClaim->machine.Nonce()) > 0) {
    this->hooks.noteProgress();
  }
}

void ClaimService::TakeOne(const ClaimPointer& aClaim, const ClaimAction& aAction)
{
  switch (aAction.kind) {
    case ClaimActionKind::Reply:
      this->metrics.Count(std::string("claims_total{answer=\"") +
                          WireName(aAction.reply.answer) + "\"}");
      this->metrics.Record("claim_seconds", BootClock::now() - aClaim->askedAt);
      this->hooks.send(aClaim->from, "claim-reply", ToJson(aAction.reply));
      return;
    case ClaimActionKind::ReplyOutcome:
      this->metrics.Count(aAction.outcomeReply.recorded ? "outcomes_recorded_total"
                                                        : "outcomes_lost_total");
      this->hooks.send(aClaim->from, "outcome-reply", ToJson(aAction.outcomeReply));
      return;
    case ClaimActionKind::WaitToRetry:
      asio::co_spawn(this->loop, this->WaitToRetry(aClaim), asio::detached);
      return;
    case ClaimActionKind::ReadRecord:
    case ClaimActionKind::CreateIfAbsent:
    case ClaimActionKind::ReplaceIfRevision:
    case ClaimActionKind::DeleteIfRevision:
      asio::co_spawn(this->loop, this->CallStore(aClaim, aAction), asio::detached);
      return;
  }
}

Task<> ClaimService::CallStore(ClaimPointer aClaim, ClaimAction aAction)
{
  ClaimActions actions;
  if (aAction.kind == ClaimActionKind::CreateIfAbsent) {
    actions = co_await this->Create(aClaim, std::move(aAction));
  } else if (aAction.kind == ClaimActionKind::ReadRecord) {
    actions = co_await this->Read(aClaim);
  } else {
    actions = co_await this->Change(aClaim, std::move(aAction));
  }
  this->Take(aClaim, actions);
}

Task<ClaimActions> ClaimService::Create(ClaimPointer aClaim, ClaimAction aAction)
{
  const auto lease = co_await this->Lease();
  if (!lease) {
    co_return aClaim->machine.OnCreateReply(StoreResult::NotSent, 0, std::nullopt);
  }
  const auto& record = aAction.record;
  const auto result = co_await this->store.CreateIfAbsent(
    ClaimKey(record.account, record.key), FormatClaimRecord(record), *lease);
  if (result) {
    co_return aClaim->machine.OnCreateReply(StoreResult::Done, *result, std::nullopt);
  }
  co_return aClaim->machine.OnCreateReply(
    ToStoreResult(result.LastReason()), 0, std::nullopt);
}

Task<ClaimActions> ClaimService::Read(ClaimPointer aClaim)
{
  const auto& own = aClaim->machine.Record();
  const auto result = co_await this->store.Read(ClaimKey(own.account, own.key));
  if (!result && result.LastReason() == StoreFailure::NotFound) {
    // The create may have failed because the store no longer knows the lease.
    this->retention.Forget();
    co_return aClaim->machine.OnReadReply(StoreResult::Done, std::nullopt);
  }
  if (!result) {
    co_return aClaim->machine.OnReadReply(ToStoreResult(result.LastReason()),
                                          std::nullopt);
  }
  StoredClaim found;
  found.record = ParseClaimRecord(result->value);
  found.revision = result->modRevision;
  found.ownerGone = found.record && this->IsOwnerGone(*found.record);
  co_return aClaim->machine.OnReadReply(StoreResult::Done, found);
}

Task<ClaimActions> ClaimService::Change(ClaimPointer aClaim, ClaimAction aAction)
{
  const auto& own = aClaim->machine.Record();
  const std::string key = ClaimKey(own.account, own.key);
  if (aAction.kind == ClaimActionKind::DeleteIfRevision) {
    const auto result = co_await this->store.DeleteIf(key, aAction.revision);
    co_return aClaim->machine.OnReplaceReply(result ? StoreResult::Done
                                                    : ToStoreResult(result.LastReason()));
  }
  // A write without a lease would detach the key from its lease, and the record would
  // never expire.
  const auto lease = co_await this->Lease();
  if (!lease) {
    co_return aClaim->machine.OnReplaceReply(StoreResult::NotSent);
  }
  const auto result = co_await this->store.ReplaceIf(
    key, aAction.revision, FormatClaimRecord(aAction.record), *lease);
  co_return aClaim->machine.OnReplaceReply(result ? StoreResult::Done
                                                  : ToStoreResult(result.LastReason()));
}

Task<> ClaimService::WaitToRetry(ClaimPointer aClaim)
{
  constexpr int kMostDoublings = 20;
  Duration wait = this->settings.retryWait;
  for (int count = 0; count < std::min(aClaim->waits, kMostDoublings); ++count) {
    wait = std::min(wait * 2, this->settings.longestRetryWait);
  }
  ++aClaim->waits;
  // Spread over half of the wait, so that the claims of an outage don't return together.
  const double share = 0.75 + 0.5 * this->random.Fraction();
  aClaim->timer.expires_after(ToTimer(FromSeconds(ToSeconds(wait) * share)));
  const auto [error] = co_await aClaim->timer.async_wait(kAwait);
  if (!error) {
    this->Take(aClaim, aClaim->machine.OnRetryTime());
  }
}

Task<std::optional<StoreLease>> ClaimService::Lease()
{
  while (this->askingForLease) {
    this->leaseTimer.expires_at(asio::steady_timer::time_point::max());
    co_await this->leaseTimer.async_wait(kAwait);
  }
  const auto askedAt = BootClock::now();
  if (const auto current = this->retention.Current(askedAt)) {
    co_return *current;
  }
  this->askingForLease = true;
  const auto granted = co_await this->store.GrantLease(
    std::chrono::ceil<std::chrono::seconds>(this->retention.Lifetime()));
  this->askingForLease = false;
  this->leaseTimer.cancel();
  if (!granted) {
    co_return std::nullopt;
  }
  this->retention.OnGranted(*granted, askedAt);
  co_return *granted;
}

bool ClaimService::IsOwnerGone(const ClaimRecord& aRecord) const
{
  if (aRecord.owner == this->settings.id) {
    // Claimed by an earlier run of this process.
    return !this->open.contains(aRecord.nonce);
  }
  return this->hooks.isGone(aRecord.owner);
}

void ClaimService::CheckOverdue()
{
  const auto now = BootClock::now();
  std::vector<ClaimPointer> overdue;
  for (const auto& [nonce, claim] : this->open) {
    if (claim->machine.IsGranted() && now - claim->askedAt > this->settings.longestCall) {
      overdue.push_back(claim);
    }
  }
  for (const auto& claim : overdue) {
    this->metrics.Count("claims_overdue_total");
    this->Take(claim, claim->machine.OnOwnerGone());
  }
}

} // namespace toucanstand
