#include "RelayedChangeFeed.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

RelayedChangeFeed::RelayedChangeFeed(boost::asio::io_context& aLoop,
                                     ChangeFeed& aStore,
                                     PeerDirectory& aPeers,
                                     MetricsRegistry& aMetrics,
                                     DecisionLog& aLog,
                                     DatagramSender aSendDatagram)
  : store(aStore)
  , peers(aPeers)
  , metrics(aMetrics)
  , log(aLog)
  , sendDatagram(std::move(aSendDatagram))
  , client(aLoop, aMetrics)
  , timer(aLoop)
{
}

Task<Result<StorePage, StoreFailure>> RelayedChangeFeed::ReadPage(std::string aPrefix,
                                                                  std::string aAfterKey)
{
  co_return co_await this->store.ReadPage(std::move(aPrefix), std::move(aAfterKey));
}

Task<Result<StoreChanges, StoreFailure>> RelayedChangeFeed::ReadChanges(
  std::string aPrefix,
  StoreRevision aAfter,
  std::chrono::milliseconds aWait)
{
  const auto now = BootClock::now();
  const auto relay = this->PickRelay(now);
  if (!relay) {
    const bool mayReadStore =
      this->peers.IsRelay() || this->peers.Relays().empty() || now >= this->storeRetryAt;
    if (!mayReadStore) {
      co_return StoreFailure::NotSent;
    }
    co_return co_await this->ReadFromStore(std::move(aPrefix), aAfter, aWait);
  }
  auto changes = co_await this->QueryRelay(*relay, aAfter);
  if (changes) {
    this->metrics.Count("store_changes_relayed_total");
    co_return std::move(*changes);
  }
  const auto failure = changes.LastReason();
  // After a failed call, the store is not called again before storeRetryAt if the relay
  // answers. Changes that do not fit into a datagram are fetched from the relay instead.
  if (now < this->storeRetryAt && failure != RelayFailure::NoAnswer) {
    if (failure == RelayFailure::TooOld) {
      co_return StoreFailure::NotSent;
    }
    co_return co_await this->FetchOverHttp(*relay, aAfter);
  }
  co_return co_await this->ReadFromStore(std::move(aPrefix), aAfter, aWait);
}

Task<Result<StoreChanges, StoreFailure>> RelayedChangeFeed::FetchOverHttp(
  Endpoint aRelay,
  StoreRevision aAfter)
{
  HttpRequest request;
  request.target = std::string(kChangesTargetPrefix) + std::to_string(aAfter);
  HttpDeadlines deadlines;
  deadlines.connect = kFetchTimeout;
  deadlines.head = kFetchTimeout;
  deadlines.body = kFetchTimeout;
  auto response = co_await this->client.Fetch(
    std::move(aRelay), std::move(request), deadlines, kMaxFetchedBytes);
  if (!response || response->status != 200) {
    co_return StoreFailure::NotSent;
  }
  const auto& body = response->body;
  const std::vector<std::uint8_t> bytes(body.begin(), body.end());
  const auto datagram = DecodeDatagram(bytes, kMaxFetchedBytes);
  if (!datagram || datagram->kind != DatagramKind::ChangeAnswer) {
    co_return StoreFailure::Malformed;
  }
  auto changeAnswer = DecodeChangeAnswer(datagram->fields);
  if (!changeAnswer || !changeAnswer->known) {
    co_return StoreFailure::NotSent;
  }
  this->metrics.Count("store_changes_relayed_total");
  co_return std::move(changeAnswer->changes);
}

