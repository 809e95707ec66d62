#include "RelayedFeed.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

RelayedFeed::RelayedFeed(boost::asio::io_context& aLoop,
                         ChangeFeed& aStore,
                         PeerDirectory& aPeers,
                         MetricsRegistry& aMetrics,
                         Sender aSender)
  : store(aStore)
  , peers(aPeers)
  , metrics(aMetrics)
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
  if (const auto relay = this->PickRelay(now)) {
    auto changes = co_await this->Ask(*relay, aAfter);
    if (changes) {
      this->metrics.Count("store_changes_relayed_total");
      co_return std::move(*changes);
    }
  }
  co_return co_await this->store.ReadChanges(std::move(aPrefix), aAfter, aWait);
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

Task<std::optional<StoreChanges>> RelayedFeed::Ask(Endpoint aRelay, StoreRevision aAfter)
{
  this->answer.reset();
  this->sender(EncodeChangeQuery({ ++this->number, aAfter }), aRelay);
  this->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(kAnswerTimeout));
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  if (!this->answer) {
    this->metrics.Count("relay_failures_total{reason=\"silent\"}");
    this->avoidedUntil[aRelay] = BootClock::now() + kAvoidance;
    co_return std::nullopt;
  }
  auto& changes = this->answer->changes;
  if (!this->answer->known || changes.age > kMostAge) {
    this->metrics.Count(this->answer->known ? "relay_failures_total{reason=\"old\"}"
                                            : "relay_failures_total{reason=\"unknown\"}");
    co_return std::nullopt;
  }
  co_return std::move(changes);
}

void RelayedFeed::OnAnswer(ChangeAnswer aAnswer)
{
  if (aAnswer.number == this->number) {
    this->answer = std::move(aAnswer);
    this->timer.cancel();
  }
}

} // namespace toucanstand
