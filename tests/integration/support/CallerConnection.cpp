#include "support/CallerConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

#include <arpa/inet.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "text/AsciiCase.h"
#include "text/Hexadecimal.h"

namespace toucanstand {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBytes = 16384;

std::string HeadText(const std::string& aMethod,
                     const std::string& aTarget,
                     const HttpHeaders& aHeaders)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders.Fields()) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text;
}

} // namespace

bool ReceivedAnswer::ClosesConnection() const
{
  return EqualIgnoringCase(this->headers.Find("Connection"), "close");
}

CallerConnection::CallerConnection(const Endpoint& aServer,
                                   std::optional<int> aReceiveBuffer)
  : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  if (aReceiveBuffer) {
    ::setsockopt(
      this->descriptor, SOL_SOCKET, SO_RCVBUF, &*aReceiveBuffer, sizeof(*aReceiveBuffer));
  }
  const int enabled = 1;
  ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aServer.port);
  ::inet_pton(AF_INET, aServer.address.c_str(), &address.sin_addr);
  const int result = ::connect(
    this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

CallerConnection::~CallerConnection()
{
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
  }
}

bool CallerConnection::Send(std::string_view aBytes)
{
  while (this->IsConnected() && !aBytes.empty()) {
    const auto sent =
      ::send(this->descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return this->IsConnected();
}

bool CallerConnection::Send(std::string_view aBytes, Pace aPace)
{
  while (!aBytes.empty()) {
    const auto piece =
      aPace.pieceBytes == 0 ? aBytes : aBytes.substr(0, aPace.pieceBytes);
    if (!this->Send(piece)) {
      return false;
    }
    aBytes.remove_prefix(piece.size());
    if (!aBytes.empty()) {
      std::this_thread::sleep_for(aPace.pause);
    }
  }
  return true;
}

void CallerConnection::EndSending()
{
  ::shutdown(this->descriptor, SHUT_WR);
}

bool CallerConnection::WaitForInput(std::chrono::milliseconds aTimeout) const
{
  pollfd ready{ this->descriptor, POLLIN, 0 };
  return !this->received.empty() ||
         ::poll(&ready, 1, static_cast<int>(aTimeout.count())) > 0;
}

bool CallerConnection::ReceiveMore(steady_clock::time_point aDeadline,
                                   ConnectionEnd& aEnd)
{
  if (!this->IsConnected()) {
    aEnd = ConnectionEnd::Refused;
    return false;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
    std::max(aDeadline - steady_clock::now(), steady_clock::duration::zero()));
  pollfd ready{ this->descriptor, POLLIN, 0 };
  if (::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  std::array<char, kReadBytes> bytes{};
  const auto count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
  if (count > 0) {
    this->received.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }
  aEnd = count == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset;
  return false;
}

ReceivedAnswer CallerConnection::ReadAnswer(std::chrono::milliseconds aTimeout,
                                            std::chrono::milliseconds aPause)
{
  const auto deadline = steady_clock::now() + aTimeout;
  ReceivedAnswer answer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  boost::system::error_code error;
  while (true) {
    while (!this->received.empty() && !parser.is_done()) {
      const auto used = parser.put(boost::asio::buffer(this->received), error);
      this->received.erase(0, used);
      if (error || used == 0) {
        break;
      }
    }
    const bool isBroken = error && error != http::error::need_more;
    if (parser.is_done() || isBroken) {
      break;
    }
    std::this_thread::sleep_for(aPause);
    if (!this->ReceiveMore(deadline, answer.end)) {
      break;
    }
  }
  if (answer.end == ConnectionEnd::Closed && parser.got_some()) {
    parser.put_eof(error);
  }
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get()) {
      answer.headers.Add(std::string(field.name_string()), std::string(field.value()));
    }
  }
  answer.isComplete = parser.is_done();
  answer.body = std::move(parser.get().body());
  return answer;
}

ConnectionEnd CallerConnection::WaitForEnd(std::chrono::milliseconds aTimeout)
{
  const auto deadline = steady_clock::now() + aTimeout;
  ConnectionEnd end = ConnectionEnd::StillOpen;
  while (this->ReceiveMore(deadline, end)) {
    this->received.clear();
  }
  return end;
}

std::string RequestText(const std::string& aMethod,
                        const std::string& aTarget,
                        const HttpHeaders& aHeaders,
                        const std::string& aBody)
{
  return HeadText(aMethod, aTarget, aHeaders) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string ChunkedRequestHead(const std::string& aMethod,
                               const std::string& aTarget,
                               const HttpHeaders& aHeaders)
{
  return HeadText(aMethod, aTarget, aHeaders) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string ChunkText(const std::string& aBytes)
{
  return FormatHexadecimal(aBytes.size()) + "\r\n" + aBytes + "\r\n";
}

} // namespace toucanstand