Task<> RelayedChangeFeed::ServeChanges(HttpExchange& aExchange,
                                       const QueryHandler& aQueryHandler)
{
  const std::string& path = aExchange.Request().target;
  const std::string_view target(path);
  StoreRevision after = 0;
  const bool isChangesRequest = target.starts_with(kChangesTargetPrefix);
  const auto revisionText =
    isChangesRequest ? target.substr(kChangesTargetPrefix.size()) : std::string_view();
  const auto [end, error] = std::from_chars(
    revisionText.data(), revisionText.data() + revisionText.size(), after);
  HttpResponse response;
  if (revisionText.empty() || error != std::errc{} ||
      end != revisionText.data() + revisionText.size()) {
    response.status = 404;
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const auto bytes = EncodeWholeAnswer(aQueryHandler({ 0, after }));
  response.body.assign(bytes.begin(), bytes.end());
  co_await aExchange.Respond(std::move(response));
}

Task<Result<StoreChanges, StoreFailure>> RelayedChangeFeed::ReadFromStore(
  std::string aPrefix,
  StoreRevision aAfter,
  std::chrono::milliseconds aWait)
{
  auto changes = co_await this->store.ReadChanges(std::move(aPrefix), aAfter, aWait);
  if (!changes && changes.LastReason() != StoreFailure::HistoryLost) {
    this->storeRetryAt = BootClock::now() + kStoreBackoff;
  }
  co_return changes;
}

std::optional<Endpoint> RelayedChangeFeed::PickRelay(TimePoint aNow)
{
  if (this->peers.IsRelay()) {
    return std::nullopt;
  }
  const auto hasPassed = [aNow](const auto& aUntil) { return aNow >= aUntil.second; };
  std::erase_if(this->silentRelays, hasPassed);
  std::erase_if(this->outdatedRelays, hasPassed);
  std::vector<Endpoint> answering;
  std::ranges::copy_if(
    this->peers.Relays(), std::back_inserter(answering), [this](const Endpoint& aRelay) {
      return !this->silentRelays.contains(aRelay);
    });
  if (answering.empty()) {
    return std::nullopt;
  }
  // A relay with an outdated copy is still queried if there is no other: a query also
  // subscribes this VM to the relay's load aggregates.
  const auto upToDate = std::ranges::find_if(answering, [this](const Endpoint& aRelay) {
    return !this->outdatedRelays.contains(aRelay);
  });
  return upToDate == answering.end() ? answering.front() : *upToDate;
}

Task<Result<StoreChanges, RelayedChangeFeed::RelayFailure>> RelayedChangeFeed::QueryRelay(
  Endpoint aRelay,
  StoreRevision aAfter)
{
  this->answer.reset();
  this->queriedAfter = aAfter;
  this->sendDatagram(EncodeChangeQuery({ ++this->queryNumber, aAfter }), aRelay);
  this->timer.expires_after(kAnswerTimeout);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  if (!this->answer) {
    this->silentRelays[aRelay] = BootClock::now() + kRelayBackoff;
    co_return this->RecordRelayFailure(aRelay, RelayFailure::NoAnswer);
  }
  if (!this->answer->known) {
    co_return this->RecordRelayFailure(aRelay, RelayFailure::CannotAnswer);
  }
  if (this->answer->changes.age > kMaxAnswerAge) {
    // Only this relay may have lost the store, so query another one next.
    this->outdatedRelays[aRelay] = BootClock::now() + kRelayBackoff;
    co_return this->RecordRelayFailure(aRelay, RelayFailure::TooOld);
  }
  co_return std::move(this->answer->changes);
}

RelayedChangeFeed::RelayFailure RelayedChangeFeed::RecordRelayFailure(
  const Endpoint& aRelay,
  RelayFailure aFailure)
{
  // In the order of the enumerators of RelayFailure.
  constexpr std::array kNames = { "silent", "does_not_know", "too_old" };
  const char* reason = kNames.at(static_cast<std::size_t>(aFailure));
  this->metrics.Count(std::string("relay_failures_total{reason=\"") + reason + "\"}");
  const auto age = this->answer ? ToMilliseconds(this->answer->changes.age).count() : -1;
  this->log.Write(
    LogWeight::Notable,
    "relay_not_used",
    { { "relay", aRelay.Text() },
      { "reason", reason },
      { "age_ms", age },
      { "asked_after", RevisionText(this->queriedAfter) },
      { "relay_at", RevisionText(this->answer ? this->answer->changes.at : 0) } });
  return aFailure;
}

void RelayedChangeFeed::OnAnswer(ChangeAnswer aAnswer)
{
  if (aAnswer.number == this->queryNumber) {
    this->answer = std::move(aAnswer);
    this->timer.cancel();
  }
}

} // namespace toucanstand
