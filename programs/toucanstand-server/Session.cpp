#include "Session.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

Session::Session(ServingState& aState,
                 PlatformStore& aStore,
                 PeerDirectory& aPeers,
                 std::string aRun)
  : state(aState)
  , store(aStore)
  , peers(aPeers)
  , timer(aState.loop)
  , run(std::move(aRun))
{
}

Task<> Session::Run()
{
  co_await this->KeepPresence();
  co_await this->Wait(kFirstReading);
  while (!this->ended) {
    co_await this->KeepPresence();
    if (this->HoldsLeadership()) {
      co_await this->RenewLeadership();
    } else if (this->presenceLease != 0 && this->leader.empty()) {
      if (!this->peers.IsRelay()) {
        co_await this->Wait(kHesitation);
      }
      if (this->leader.empty() && !this->ended) {
        co_await this->Compete();
      }
    }
    const Duration untilDue = this->presenceDue - BootClock::now();
    co_await this->Wait(
      this->leadershipLease != 0 ? std::min(untilDue, kLeadershipRenewal) : untilDue);
  }
}

Task<> Session::KeepPresence()
{
  if (this->ended || BootClock::now() < this->presenceDue) {
    co_return;
  }
  this->presenceDue = BootClock::now() + kPresenceRetry;
  if (this->presenceLease == 0) {
    co_await this->Register();
  } else {
    co_await this->RenewPresence();
  }
}

Task<> Session::Register()
{
  const auto granted = co_await this->store.GrantLease(kPresenceLease);
  if (!granted) {
    co_return;
  }
  std::string key = std::string(kPresencePrefix) + this->run;
  std::string text =
    Presence{ this->state.settings.peers, this->state.settings.cpuShare }.Text();
  const auto created =
    co_await this->store.CreateIfAbsent(std::move(key), std::move(text), *granted);
  // Whatever became of an earlier registration, it ends with its own lease.
  if (created || created.LastReason() == StoreFailure::Conflict) {
    this->presenceLease = *granted;
    this->presenceDue = BootClock::now() + kPresenceRenewal;
  }
}

Task<> Session::RenewPresence()
{
  const auto renewed = co_await this->store.KeepLeaseAlive(this->presenceLease);
  if (renewed) {
    this->presenceDue = BootClock::now() + kPresenceRenewal;
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

Task<> Session::RenewLeadership()
{
  const auto startedAt = BootClock::now();
  const auto renewed = co_await this->store.KeepLeaseAlive(this->leadershipLease);
  if (renewed) {
    this->leadershipRenewedAt = startedAt;
  } else if (renewed.LastReason() == StoreFailure::NotFound) {
    this->state.log.Write(
      LogWeight::Notable, "leadership_lapsed", { { "term", this->leaderRevision } });
    this->leadershipLease = 0;
  }
}

Task<> Session::Compete()
{
  const auto startedAt = BootClock::now();
  const auto granted = co_await this->store.GrantLease(kLeadershipLease);
  if (!granted || this->ended || !this->leader.empty()) {
    co_return;
  }
  this->leadershipLease = *granted;
  this->leadershipRenewedAt = startedAt;
  // The change feed tells who won, also when the answer is lost.
  const std::string value = this->OwnClaim();
  const auto created = co_await this->store.CreateIfAbsent(
    std::string(kLeaderKey), value, this->leadershipLease);
  if (created) {
    this->leader = value;
    this->leaderRevision = *created;
    this->state.log.Write(LogWeight::Notable,
                          "leadership_gained",
                          { { "term", static_cast<std::int64_t>(*created) } });
  }
}

std::string Session::OwnClaim() const
{
  return this->run + "/" + std::to_string(this->leadershipLease);
}

bool Session::HoldsLeadership() const
{
  return this->leadershipLease != 0 && this->leader == this->OwnClaim();
}

void Session::OnOwnKey(const StoreChange& aChange)
{
  if (aChange.key != kLeaderKey || aChange.revision < this->leaderRevision) {
    return;
  }
  this->leader = aChange.value.value_or("");
  this->leaderRevision = aChange.revision;
  if (this->leader.empty()) {
    // Compete now instead of at the next renewal.
    this->timer.cancel();
  }
}

std::int64_t Session::LeaderTerm(TimePoint aNow) const
{
  const bool leads = this->HoldsLeadership() && !this->ended &&
                     aNow < this->leadershipRenewedAt + kLeadershipLease - kMargin;
  return leads ? this->leaderRevision : 0;
}

Task<> Session::StepDown()
{
  const auto revision = this->leaderRevision;
  this->leader = "none";
  this->state.log.Write(
    LogWeight::Notable, "leadership_given_up", { { "term", revision } });
  (void)co_await this->store.DeleteIf(std::string(kLeaderKey), revision);
}

Task<> Session::End()
{
  this->ended = true;
  this->timer.cancel();
  const auto leadership = std::exchange(this->leadershipLease, 0);
  const auto presence = std::exchange(this->presenceLease, 0);
  // A lease that can't be ended now ends by itself.
  if (leadership != 0) {
    (void)co_await this->store.RevokeLease(leadership);
  }
  if (presence != 0) {
    (void)co_await this->store.RevokeLease(presence);
  }
}

Task<> Session::Wait(Duration aDuration)
{
  this->timer.expires_after(aDuration);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace toucanstand
