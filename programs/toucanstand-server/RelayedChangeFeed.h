#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/HttpClient.h"
#include "http/HttpExchange.h"
#include "logging/DecisionLog.h"
#include "metrics/MetricsRegistry.h"
#include "peers/PeerDirectory.h"
#include "store/ChangeRelay.h"

namespace toucanstand {

/// The store's changes, from a relay that can tell and from the store otherwise. A relay
/// itself reads the store.
class RelayedChangeFeed final : public ChangeFeed
{
public:
  /// A relay answers within a round trip; the rest is for one that is busy.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);
  /// Older answers are not used: a change has to be in force 2 s after it was made.
  static constexpr Duration kMaxAnswerAge = std::chrono::milliseconds(900);
  /// A relay that did not answer is not asked for this long, and one that was behind only
  /// if all are.
  static constexpr Duration kRelayBackoff = std::chrono::milliseconds(2500);
  /// Pause between calls to a store that does not answer, while relays live that will
  /// tell of its return.
  static constexpr Duration kStoreBackoff = std::chrono::milliseconds(1000);

  /// A configuration of a thousand routes takes 0.2 s on a link of 20 Mbit/s.
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(1000);
  static constexpr std::size_t kMaxFetchedBytes = 4U << 20U;
  static constexpr std::string_view kChangesTargetPrefix = "/changes?after=";

  using DatagramSender =
    std::function<void(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)>;

  /// All but the sender must outlive the feed.
  RelayedChangeFeed(boost::asio::io_context& aLoop,
                    ChangeFeed& aStore,
                    PeerDirectory& aPeers,
                    MetricsRegistry& aMetrics,
                    DecisionLog& aLog,
                    DatagramSender aSendDatagram);

  Task<Result<StorePage, StoreFailure>> ReadPage(std::string aPrefix,
                                                 std::string aAfterKey) override;

  /// One call at a time.
  Task<Result<StoreChanges, StoreFailure>> ReadChanges(
    std::string aPrefix,
    StoreRevision aAfter,
    std::chrono::milliseconds aWait) override;

  void OnAnswer(ChangeAnswer aAnswer);

  using QueryHandler = std::function<ChangeAnswer(const ChangeQuery&)>;

  /// Serves what FetchOverConnection() of another VM asks for.
  static Task<> ServeChanges(HttpExchange& aExchange, const QueryHandler& aQueryHandler);

private:
  enum class RelayFailure
  {
    NoAnswer,
    CannotAnswer,
    TooOld,
  };

  Task<Result<StoreChanges, RelayFailure>> AskRelay(Endpoint aRelay,
                                                    StoreRevision aAfter);
  /// Changes that do not fit into a datagram, from a relay over a connection: for a VM
  /// that the store turns away while it serves the relay.
  Task<Result<StoreChanges, StoreFailure>> FetchOverConnection(Endpoint aRelay,
                                                               StoreRevision aAfter);
  Task<Result<StoreChanges, StoreFailure>> AskStore(std::string aPrefix,
                                                    StoreRevision aAfter,
                                                    std::chrono::milliseconds aWait);
  [[nodiscard]] std::optional<Endpoint> PickRelay(TimePoint aNow);
  RelayFailure RecordRelayFailure(const Endpoint& aRelay, RelayFailure aFailure);

  ChangeFeed& store;
  PeerDirectory& peers;
  MetricsRegistry& metrics;
  DecisionLog& log;
  DatagramSender sendDatagram;
  HttpClient client;
  boost::asio::steady_timer timer;
  std::uint64_t queryNumber = 0;
  StoreRevision askedAfter = 0;
  std::optional<ChangeAnswer> answer;
  std::map<Endpoint, TimePoint> silentUntil;
  std::map<Endpoint, TimePoint> behindUntil;
  TimePoint storeRetryAt{};
};

} // namespace toucanstand
