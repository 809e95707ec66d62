#pragma once

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "errors/Result.h"
#include "http/HttpClient.h"
#include "http/Task.h"

namespace toucanstand {

/// Runs a coroutine and the loop until it ends, for 20 s at most.
void RunUntilDone(boost::asio::io_context& aLoop, Task<> aTask);

/// Bytes that a server writes in answer to one request.
struct RawAnswer
{
  /// Each piece is written on its own, RawServer::kPieceInterval after the one before.
  std::vector<std::string> pieces;
  /// How the connection ends after the last piece.
  enum class End
  {
    /// The server ends its side and reads on.
    InOrder,
    Reset,
  };
  End end = End::InOrder;
};

/// A server that answers the first bytes of a request on one connection, and reads no
/// more of it before the answer has ended.
class RawServer
{
public:
  static constexpr auto kPieceInterval = std::chrono::milliseconds(20);

  RawServer(boost::asio::io_context& aLoop, RawAnswer aAnswer);

  [[nodiscard]] Endpoint Address() const;

private:
  Task<> Serve();

  boost::asio::ip::tcp::acceptor acceptor;
  RawAnswer answer;
};

/// Sends a request to a RawServer. @returns what the client makes of the answer
Result<HttpResponse, HttpFailure> FetchRaw(
  RawAnswer aAnswer,
  UnframedBody aUnframed = UnframedBody::EndsWithConnection,
  HttpRequest aRequest = {});

} // namespace toucanstand
