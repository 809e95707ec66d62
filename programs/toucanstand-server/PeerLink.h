#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ServingState.h"
#include "peers/PeerReport.h"
#include "store/ChangeFeed.h"

namespace toucanstand {

/// Exchanges load, suspicions and demand with the other entry VMs by datagrams. A lost
/// datagram is replaced by the next one.
class PeerLink
{
public:
  /// A request stays on a group for about a second; peers must see it early in that time.
  static constexpr Duration kInterval = std::chrono::milliseconds(100);
  /// Without any request in progress.
  static constexpr Duration kIdleInterval = std::chrono::milliseconds(1000);

  PeerLink(ServingState& aState, std::uint64_t aRun);

  /// @returns false when the endpoint can't be used.
  bool Listen(const Endpoint& aEndpoint);

  /// Runs until the process ends.
  Task<> Send();
  Task<> Receive();

  /// A key of the system changed.
  void OnOwnKey(const StoreChange& aChange);

  /// Called for each group that a peer or this process found silent.
  std::function<void(const GroupId&)> onSuspicion;

  /// Work that the callers of all entry VMs ask for, by model.
  [[nodiscard]] std::map<std::string, double> WorkOfAll(TimePoint aNow) const;
  [[nodiscard]] std::size_t PeerCount() const { return this->peers.size(); }

private:
  struct PeerNews
  {
    std::uint64_t run = 0;
    std::uint64_t sequence = 0;
    TimePoint receivedAt{};
    std::map<std::string, double> work;
  };

  [[nodiscard]] PeerReport MakeReport(TimePoint aNow);
  void Take(const PeerReport& aReport, TimePoint aNow);

  ServingState& state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  std::uint64_t run;
  std::uint64_t sequence = 0;
  /// Datagram endpoints by presence key.
  std::map<std::string, boost::asio::ip::udp::endpoint> peers;
  std::map<VmId, PeerNews> news;
  std::array<std::uint8_t, 65536> buffer{};
};

} // namespace toucanstand
