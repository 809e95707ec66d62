#include "RelayedFeed.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

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
  , client(aLoop, aMetrics)
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
    const bool mayAsk =
      this->peers.IsRelay() || this->peers.Relays().empty() || now >= this->storeAgainAt;
    if (!mayAsk) {
      co_return StoreFailure::NotSent;
    }
    co_return co_await this->AskStore(std::move(aPrefix), aAfter, aWait);
  }
  auto changes = co_await this->Ask(*relay, aAfter);
  if (changes) {
    this->metrics.Count("store_changes_relayed_total");
    co_return std::move(*changes);
  }
  const auto failure = changes.LastReason();
  if (now < this->storeAgainAt && failure != RelayFailure::Silent) {
    if (failure == RelayFailure::TooOld) {
      co_return StoreFailure::NotSent;
    }
    co_return co_await this->FetchWhole(*relay, aAfter);
  }
  co_return co_await this->AskStore(std::move(aPrefix), aAfter, aWait);
}

Task<Result<StoreChanges, StoreFailure>> RelayedFeed::FetchWhole(Endpoint aRelay,
                                                                 StoreRevision aAfter)
{
  HttpRequest request;
  request.target = std::string(kChangesTarget) + std::to_string(aAfter);
  HttpDeadlines deadlines;
  deadlines.connect = kFetchTimeout;
  deadlines.head = kFetchTimeout;
  deadlines.body = kFetchTimeout;
  auto response = co_await this->client.Fetch(
    std::move(aRelay), std::move(request), deadlines, kMostFetchedBytes);
  if (!response || response->status != 200) {
    co_return StoreFailure::NotSent;
  }
  const auto& body = response->body;
  const std::vector<std::uint8_t> bytes(body.begin(), body.end());
  const auto datagram = DecodeDatagram(bytes, kMostFetchedBytes);
  if (!datagram || datagram->kind != DatagramKind::ChangeAnswer) {
    co_return StoreFailure::Malformed;
  }
  auto whole = DecodeChangeAnswer(datagram->fields);
  if (!whole || !whole->known) {
    co_return StoreFailure::NotSent;
  }
  this->metrics.Count("store_changes_relayed_total");
  co_return std::move(whole->changes);
}

Task<> RelayedFeed::ServeChanges(HttpExchange& aExchange, const Answerer& aAnswer)
{
  const std::string& path = aExchange.Request().target;
  const std::string_view target(path);
  StoreRevision after = 0;
  const bool asks = target.starts_with(kChangesTarget);
  const auto number = asks ? target.substr(kChangesTarget.size()) : std::string_view();
  const auto [end, error] =
    std::from_chars(number.data(), number.data() + number.size(), after);
  HttpResponse response;
  if (number.empty() || error != std::errc{} || end != number.data() + number.size()) {
    response.status = 404;
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const auto bytes = EncodeWholeAnswer(aAnswer({ 0, after }));
  response.body.assign(bytes.begin(), bytes.end());
  co_await aExchange.Respond(std::move(response));
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
  const auto hasPassed = [aNow](const auto& aUntil) { return aNow >= aUntil.second; };
  std::erase_if(this->silentUntil, hasPassed);
  std::erase_if(this->behindUntil, hasPassed);
  std::vector<Endpoint> answering;
  std::ranges::copy_if(
    this->peers.Relays(), std::back_inserter(answering), [this](const Endpoint& aRelay) {
      return !this->silentUntil.contains(aRelay);
    });
  if (answering.empty()) {
    return std::nullopt;
  }
  // A relay that is behind still tells the load of the others.
  const auto upToDate = std::ranges::find_if(answering, [this](const Endpoint& aRelay) {
    return !this->behindUntil.contains(aRelay);
  });
  return upToDate == answering.end() ? answering.front() : *upToDate;
}

Task<Result<StoreChanges, RelayedFeed::RelayFailure>> RelayedFeed::Ask(
  Endpoint aRelay,
  StoreRevision aAfter)
{
  this->answer.reset();
  this->askedAfter = aAfter;
  this->sender(EncodeChangeQuery({ ++this->number, aAfter }), aRelay);
  this->timer.expires_after(kAnswerTimeout);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  if (!this->answer) {
    this->silentUntil[aRelay] = BootClock::now() + kAvoidance;
    co_return this->NoteUnused(aRelay, RelayFailure::Silent);
  }
  if (!this->answer->known) {
    co_return this->NoteUnused(aRelay, RelayFailure::DoesNotKnow);
  }
  if (this->answer->changes.age > kMostAge) {
    // It alone may be cut off from the store: another relay is asked next.
    this->behindUntil[aRelay] = BootClock::now() + kAvoidance;
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
  this->log.Write(LogWeight::Notable,
                  "relay_not_used",
                  { { "relay", aRelay.Text() },
                    { "reason", reason },
                    { "age_ms", age },
                    { "asked_after", this->askedAfter },
                    { "relay_at", this->answer ? this->answer->changes.at : 0 } });
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
