#include "http/SocketOptions.h"

#include <cerrno>
#include <limits>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

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

int SendBufferOf(int aDescriptor)
{
  int bytes = 0;
  socklen_t size = sizeof(bytes);
  const int result = ::getsockopt(aDescriptor, SOL_SOCKET, SO_SNDBUF, &bytes, &size);
  return result == 0 ? bytes : 0;
}

/// The kernel lowers a size that is too large.
constexpr int kLargestSize = std::numeric_limits<int>::max() / 2;

/// Largest send buffer that a program may ask for, as the kernel counts it.
int LargestSendBuffer()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return 0;
  }
  SetOption(descriptor, SOL_SOCKET, SO_SNDBUF, kLargestSize);
  const int bytes = SendBufferOf(descriptor);
  ::close(descriptor);
  return bytes;
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

void EnlargeSendBuffer(boost::asio::ip::tcp::socket& aSocket)
{
  // A buffer that the kernel has enlarged itself may be larger than a program may ask
  // for.
  const int descriptor = aSocket.native_handle();
  if (SendBufferOf(descriptor) < LargestSendBuffer()) {
    SetOption(descriptor, SOL_SOCKET, SO_SNDBUF, kLargestSize);
  }
}

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  const int result = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes);
  return result == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace toucanstand
