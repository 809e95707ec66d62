#include "Session.h"

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
  co_await this->Register();
  co_await this->Wait(kFirstReading);
  while (!this->ended) {
    if (this->lease == 0) {
      co_await this->Register();
    } else {
      co_await this->Renew();
    }
    if (this->lease != 0 && this->leader.empty() && !this->ended) {
      if (!this->peers.IsRelay()) {
        co_await this->Wait(kHesitation);
      }
      if (this->leader.empty() && !this->ended) {
        co_await this->Compete();
      }
    }
    const bool leads = this->LeaderTerm(BootClock::now()) != 0;
    co_await this->Wait(leads ? kRenewal : kIdleRenewal);
  }
}

Task<> Session::Register()
{
  const auto startedAt = BootClock::now();
  const auto granted = co_await this->store.GrantLease(kLease);
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
    this->lease = *granted;
    this->renewedAt = startedAt;
  }
}

Task<> Session::Renew()
{
  const auto startedAt = BootClock::now();
  const auto renewed = co_await this->store.KeepLeaseAlive(this->lease);
  if (renewed) {
    this->renewedAt = startedAt;
    co_return;
  }
  if (renewed.LastReason() == StoreFailure::NotFound) {
    this->state.log.Write(LogWeight::Notable,
                          "session_lapsed",
                          { { "lease", static_cast<std::int64_t>(this->lease) } });
    this->lease = 0;
    co_await this->Register();
  }
}

Task<> Session::Compete()
{
  // The change feed tells who won, also when the answer is lost.
  const std::string value = this->run + "/" + std::to_string(this->lease);
  const auto created =
    co_await this->store.CreateIfAbsent(std::string(kLeaderKey), value, this->lease);
  if (created) {
    this->leader = value;
    this->leaderRevision = *created;
    this->state.log.Write(LogWeight::Notable,
                          "leadership_gained",
                          { { "term", static_cast<std::int64_t>(*created) } });
  }
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
  const bool leads = this->lease != 0 && !this->ended &&
                     this->leader == this->run + "/" + std::to_string(this->lease) &&
                     aNow < this->renewedAt + kLease - kMargin;
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
  const auto last = std::exchange(this->lease, 0);
  if (last != 0) {
    // A lease that can't be ended now ends by itself.
    (void)co_await this->store.RevokeLease(last);
  }
}

Task<> Session::Wait(Duration aDuration)
{
  this->timer.expires_after(aDuration);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace toucanstand
