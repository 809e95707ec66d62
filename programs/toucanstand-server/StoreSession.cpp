#include "StoreSession.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

namespace {

/// Run ids are shorter.
constexpr std::size_t kMaxLeaderValueBytes = 512;

/// True for a run id and the number of a lease, as OwnLeaderValue() writes them.
bool IsLeaderValue(std::string_view aText)
{
  const auto slash = aText.rfind('/');
  if (slash == std::string_view::npos || slash == 0 ||
      aText.size() > kMaxLeaderValueBytes) {
    return false;
  }
  const auto digits = aText.substr(slash + 1);
  StoreLease lease = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, lease);
  return error == std::errc{} && end == last && lease > 0;
}

} // namespace

StoreSession::StoreSession(ServingState& aState,
                           PlatformStore& aStore,
                           PeerDirectory& aPeers,
                           std::string aRunId)
  : state(aState)
  , store(aStore)
  , peers(aPeers)
  , timer(aState.loop)
  , runId(std::move(aRunId))
{
}

Task<> StoreSession::Run()
{
  co_await this->MaintainPresence();
  co_await this->Wait(kInitialReadTime);
  while (!this->ended) {
    co_await this->MaintainPresence();
    if (this->HoldsLeadership()) {
      co_await this->RenewLeadership();
    } else if (this->leaderValue.starts_with(this->runId + "/")) {
      co_await this->DeleteLapsedLeadership();
    } else if (this->leaderUnreadable) {
      if (!this->peers.IsRelay()) {
        co_await this->Wait(kNonRelayElectionDelay);
      }
      if (this->leaderUnreadable) {
        co_await this->DeleteLapsedLeadership();
      }
    } else if (this->MayCampaign()) {
      if (!this->peers.IsRelay()) {
        co_await this->Wait(kNonRelayElectionDelay);
      }
      if (this->MayCampaign()) {
        co_await this->CampaignForLeadership();
      }
    }
    const Duration untilDue = this->presenceUpdateDue - BootClock::now();
    co_await this->Wait(
      this->leadershipLease != 0 ? std::min(untilDue, kLeadershipRenewal) : untilDue);
  }
}

Task<> StoreSession::MaintainPresence()
{
  if (this->ended || BootClock::now() < this->presenceUpdateDue) {
    co_return;
  }
  this->presenceUpdateDue = BootClock::now() + kPresenceRetry;
  if (this->presenceLease == 0) {
    co_await this->Register();
  } else {
    co_await this->RenewPresence();
  }
}

Task<> StoreSession::Register()
{
  const auto granted = co_await this->store.GrantLease(kPresenceLease);
  if (!granted) {
    co_return;
  }
  auto written = co_await this->store.CreateIfAbsent(
    this->RegistrationKey(), this->RegistrationValue(), *granted);
  const bool existsUnderEarlierLease =
    !written && written.LastReason() == StoreFailure::Conflict;
  if (existsUnderEarlierLease) {
    // It would expire with that lease, which this process does not renew.
    written = co_await this->ReplaceRegistration(*granted);
  }
  if (written) {
    this->presenceLease = *granted;
    this->presenceUpdateDue = BootClock::now() + kPresenceRenewal;
  }
}

Task<Result<StoreRevision, StoreFailure>> StoreSession::ReplaceRegistration(
  StoreLease aLease)
{
  const auto existing = co_await this->store.Read(this->RegistrationKey());
  if (!existing) {
    co_return existing.LastReason();
  }
  co_return co_await this->store.ReplaceIf(
    this->RegistrationKey(), existing->modRevision, this->RegistrationValue(), aLease);
}

std::string StoreSession::RegistrationKey() const
{
  return std::string(kPresencePrefix) + this->runId;
}

std::string StoreSession::RegistrationValue() const
{
  return Presence{ this->state.settings.peers, this->state.settings.cpuShare }.Text();
}

Task<> StoreSession::RenewPresence()
{
  const auto renewed = co_await this->store.KeepLeaseAlive(this->presenceLease);
  if (renewed) {
    this->presenceUpdateDue = BootClock::now() + kPresenceRenewal;
    co_return;
  }
  if (renewed.LastReason() == StoreFailure::NotFound) {
    this->state.log.Write(
      LogWeight::Notable,
      "session_lapsed",
      { { "lease", static_cast<std::int64_t>(this->presenceLease) } });
    this->presenceLease = 0;
    co_await this->Register();
  }
}

