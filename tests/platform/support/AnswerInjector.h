#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/Task.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// Bytes that a faulty backend server writes in answer to one request.
struct InjectedAnswer
{
  /// Each piece is written on its own, kPieceInterval after the one before. `{ID}` stands
  /// for the attempt id of the request, `{LAST}` for its last event id.
  std::vector<std::string> pieces;
  /// How the connection ends after the last piece.
  enum class End
  {
    Close,
    Reset,
    /// The connection stays open until the other side closes it.
    StayOpen,
    /// The last piece is written again and again until the other side closes.
    Repeat,
  };
  End end = End::Close;
  /// The answer ends before more than the head of the request has been read.
  bool isEarly = false;
};

/// Answers that the injectors of a platform share.
struct InjectedAnswers
{
  /// Answer to every request at these servers, by server; comes before `due`.
  std::map<std::string, InjectedAnswer> standing;

  /// Answers to the next requests, at whichever server they arrive.
  std::deque<InjectedAnswer> due;
  /// Attempt ids of the answered requests, oldest first.
  std::vector<std::string> attemptIds;
};

/// Stands in front of a backend server and writes given bytes in answer to requests, in
/// forms that an HTTP server can't be made to write. Passes on control orders and probes,
/// and all requests while no answer is due.
class AnswerInjector
{
public:
  static constexpr auto kPieceInterval = std::chrono::milliseconds(30);
  /// The same for pieces that are repeated.
  static constexpr auto kRepeatInterval = std::chrono::milliseconds(5);

  /// Listens at a port of its own. @param aAnswers must outlive the injector
  AnswerInjector(boost::asio::io_context& aLoop,
                 std::string aServerId,
                 Endpoint aServer,
                 InjectedAnswers& aAnswers);

  [[nodiscard]] Endpoint Address() const;

private:
  Task<> Accept();
  Task<> Serve(boost::asio::ip::tcp::socket aCaller);
  /// Answer to the next request; none if it is passed on.
  [[nodiscard]] std::optional<InjectedAnswer> TakeAnswer();
  Task<> WriteAnswer(boost::asio::ip::tcp::socket& aCaller,
                     InjectedAnswer aAnswer,
                     std::string aHead);

  boost::asio::io_context& loop;
  std::string serverId;
  Endpoint server;
  InjectedAnswers& answers;
  boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace toucanstand
