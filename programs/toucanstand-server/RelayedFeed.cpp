#include "RelayedFeed.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

RelayedFeed::RelayedFeed(boost::asio::io_context& aLoop,
                         ChangeFeed& aStore,
                         PeerDirectory& aPeers,
                         MetricsRegistry& aMetrics,
                         DecisionLog& aLog,
                         Sender aSender)
  : store(aStore)
  , peers(aPeers)
  , metrics(aMetrics)
  , log(aLog)
  , sender(std::move(aSender))
  , timer(aLoop)
{
}

Task<Result<StorePage, StoreFailure>> RelayedFeed::ReadPage(std::string aPrefix,
                                                            std::string aAfterKey)
{
  co_return co_await this->store.ReadPage(std::move(aPrefix), std::move(aAfterKey));
}

Task<Result<StoreChanges, StoreFailure>> RelayedFeed::ReadChanges(
  std::string aPrefix,
  StoreRevision aAfter,
  std::chrono::milliseconds aWait)
{
  const auto now = BootClock::now();
  const auto relay = this->PickRelay(now);
  if (!relay) {
    co_return co_await this->AskStore(std::move(aPrefix), aAfter, aWait);
  }
  auto changes = co_await this->Ask(*relay, aAfter);
  if (changes) {
    this->metrics.Count("store_changes_relayed_total");
    co_return std::move(*changes);
  }
  const bool storeIsAway =
    changes.LastReason() == RelayFailure::TooOld && now < this->storeAgainAt;
  if (storeIsAway) {
    co_return StoreFailure::NotSent;
  }
  co_return co_await this->AskStore(std::move(aPrefix), aAfter, aWait);
}

Task<Result<StoreChanges, StoreFailure>> RelayedFeed::AskStore(
  std::string aPrefix,
  StoreRevision aAfter,
  std::chrono::milliseconds aWait)
{
  auto changes = co_await this->store.ReadChanges(std::move(aPrefix), aAfter, aWait);
  if (!changes && changes.LastReason() != StoreFailure::HistoryLost) {
    this->storeAgainAt = BootClock::now() + kStorePause;
  }
  co_return changes;
}

std::optional<Endpoint> RelayedFeed::PickRelay(TimePoint aNow)
{
  if (this->peers.IsRelay()) {
    return std::nullopt;
  }
  std::erase_if(this->avoidedUntil,
                [aNow](const auto& aAvoided) { return aNow >= aAvoided.second; });
  const auto& relays = this->peers.Relays();
  const auto found = std::ranges::find_if(relays, [this](const Endpoint& aRelay) {
    return !this->avoidedUntil.contains(aRelay);
  });
  return found == relays.end() ? std::nullopt : std::optional(*found);
}

Task<Result<StoreChanges, RelayedFeed::RelayFailure>> RelayedFeed::Ask(
  Endpoint aRelay,
  StoreRevision aAfter)
{
  this->answer.reset();
  this->sender(EncodeChangeQuery({ ++this->number, aAfter }), aRelay);
  this->timer.expires_after(kAnswerTimeout);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  if (!this->answer) {
    this->avoidedUntil[aRelay] = BootClock::now() + kAvoidance;
    co_return this->NoteUnused(aRelay, RelayFailure::Silent);
  }
  if (!this->answer->known) {
    co_return this->NoteUnused(aRelay, RelayFailure::DoesNotKnow);
  }
  if (this->answer->changes.age > kMostAge) {
    co_return this->NoteUnused(aRelay, RelayFailure::TooOld);
  }
  co_return std::move(this->answer->changes);
}

RelayedFeed::RelayFailure RelayedFeed::NoteUnused(const Endpoint& aRelay,
                                                  RelayFailure aFailure)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "silent", "does_not_know", "too_old" };
  const char* reason = kNames.at(static_cast<std::size_t>(aFailure));
  this->metrics.Count(std::string("relay_failures_total{reason=\"") + reason + "\"}");
  const auto age = this->answer ? ToMilliseconds(this->answer->changes.age).count() : -1;
  this->log.Write(
    LogWeight::Notable,
    "relay_not_used",
    { { "relay", aRelay.Text() }, { "reason", reason }, { "age_ms", age } });
  return aFailure;
}

void RelayedFeed::OnAnswer(ChangeAnswer aAnswer)
{
  if (aAnswer.number == this->number) {
    this->answer = std::move(aAnswer);
    this->timer.cancel();
  }
}

} // namespace toucanstand
