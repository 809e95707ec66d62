#include <map>

#include <catch2/catch.hpp>

#include "attempts/AttemptClassification.h"

using namespace toucanstand;

TEST_CASE("Only a connection that was not made proves that a request was not run",
          "[calls]")
{
  // Guards against a failure of the exchange that is told to callers as not run.
  for (const auto failure : { HttpFailure::ConnectRefused,
                              HttpFailure::ConnectTimedOut,
                              HttpFailure::SendBroken,
                              HttpFailure::HeadTimedOut,
                              HttpFailure::BrokenBeforeHead,
                              HttpFailure::BrokenInBody,
                              HttpFailure::BodyTimedOut,
                              HttpFailure::TooLarge,
                              HttpFailure::Malformed }) {
    INFO(Name(failure));
    CHECK(ProvesNotRun(ToAttemptFailure(failure)) == NothingWasSent(failure));
  }
}

TEST_CASE("Each failure of an attempt says one thing about its candidate", "[calls]")
{
  // Guards against a server that is avoided for what its caller or connection did.
  const std::map<AttemptFailure, RouteOutcome> expected = {
    { AttemptFailure::ConnectRefused, RouteOutcome::ConnectFailed },
    { AttemptFailure::ConnectTimedOut, RouteOutcome::ConnectFailed },
    { AttemptFailure::SendBroken, RouteOutcome::Broken },
    { AttemptFailure::NoAnswerBeforeDeadline, RouteOutcome::Slow },
    { AttemptFailure::BrokenBeforeHead, RouteOutcome::Broken },
    { AttemptFailure::BrokenInBody, RouteOutcome::Broken },
    { AttemptFailure::SilentConnection, RouteOutcome::DeadConnection },
    { AttemptFailure::RefusedAsNotRun, RouteOutcome::Refused },
    { AttemptFailure::ServerError, RouteOutcome::Broken },
    { AttemptFailure::CallerLeft, RouteOutcome::Abandoned },
  };
  for (const auto& [failure, end] : expected) {
    INFO(Name(failure));
    CHECK(ToRouteOutcome(failure, RouteOutcome::DeadConnection) == end);
  }
  CHECK(ToRouteOutcome(AttemptFailure::SilentConnection, RouteOutcome::Slow) ==
        RouteOutcome::Slow);
}
