#include "support/AnswerInjector.h"

#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/ByteRelay.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kSmallBufferBytes = 4096;

/// Value of a field in the text of a request head; empty if there is none.
std::string FieldOf(const std::string& aHead, const std::string& aName)
{
  const auto start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const auto from = start + aName.size() + 4;
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

std::string Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  for (auto found = aText.find(aFrom); found != std::string::npos;
       found = aText.find(aFrom, found + aTo.size())) {
    aText.replace(found, aFrom.size(), aTo);
  }
  return aText;
}

} // namespace

AnswerInjector::AnswerInjector(asio::io_context& aLoop,
                               std::string aServerId,
                               Endpoint aServer,
                               InjectedAnswers& aAnswers)
  : loop(aLoop)
  , serverId(std::move(aServerId))
  , server(std::move(aServer))
  , answers(aAnswers)
  , acceptor(aLoop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
  asio::co_spawn(this->loop, this->Accept(), asio::detached);
}

Endpoint AnswerInjector::Address() const
{
  return { "127.0.0.1", this->acceptor.local_endpoint().port() };
}

Task<> AnswerInjector::Accept()
{
  while (true) {
    auto [error, caller] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    asio::co_spawn(this->loop, this->Serve(std::move(caller)), asio::detached);
  }
}

Task<> AnswerInjector::Serve(tcp::socket aCaller)
{
  std::string received;
  auto [readError, headBytes] = co_await asio::async_read_until(
    aCaller, asio::dynamic_buffer(received), "\r\n\r\n", kAwait);
  if (readError) {
    co_return;
  }
  const auto head = received.substr(0, headBytes);
  const auto target = head.substr(head.find(' ') + 1);
  const bool isRequest = !target.starts_with("/order") && !target.starts_with("/report");
  auto answer = isRequest ? this->TakeAnswer() : std::nullopt;
  if (answer) {
    const auto length = FieldOf(head, "Content-Length");
    const auto bodyEnd = headBytes + (length.empty() ? 0 : std::stoul(length));
    if (answer->isEarly) {
      // The kernel enlarges the buffer of a socket that does not set it, until it holds a
      // whole upload.
      aCaller.set_option(asio::socket_base::receive_buffer_size(kSmallBufferBytes));
    } else if (received.size() < bodyEnd) {
      std::string rest(bodyEnd - received.size(), '\0');
      co_await asio::async_read(aCaller, asio::buffer(rest), kAwait);
    }
    this->answers.attemptIds.push_back(FieldOf(head, "X-Attempt-Id"));
    co_await this->WriteAnswer(aCaller, std::move(*answer), head);
    co_return;
  }
  tcp::socket backend(this->loop);
  const tcp::endpoint endpoint(asio::ip::make_address(this->server.address),
                               this->server.port);
  auto [connectError] = co_await backend.async_connect(endpoint, kAwait);
  if (connectError) {
    co_return;
  }
  co_await asio::async_write(backend, asio::buffer(received), kAwait);
  co_await RelayBytes(aCaller, backend);
}

std::optional<InjectedAnswer> AnswerInjector::TakeAnswer()
{
  const auto standing = this->answers.standing.find(this->serverId);
  if (standing != this->answers.standing.end()) {
    return standing->second;
  }
  if (this->answers.due.empty()) {
    return std::nullopt;
  }
  auto answer = std::move(this->answers.due.front());
  this->answers.due.pop_front();
  return answer;
}

Task<> AnswerInjector::WriteAnswer(tcp::socket& aCaller,
                                   InjectedAnswer aAnswer,
                                   std::string aHead)
{
  asio::steady_timer timer(this->loop);
  for (const auto& piece : aAnswer.pieces) {
    auto bytes = Replace(piece, "{ID}", FieldOf(aHead, "X-Attempt-Id"));
    bytes = Replace(bytes, "{LAST}", FieldOf(aHead, "Last-Event-Id"));
    auto [error, count] =
      co_await asio::async_write(aCaller, asio::buffer(bytes), kAwait);
    if (error) {
      co_return;
    }
    timer.expires_after(kPieceInterval);
    co_await timer.async_wait(kAwait);
  }
  while (aAnswer.end == InjectedAnswer::End::Repeat) {
    auto [error, count] =
      co_await asio::async_write(aCaller, asio::buffer(aAnswer.pieces.back()), kAwait);
    if (error) {
      co_return;
    }
    timer.expires_after(kRepeatInterval);
    co_await timer.async_wait(kAwait);
  }
  if (aAnswer.end == InjectedAnswer::End::StayOpen) {
    std::array<char, 1> byte{};
    co_await aCaller.async_read_some(asio::buffer(byte), kAwait);
  }
  if (aAnswer.end == InjectedAnswer::End::Reset) {
    boost::system::error_code ignored;
    aCaller.set_option(asio::socket_base::linger(true, 0), ignored);
  }
}

} // namespace toucanstand
