#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "time/BootClock.h"

namespace toucanstand {

/// Faults of one mapping, read by all its connections.
struct ProxyFaults
{
  /// Bytes in this direction are held back, as on a network that loses its packets:
  /// the connections stay open, and the bytes arrive when the fault ends.
  bool cutToTarget = false;
  bool cutToClient = false;
  /// New connections are refused and open ones reset.
  bool refuse = false;
  /// Added to each direction.
  Duration delay{ 0 };
};

/// One client connection and its connection to the target.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  ProxyConnection(Socket aClient, std::shared_ptr<const ProxyFaults> aFaults);

  /// Connects to the target and forwards until both directions have ended.
  boost::asio::awaitable<void> Run(boost::asio::ip::tcp::endpoint aTarget);

  /// Holds back all bytes of this connection for good.
  void Blackhole();

  /// Closes both connections with a reset.
  void Reset();

  /// To be called after a change of the faults.
  void FaultsChanged();

  [[nodiscard]] bool IsOpen() const { return this->client.is_open(); }
  [[nodiscard]] bool IsBlackholed() const { return this->blackholed; }

private:
  struct Chunk
  {
    boost::asio::steady_timer::time_point due{};
    /// Empty at the end of the stream.
    std::vector<char> bytes;
  };
  struct Direction
  {
    Socket* from = nullptr;
    Socket* to = nullptr;
    bool ProxyFaults::*cut = nullptr;
    std::deque<Chunk> chunks;
    std::size_t queuedBytes = 0;
  };

  boost::asio::awaitable<void> Read(Direction& aDirection);
  boost::asio::awaitable<void> Write(Direction& aDirection);
  boost::asio::awaitable<void> WaitForChange();
  [[nodiscard]] bool IsHeld(const Direction& aDirection) const;
  void Close();

  Socket client;
  Socket target;
  std::shared_ptr<const ProxyFaults> faults;
  /// Never expires. It is cancelled to wake all waiters, which check their conditions
  /// again.
  boost::asio::steady_timer change;
  std::array<Direction, 2> directions;
  bool blackholed = false;
};

} // namespace toucanstand
