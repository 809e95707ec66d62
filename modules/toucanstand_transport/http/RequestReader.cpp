#include "http/RequestReader.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

#include "http/RequestTarget.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// The least that is read at once.
constexpr std::size_t kMinRead = 512;
/// The size line of a chunk, without extensions, is shorter.
constexpr std::size_t kMaxSizeLine = 64;
/// A field beside its bytes: an element of the parser and of two vectors, which grow by
/// doubling, of pairs of strings.
constexpr std::size_t kFieldBytes = 320;
/// The bytes of a head are kept by the parser, the request and its forwarded copy.
constexpr std::size_t kHeadCopies = 3;

std::size_t CountLines(const beast::flat_buffer& aBuffer, std::size_t aFrom)
{
  const auto data = aBuffer.cdata();
  const std::string_view bytes(static_cast<const char*>(data.data()), data.size());
  return static_cast<std::size_t>(std::ranges::count(bytes.substr(aFrom), '\n'));
}

std::size_t CountFields(const http::fields& aFields)
{
  return static_cast<std::size_t>(std::distance(aFields.begin(), aFields.end()));
}

} // namespace

RequestReader::RequestReader(beast::tcp_stream& aStream,
                             beast::flat_buffer& aBuffer,
                             const HttpServerLimits& aLimits,
                             const MemoryBudget& aMemory,
                             std::string aClient)
  : stream(aStream)
  , buffer(aBuffer)
  , memory(aMemory)
  , parser(std::in_place)
  , holding(
      aMemory,
      [this] { this->GiveWay(); },
      std::move(aClient))
{
  this->parser->header_limit(static_cast<std::uint32_t>(aLimits.headerBytes));
  this->parser->body_limit(aLimits.bodyBytes);
  this->holding.NoteProgress(BootClock::now());
  this->parser->get().body().SetReservation(
    [this](std::size_t aBytes) { return this->Hold(this->buffer.capacity(), aBytes); });
}

Task<beast::error_code> RequestReader::ReadHead()
{
  this->parser->eager(false);
  this->CountArrived(this->buffer.size());
  const auto error = co_await this->ReadUntil(&Parser::is_header_done);
  if (!error) {
    // What was counted includes the begin of the body.
    this->headBytes -= std::min(this->headBytes, this->buffer.size());
    this->fields = CountFields(this->parser->get());
    this->isInBody = true;
  }
  co_return error;
}

Task<beast::error_code> RequestReader::ReadBody()
{
  if (this->refusal) {
    co_return asio::error::operation_aborted;
  }
  this->parser->eager(true);
  if (!this->parser->is_done()) {
    const auto error = co_await this->ReadUntil(&Parser::is_done);
    if (error) {
      co_return error;
    }
  }
  this->trailerLines = 0;
  this->fields = CountFields(this->parser->get());
  // The pieces beside the whole, then the whole beside the copy that is forwarded.
  const auto& body = this->parser->get().body();
  if (!this->Hold(this->buffer.capacity(),
                  body.Size() + std::max(body.Size(), body.Capacity()))) {
    co_return asio::error::operation_aborted;
  }
  this->holding.Protect();
  co_return beast::error_code{};
}

Task<beast::error_code> RequestReader::ReadUntil(bool (Parser::*aCondition)() const)
{
  beast::error_code error;
  while (true) {
    if (this->buffer.size() > 0) {
      if (!this->Hold(this->buffer.capacity(), this->parser->get().body().Capacity())) {
        co_return asio::error::operation_aborted;
      }
      const auto used = this->parser->put(this->buffer.cdata(), error);
      this->buffer.consume(used);
      if (error && error != http::error::need_more) {
        co_return error;
      }
      if (((*this->parser).*aCondition)()) {
        co_return beast::error_code{};
      }
      if (!error) {
        continue;
      }
    }
    error = co_await this->Receive();
    if (error) {
      co_return error;
    }
    if (((*this->parser).*aCondition)()) {
      co_return beast::error_code{};
    }
  }
}

