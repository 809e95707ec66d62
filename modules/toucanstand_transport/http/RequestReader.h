#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include "http/BodyPieces.h"
#include "http/HttpMessage.h"
#include "http/HttpServer.h"
#include "http/Task.h"
#include "memory/MemoryBudget.h"

namespace toucanstand {

/// Reads one request within a budget of memory, which it asks before it takes bytes. The
/// bytes of the request are held until the reader is destroyed.
class RequestReader
{
public:
  /// Why the memory for a request was refused.
  enum class MemoryRefusal
  {
    /// Others hold the memory.
    Short,
    /// The request exceeds the whole budget.
    TooLarge,
  };

  /// @param aClient address of the client, for the choice of who gives way
  RequestReader(boost::beast::tcp_stream& aStream,
                boost::beast::flat_buffer& aBuffer,
                const HttpServerLimits& aLimits,
                const MemoryBudget& aMemory,
                std::string aClient);

  /// Reads up to the end of the head.
  Task<boost::beast::error_code> ReadHead();
  /// Reads the rest.
  Task<boost::beast::error_code> ReadBody();

  [[nodiscard]] bool IsComplete() const { return this->parser->is_done(); }
  /// Set if the memory was refused; the error of the read means nothing then.
  [[nodiscard]] const std::optional<MemoryRefusal>& Refusal() const
  {
    return this->refusal;
  }
  /// What the request held most of when its memory was refused: "head" or "body".
  [[nodiscard]] const char* MainPart() const;

  /// Whether no end of the body is known. The parser takes it for empty then, and what
  /// follows for further requests.
  [[nodiscard]] bool HasUnknownFraming() const;
  [[nodiscard]] bool ExpectsContinue() const;
  [[nodiscard]] unsigned Version() const;
  [[nodiscard]] bool KeepsAlive() const;
  /// Returns the request without its body.
  [[nodiscard]] HttpRequest Head() const;
  /// Moves the complete request out.
  [[nodiscard]] HttpRequest Take();

private:
  using Parser = boost::beast::http::request_parser<PieceBody>;

  /// Parses what has arrived and reads on until the condition holds.
  Task<boost::beast::error_code> ReadUntil(bool (Parser::*aCondition)() const);
  /// Reserves room in the buffer and reads into it.
  Task<boost::beast::error_code> Receive();
  void CountArrived(std::size_t aBytes);
  /// Reserves what the request needs now. @param aBody memory of the body
  [[nodiscard]] bool Hold(std::size_t aBuffer, std::size_t aBody);
  void Refuse(MemoryRefusal aRefusal);
  void GiveWay();

  boost::beast::tcp_stream& stream;
  boost::beast::flat_buffer& buffer;
  MemoryBudget memory;
  std::optional<Parser> parser;
  std::optional<MemoryRefusal> refusal;
  std::size_t headBytes = 0;
  /// Fields, or lines that may become fields.
  std::size_t fields = 0;
  /// Lines of the buffer that may become trailers.
  std::size_t trailerLines = 0;
  /// Bytes that were reserved last, and those of the body among them.
  std::size_t held = 0;
  std::size_t bodyBytes = 0;
  bool isInBody = false;
  MemoryBudget::Holding holding;
};

/// Why a request that was read whole is malformed; null if it is not.
[[nodiscard]] const char* FindFault(const HttpRequest& aRequest, unsigned aHttpVersion);

} // namespace toucanstand
