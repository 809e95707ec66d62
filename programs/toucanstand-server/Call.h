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

/// A caller's request that passed the checks of the configuration and can be forwarded.
struct Call
{
  HttpExchange& exchange;
  CallFacts facts;
  /// Owns the object that `route` points to.
  std::shared_ptr<const ServingConfiguration> configuration;
  const ServingRoute* route = nullptr;
  AccountId account = {};
  int priority = 0;
  PoolId pool = {};
  /// Hash of account, target and body; equal for every repetition of the request.
  std::uint64_t fingerprint = 0;
  TimePoint arrivedAt{};
  /// Time by which the caller must have the final response.
  TimePoint deadline{};
};

/// Result of a call, for the decision log and the metrics.
struct CallResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  int status = 0;
  /// Why no response was delivered; empty if one was.
  std::string reason;
  std::size_t attempts = 0;
  std::string destination;
  std::optional<Duration> timeToFirstByte;
  /// Events of a stream; 0 for other responses.
  std::size_t events = 0;
  /// Longest time between two arrivals of stream events.
  Duration maxEventGap{ 0 };
};

/// An attempt that ended without a complete response.
struct FailedAttempt
{
  AttemptFailure failure = AttemptFailure::BrokenBeforeHead;
  /// The backend server's error response, forwarded if no further attempt is made.
  std::optional<HttpResponse> response;
};

} // namespace toucanstand
