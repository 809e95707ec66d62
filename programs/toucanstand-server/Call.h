#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "attempts/AttemptFailure.h"
#include "attempts/AttemptTracker.h"
#include "http/HttpExchange.h"
#include "serving/CallFacts.h"
#include "serving/ServingConfiguration.h"

namespace toucanstand {

/// A caller's request that the configuration allows, ready to be sent on.
struct Call
{
  HttpExchange& exchange;
  CallFacts facts;
  /// Keeps the route alive.
  std::shared_ptr<const ServingConfiguration> configuration;
  const ServingRoute* route = nullptr;
  AccountId account = {};
  int priority = 0;
  PoolId pool = {};
  /// The same for each repetition of the request.
  std::uint64_t fingerprint = 0;
  TimePoint arrivedAt{};
  /// The final answer is due.
  TimePoint deadline{};
};

/// How a call ended, for the log and the metrics.
struct CallResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  int status = 0;
  /// Why there is no answer; empty when there is one.
  std::string reason;
  std::size_t attempts = 0;
  std::string destination;
  std::optional<Duration> timeToFirstByte;
  /// Between two arrivals of events of a stream.
  Duration maxEventGap{ 0 };
};

/// What an attempt without a complete answer came to.
struct FailedAttempt
{
  AttemptFailure failure = AttemptFailure::BrokenBeforeHead;
  /// The server's own failure, passed on if no other attempt is made.
  std::optional<HttpResponse> response;
};

} // namespace toucanstand