Task<> StoreSession::RenewLeadership()
{
  const auto startedAt = BootClock::now();
  const auto renewed = co_await this->store.KeepLeaseAlive(this->leadershipLease);
  if (renewed) {
    this->leadershipRenewedAt = startedAt;
  } else if (renewed.LastReason() == StoreFailure::NotFound) {
    this->state.log.Write(LogWeight::Notable,
                          "leadership_lapsed",
                          { { "term", LeaderTermOf(this->leaderRevision) } });
    this->leadershipLease = 0;
  }
}

Task<> StoreSession::CampaignForLeadership()
{
  const auto startedAt = BootClock::now();
  const auto granted = co_await this->store.GrantLease(kLeadershipLease);
  if (!granted || this->ended || !this->leaderValue.empty()) {
    co_return;
  }
  this->leadershipLease = *granted;
  this->leadershipRenewedAt = startedAt;
  // If the response is lost, the change feed still shows who won.
  const std::string value = this->OwnLeaderValue();
  const auto created = co_await this->store.CreateIfAbsent(
    std::string(kLeaderKey), value, this->leadershipLease);
  if (created) {
    this->leaderValue = value;
    this->leaderRevision = *created;
    this->state.log.Write(
      LogWeight::Notable, "leadership_gained", { { "term", LeaderTermOf(*created) } });
  }
}

bool StoreSession::MayCampaign() const
{
  return this->presenceLease != 0 && this->leaderValue.empty() && !this->ended &&
         !this->leaderUnreadable && !this->state.paths.IsCutOff();
}

std::string StoreSession::OwnLeaderValue() const
{
  return this->runId + "/" + std::to_string(this->leadershipLease);
}

bool StoreSession::HoldsLeadership() const
{
  return this->leadershipLease != 0 && this->leaderValue == this->OwnLeaderValue();
}

void StoreSession::OnSystemKeyChanged(const StoreChange& aChange)
{
  if (aChange.key != kLeaderKey || aChange.revision < this->leaderRevision) {
    return;
  }
  this->leaderValue = aChange.value.value_or("");
  this->leaderRevision = aChange.revision;
  this->leaderUnreadable = aChange.value && !IsLeaderValue(*aChange.value);
  if (this->leaderUnreadable) {
    this->state.metrics.Count("leader_records_unreadable_total");
  }
  if (this->leaderValue.empty() || this->leaderUnreadable) {
    // Wakes Run(), so that it campaigns now instead of at the next renewal.
    this->timer.cancel();
  }
}

std::int64_t StoreSession::LeaderTerm(TimePoint aNow) const
{
  const bool leads =
    this->HoldsLeadership() && !this->ended && aNow >= this->mayLeadAt &&
    aNow < this->leadershipRenewedAt + kLeadershipLease - kLeadershipMargin;
  return leads ? LeaderTermOf(this->leaderRevision) : 0;
}

void StoreSession::OnStoreRestored(TimePoint aNow)
{
  this->mayLeadAt = aNow + kLeadershipLease;
  this->presenceUpdateDue = aNow;
  this->timer.cancel();
}

Task<> StoreSession::DeleteLapsedLeadership()
{
  const auto revision = this->leaderRevision;
  const auto deleted = co_await this->store.DeleteIf(std::string(kLeaderKey), revision);
  this->state.log.Write(
    LogWeight::Notable,
    "leadership_deleted",
    { { "term", LeaderTermOf(revision) }, { "deleted", deleted.HasValue() } });
}

Task<> StoreSession::StepDown()
{
  const auto revision = this->leaderRevision;
  // Matches no process, and is not empty, so that this one neither leads nor campaigns
  // until the change feed shows the deletion.
  this->leaderValue = "none";
  this->state.log.Write(
    LogWeight::Notable, "leadership_given_up", { { "term", LeaderTermOf(revision) } });
  (void)co_await this->store.DeleteIf(std::string(kLeaderKey), revision);
}

Task<> StoreSession::RevokeLeases()
{
  this->ended = true;
  this->timer.cancel();
  const auto leadership = std::exchange(this->leadershipLease, 0);
  const auto presence = std::exchange(this->presenceLease, 0);
  // A lease that can't be revoked now expires by itself.
  if (leadership != 0) {
    (void)co_await this->store.RevokeLease(leadership);
  }
  if (presence != 0) {
    (void)co_await this->store.RevokeLease(presence);
  }
}

Task<> StoreSession::Wait(Duration aDuration)
{
  this->timer.expires_after(aDuration);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace toucanstand
