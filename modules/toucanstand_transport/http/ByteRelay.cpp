#include "http/ByteRelay.h"

#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/SocketOptions.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kCopyBytes = 8192;

/// Copies until the source ends or a connection fails. @returns the reason
Task<boost::system::error_code> Copy(tcp::socket& aFrom, tcp::socket& aTo)
{
  std::vector<char> bytes(kCopyBytes);
  while (true) {
    auto [readError, count] = co_await aFrom.async_read_some(asio::buffer(bytes), kAwait);
    if (readError) {
      co_return readError;
    }
    auto [writeError, written] =
      co_await asio::async_write(aTo, asio::buffer(bytes.data(), count), kAwait);
    if (writeError) {
      co_return writeError;
    }
  }
}

void Close(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.close(ignored);
}

Task<> CopyToCaller(tcp::socket& aServer, tcp::socket& aCaller)
{
  const auto end = co_await Copy(aServer, aCaller);
  // A write to the server that has taken the error of a reset leaves an orderly end to
  // the read. Its handler, which closes both connections, is queued by now.
  co_await asio::post(kAwait);
  boost::system::error_code ignored;
  if (end == asio::error::eof) {
    aCaller.shutdown(tcp::socket::shutdown_send, ignored);
    // The kernel delivers what is left even if the process ends now.
    SetResetOnClose(aCaller, false);
    co_return;
  }
  Close(aCaller);
}

Task<> CopyToServer(tcp::socket& aCaller, tcp::socket& aServer)
{
  co_await Copy(aCaller, aServer);
  Close(aServer);
  Close(aCaller);
}

} // namespace

Task<> RelayBytes(tcp::socket& aCaller, tcp::socket& aServer)
{
  using namespace asio::experimental::awaitable_operators;
  // An answer without length or chunks ends with its connection. Only the server's own
  // orderly end may look like one; the kernel closes the connections of a process that
  // ends.
  SetResetOnClose(aCaller, true);
  co_await (CopyToCaller(aServer, aCaller) && CopyToServer(aCaller, aServer));
}

} // namespace toucanstand
