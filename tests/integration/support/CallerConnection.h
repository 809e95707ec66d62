#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "http/HttpMessage.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// How a connection ended for the caller.
enum class ConnectionEnd
{
  StillOpen,
  /// End of file.
  Closed,
  Reset,
  Refused,
};

/// An answer as a caller's connection received it.
struct ReceivedAnswer
{
  /// 0 when no complete head arrived.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// True when the framing of the answer says that it has ended.
  bool isComplete = false;
  /// How the connection ended while the answer was read.
  ConnectionEnd end = ConnectionEnd::StillOpen;

  /// True when the head announces that the connection will be closed.
  [[nodiscard]] bool ClosesConnection() const;
};

/// A caller's TCP connection on which a test decides when each byte is sent and read.
/// Calls block the calling thread.
class CallerConnection
{
public:
  /// How a request is sent.
  struct Pace
  {
    /// Bytes of each piece; 0 sends all at once.
    std::size_t pieceBytes = 0;
    std::chrono::milliseconds pause{ 0 };
  };

  /// Connects. @param aReceiveBuffer size of the receive buffer; the system's if empty
  explicit CallerConnection(const Endpoint& aServer,
                            std::optional<int> aReceiveBuffer = std::nullopt);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  [[nodiscard]] bool IsConnected() const { return this->descriptor >= 0; }

  /// @returns false when the connection broke before all bytes were sent
  bool Send(std::string_view aBytes);
  bool Send(std::string_view aBytes, Pace aPace);

  /// Ends the caller's own bytes; answers still arrive.
  void EndSending();

  /// Waits for bytes or the end of the connection without reading them.
  [[nodiscard]] bool WaitForInput(std::chrono::milliseconds aTimeout) const;

  /// Reads the next answer until its end, the end of the connection or the timeout.
  /// @param aPause waited before each read, as a caller that reads slowly does
  [[nodiscard]] ReceivedAnswer ReadAnswer(
    std::chrono::milliseconds aTimeout,
    std::chrono::milliseconds aPause = std::chrono::milliseconds(0));

  /// Waits until the server closes the connection. Discards bytes that arrive.
  [[nodiscard]] ConnectionEnd WaitForEnd(std::chrono::milliseconds aTimeout);

private:
  /// @returns false at the end of the connection, and at the timeout
  bool ReceiveMore(std::chrono::steady_clock::time_point aDeadline, ConnectionEnd& aEnd);

  int descriptor = -1;
  /// Received bytes that belong to no answer yet.
  std::string received;
};

/// Text of a request with its body framed by a length.
[[nodiscard]] std::string RequestText(const std::string& aMethod,
                                      const std::string& aTarget,
                                      const HttpHeaders& aHeaders,
                                      const std::string& aBody);

/// Head of a request whose body follows in chunks.
[[nodiscard]] std::string ChunkedRequestHead(const std::string& aMethod,
                                             const std::string& aTarget,
                                             const HttpHeaders& aHeaders);

/// One chunk; the last chunk if empty.
[[nodiscard]] std::string ChunkText(const std::string& aBytes);

} // namespace toucanstand
