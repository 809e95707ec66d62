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

/// Reads store changes from a relay, or from the store itself if no relay can answer. On
/// a relay, always reads the store.
class RelayedChangeFeed final : public ChangeFeed
{
public:
  /// A relay answers within one round trip; the rest is slack for a busy relay.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);
  /// Maximum age of a usable answer: a change must be in force 2 s after it was made.
  static constexpr Duration kMaxAnswerAge = std::chrono::milliseconds(900);
  /// A relay that did not answer is not queried for this long. After an answer that was
  /// too old, other relays are preferred for this long; the relay is still queried if
  /// the copies of all relays that answer are too old.
  static constexpr Duration kRelayBackoff = std::chrono::milliseconds(2500);
  /// Minimum time between calls to a failing store while relays answer. Their answers
  /// show when the store is available again.
  static constexpr Duration kStoreBackoff = std::chrono::milliseconds(1000);

  /// Timeout of a fetch over HTTP. A configuration of 1000 routes takes 0.2 s to transfer
  /// at 20 Mbit/s.
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(1000);
  static constexpr std::size_t kMaxFetchedBytes = 4U << 20U;
  static constexpr std::string_view kChangesTargetPrefix = "/changes?after=";

  using DatagramSender =
    std::function<void(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)>;

  /// @param aSendDatagram sends a query to a relay; all other arguments must outlive the
  /// feed
  RelayedChangeFeed(boost::asio::io_context& aLoop,
                    ChangeFeed& aStore,
                    PeerDirectory& aPeers,
                    MetricsRegistry& aMetrics,
                    DecisionLog& aLog,
                    DatagramSender aSendDatagram);

  Task<Result<StorePage, StoreFailure>> ReadPage(std::string aPrefix,
                                                 std::string aAfterKey) override;

  /// Only one call may be in progress.
  Task<Result<StoreChanges, StoreFailure>> ReadChanges(
    std::string aPrefix,
    StoreRevision aAfter,
    std::chrono::milliseconds aWait) override;

  /// Delivers a relay's answer; ignored unless it is for the query in progress.
  void OnAnswer(ChangeAnswer aAnswer);

  using QueryHandler = std::function<ChangeAnswer(const ChangeQuery&)>;

  /// Handles the HTTP requests that FetchOverHttp() of other VMs sends.
  static Task<> ServeChanges(HttpExchange& aExchange, const QueryHandler& aQueryHandler);

private:
  enum class RelayFailure
  {
    NoAnswer,
    /// The relay's log does not reach back to the revision, or its changes do not fit
    /// into a datagram.
    CannotAnswer,
    /// The relay's copy of the store is older than kMaxAnswerAge.
    TooOld,
  };

  Task<Result<StoreChanges, RelayFailure>> QueryRelay(Endpoint aRelay,
                                                      StoreRevision aAfter);
  /// Fetches changes that do not fit into a datagram from a relay over HTTP, for a VM
  /// that can't read the store while the relay can.
  Task<Result<StoreChanges, StoreFailure>> FetchOverHttp(Endpoint aRelay,
                                                         StoreRevision aAfter);
  Task<Result<StoreChanges, StoreFailure>> ReadFromStore(std::string aPrefix,
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
  StoreRevision queriedAfter = 0;
  std::optional<ChangeAnswer> answer;
  /// Relays that did not answer, with the time until which they are not queried.
  std::map<Endpoint, TimePoint> silentRelays;
  /// Relays whose copy was too old, with the time until which others are preferred.
  std::map<Endpoint, TimePoint> outdatedRelays;
  TimePoint storeRetryAt{};
};

} // namespace toucanstand
