#pragma once

#include <optional>
#include <string>
#include <vector>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a caller's request says about itself, besides its method and body.
struct CallFacts
{
  /// Unique for each attempt of a client; empty when the client sent none.
  RequestId id;
  /// Without a port.
  std::string host;
  /// Without the query.
  std::string path;
  /// Empty when the client sent none.
  std::string apiKey;
  /// How long the client will wait from now on.
  std::optional<Duration> patience;
  /// The client has the events of a stream up to this one.
  std::optional<std::string> lastEventId;
  /// Empty for calls of plain services.
  std::string model;
  double promptTokens = 0;
  /// Upper bound on the answer.
  double mostAnswerTokens = 0;
  /// The client's estimate of the answer.
  std::optional<double> expectedAnswerTokens;
  /// Leading parts of the prompt that other requests may share, in order and each once.
  std::vector<PromptPartId> sharedPromptParts;
};

/// Load as a server states it with an answer.
struct StatedLoad
{
  double running = 0;
  double waiting = 0;
  double slots = 0;
};

/// What a response says about the rate of requests that its server takes.
struct StatedRateLimit
{
  enum class Kind
  {
    Unlimited,
    Limited,
    /// The limit can't be read; what was stated before stays in force.
    Unreadable,
  };

  Kind kind = Kind::Unlimited;
  /// Requests per second of all clients together.
  double perSecond = 0;
};

/// What a response says about further requests to its server.
struct ServerStatement
{
  /// The server finishes what it has and must get no new requests.
  bool isLeaving = false;
  /// The response says something about leaving that can't be read; it counts as absent.
  bool isLeavingUnreadable = false;
  /// The server is overloaded and wants nothing from this VM for this time from receipt.
  std::optional<Duration> retryAfter;
  /// The response names such a time that can't be read; it counts as absent.
  bool isRetryAfterUnreadable = false;
};

/// What the head of a backend server's response says about the run.
struct ReplyFacts
{
  /// A status of the 200s.
  bool isSuccess = false;
  /// A status of 200 with a stream of events, unless it says that its body is something
  /// else.
  bool startsStream = false;
  /// The server did not run the request and never will.
  bool statesNotRun = false;
  /// Another server has the address, or the server does not take this request.
  bool wrongServer = false;
  /// Signed by the server; a success without it is no answer of the server.
  bool isSigned = false;
  /// Names the request that it answers, or names none. If false, the answer says nothing
  /// about this call, and the other members have their defaults.
  bool answersThisCall = true;
  std::optional<StatedLoad> load;
  StatedRateLimit rateLimit;
  /// Has its defaults unless the response is one of the server that was asked.
  ServerStatement statement;
  /// The group member at fault, when the server names one.
  std::optional<ServerId> serverAtFault;
};

} // namespace toucanstand
