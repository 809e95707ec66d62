#include "http/ResponseHead.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "text/AsciiCase.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// RFC 9110, 15: other numbers are invalid, and say nothing of what the server did.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

/// True if a line of a head begins with a blank. The parser would take it for a part of
/// the field before it; a gateway may reject it (RFC 9112, 5.2).
/// @param aUnparsed from the beginning of a line of a head
bool HasFoldedLine(std::string_view aUnparsed)
{
  // An empty line ends the head.
  if (aUnparsed.starts_with("\r\n")) {
    return false;
  }
  const auto head = aUnparsed.substr(0, aUnparsed.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// Parses the bytes of a head. @returns need_more if they don't end it
beast::error_code ParseHead(beast::flat_buffer& aBuffer, ResponseParser& aParser)
{
  const auto bytes = aBuffer.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  if (text.empty()) {
    return http::error::need_more;
  }
  // The parser takes a field only together with the first byte after its line.
  if (HasFoldedLine(text)) {
    return http::error::bad_field;
  }
  beast::error_code error;
  aBuffer.consume(aParser.put(bytes, error));
  return error;
}

/// True if a body is coded in another way than in chunks alone, which no request allows.
/// The caller would get the coded bytes without the name of their coding, or none: the
/// parser takes some of these bodies for chunks, and others for empty.
bool HasUnknownCoding(const ResponseParser& aParser)
{
  const auto [first, last] = aParser.get().equal_range(http::field::transfer_encoding);
  if (first == last) {
    return false;
  }
  const bool namesChunksOnly = std::all_of(first, last, [](const auto& aField) {
    const http::opt_token_list codings(aField.value());
    return http::validate_list(codings) &&
           std::all_of(codings.begin(), codings.end(), [](std::string_view aCoding) {
             return EqualIgnoringCase(aCoding, "chunked");
           });
  });
  return !namesChunksOnly || !aParser.chunked();
}

/// Why a client must not act on a head that the parser accepts; no error if it may.
beast::error_code CheckHead(const ResponseParser& aParser)
{
  const auto status = aParser.get().result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return http::error::bad_status;
  }
  if (HasUnknownCoding(aParser)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

} // namespace

std::unique_ptr<ResponseParser> MakeResponseParser(bool aHasBody)
{
  auto parser = std::make_unique<ResponseParser>();
  parser->skip(!aHasBody);
  parser->header_limit(kMaxResponseHeadBytes);
  parser->body_limit(boost::none);
  return parser;
}

Task<beast::error_code> ReadResponseHead(beast::tcp_stream& aStream,
                                         beast::flat_buffer& aBuffer,
                                         ResponseParser& aParser)
{
  beast::error_code error = ParseHead(aBuffer, aParser);
  while (error == http::error::need_more) {
    const auto room = aBuffer.prepare(beast::read_size(aBuffer, aBuffer.max_size()));
    if (room.size() == 0) {
      co_return http::error::buffer_overflow;
    }
    auto [readError, received] = co_await aStream.async_read_some(room, kAwait);
    if (readError) {
      co_return readError;
    }
    aBuffer.commit(received);
    error = ParseHead(aBuffer, aParser);
  }
  co_return error ? error : CheckHead(aParser);
}

bool IsInterim(const ResponseParser& aParser)
{
  const auto& head = aParser.get();
  return http::to_status_class(head.result_int()) == http::status_class::informational &&
         !SwitchesProtocol(head);
}

bool SwitchesProtocol(const http::response_header<>& aHead)
{
  return aHead.result() == http::status::switching_protocols;
}

} // namespace toucanstand
