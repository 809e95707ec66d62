#include "http/ResponseHead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// RFC 9110, 15: other numbers are invalid, and say nothing of what the server did.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

/// True for a transfer coding that says nothing of where the body ends. Without one, the
/// end of the connection might; but the parser takes some of these bodies for empty.
bool HasUnknownCoding(const ResponseParser& aParser)
{
  return aParser.get().count(http::field::transfer_encoding) > 0 && !aParser.chunked();
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
  auto [error, received] =
    co_await http::async_read_header(aStream, aBuffer, aParser, kAwait);
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
