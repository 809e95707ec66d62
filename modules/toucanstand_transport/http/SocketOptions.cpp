#include "http/SocketOptions.h"

#include <cerrno>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace toucanstand {

namespace {

constexpr int kKeepaliveIdleSeconds = 5;
constexpr int kKeepaliveIntervalSeconds = 2;
constexpr int kKeepaliveProbes = 3;

void SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  // A kernel without the option still works; the progress deadlines cover it.
  (void)::setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void SetLivenessOptions(boost::asio::ip::tcp::socket& aSocket, Duration aUserTimeout)
{
  const int descriptor = aSocket.native_handle();
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  SetOption(descriptor,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(aUserTimeout).count()));
}

bool PeerHasClosed(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  const auto received =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) {
    return true;
  }
  return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

void SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aReset)
{
  // Not by Asio's option: Asio undoes that one when a socket is destroyed.
  const linger option{ aReset ? 1 : 0, 0 };
  (void)::setsockopt(
    aSocket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool HasUnreadBytes(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  const int result = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes);
  return result == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace toucanstand
