#pragma once

#include <cstddef>
#include <memory>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include "http/Task.h"

namespace toucanstand {

/// Parses one response, whose body is read piece by piece.
using ResponseParser =
  boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Largest head of a response, in bytes.
constexpr std::size_t kMaxResponseHeadBytes = 16U << 10U;

/// @param aHasBody false if the response ends with its head, whatever the head says
[[nodiscard]] std::unique_ptr<ResponseParser> MakeResponseParser(bool aHasBody);

/// Reads the head of the next response, interim or final. Every head that a server sends
/// is read and checked here.
/// @param aBuffer bytes that were read and not yet parsed
/// @returns an error of HTTP if a client must not act on the head, or the connection's
Task<boost::beast::error_code> ReadResponseHead(boost::beast::tcp_stream& aStream,
                                                boost::beast::flat_buffer& aBuffer,
                                                ResponseParser& aParser);

/// True for a response that a final one follows (RFC 9110, 15.2).
[[nodiscard]] bool IsInterim(const ResponseParser& aParser);

/// True if no further bytes of the connection are HTTP (RFC 9110, 15.2.2).
[[nodiscard]] bool SwitchesProtocol(const boost::beast::http::response_header<>& aHead);

} // namespace toucanstand