Task<beast::error_code> RequestReader::Receive()
{
  const auto size = this->buffer.size();
  const auto room = this->buffer.max_size() - size;
  if (room == 0) {
    co_return http::error::buffer_overflow;
  }
  const auto count = std::min(room, std::max(kMinRead, this->buffer.capacity() - size));
  // As flat_buffer grows.
  const auto capacity =
    count <= this->buffer.capacity() - size
      ? this->buffer.capacity()
      : std::min(this->buffer.max_size(), std::max(2 * size, size + count));
  if (!this->Hold(capacity, this->parser->get().body().Capacity())) {
    co_return asio::error::operation_aborted;
  }
  auto [error, bytes] =
    co_await this->stream.async_read_some(this->buffer.prepare(count), kAwait);
  if (this->refusal) {
    co_return asio::error::operation_aborted;
  }
  if (error == asio::error::eof) {
    error = {};
    if (this->parser->got_some()) {
      this->parser->put_eof(error);
    } else {
      error = http::error::end_of_stream;
    }
    co_return error;
  }
  if (error) {
    co_return error;
  }
  this->holding.NoteProgress(BootClock::now());
  const bool isWithinLine = this->buffer.size() > kMaxSizeLine;
  this->buffer.commit(bytes);
  this->CountArrived(bytes);
  if (this->isInBody) {
    this->trailerLines = isWithinLine ? CountLines(this->buffer, 0) : 0;
  }
  co_return beast::error_code{};
}

void RequestReader::CountArrived(std::size_t aBytes)
{
  if (!this->isInBody) {
    this->headBytes += aBytes;
    this->fields += CountLines(this->buffer, this->buffer.size() - aBytes);
  }
}

bool RequestReader::Hold(std::size_t aBuffer, std::size_t aBody)
{
  if (this->refusal) {
    return false;
  }
  this->bodyBytes = aBody;
  const auto needed = aBuffer + kHeadCopies * this->headBytes +
                      kFieldBytes * (this->fields + this->trailerLines) + aBody;
  if (needed == this->held) {
    return true;
  }
  if (!this->holding.Resize(needed)) {
    this->Refuse(this->memory.FitsAlone(needed) ? MemoryRefusal::Short
                                                : MemoryRefusal::TooLarge);
    return false;
  }
  this->held = needed;
  return true;
}

void RequestReader::Refuse(MemoryRefusal aRefusal)
{
  this->refusal = aRefusal;
}

void RequestReader::GiveWay()
{
  // Nothing is being parsed: the reader waits for bytes or for a write.
  this->Refuse(MemoryRefusal::Short);
  this->parser.reset();
  this->holding.Release();
  this->stream.cancel();
}

const char* RequestReader::MainPart() const
{
  return 2 * this->bodyBytes > this->held ? "body" : "head";
}

bool RequestReader::HasUnknownFraming() const
{
  return this->parser->get().count(http::field::transfer_encoding) > 0 &&
         !this->parser->chunked();
}

bool RequestReader::ExpectsContinue() const
{
  return beast::iequals(this->parser->get()[http::field::expect], "100-continue");
}

unsigned RequestReader::Version() const
{
  return this->parser->get().version();
}

bool RequestReader::KeepsAlive() const
{
  return this->parser->get().keep_alive();
}

HttpRequest RequestReader::Head() const
{
  const auto& message = this->parser->get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  return request;
}

HttpRequest RequestReader::Take()
{
  auto request = this->Head();
  request.body = this->parser->get().body().Join();
  this->parser.reset();
  return request;
}

const char* FindFault(const HttpRequest& aRequest, unsigned aHttpVersion)
{
  constexpr unsigned kHttp11 = 11;
  const auto hosts =
    std::ranges::count_if(aRequest.headers.Fields(), [](const auto& aField) {
      return beast::iequals(aField.first, "Host");
    });
  // RFC 9112, section 3.2: a request without exactly one Host field is rejected.
  if (aHttpVersion >= kHttp11 && hosts != 1) {
    return "exactly one Host field is needed";
  }
  if (!IsOriginForm(aRequest.target) || HasDotSegments(aRequest.target)) {
    return "the target must be a path without dot segments";
  }
  return nullptr;
}

} // namespace toucanstand
