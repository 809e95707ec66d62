#include <map>

#include <catch2/catch.hpp>

#include "attempts/AttemptMeaning.h"

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
    CHECK(ProvesNotRun(FailureOf(failure)) == NothingWasSent(failure));
  }
}

TEST_CASE("Each failure of an attempt says one thing about its candidate", "[calls]")
{
  // Guards against a server that is avoided for what its caller or connection did.
  const std::map<AttemptFailure, AttemptEnd> expected = {
    { AttemptFailure::ConnectRefused, AttemptEnd::ConnectFailed },
    { AttemptFailure::ConnectTimedOut, AttemptEnd::ConnectFailed },
    { AttemptFailure::SendBroken, AttemptEnd::Broken },
    { AttemptFailure::NoAnswerBeforeDeadline, AttemptEnd::Slow },
    { AttemptFailure::BrokenBeforeHead, AttemptEnd::Broken },
    { AttemptFailure::BrokenInBody, AttemptEnd::Broken },
    { AttemptFailure::SilentConnection, AttemptEnd::DeadConnection },
    { AttemptFailure::RefusedAsNotRun, AttemptEnd::Refused },
    { AttemptFailure::ServerError, AttemptEnd::Broken },
    { AttemptFailure::CallerLeft, AttemptEnd::Abandoned },
  };
  for (const auto& [failure, end] : expected) {
    INFO(Name(failure));
    CHECK(EndOf(failure, AttemptEnd::DeadConnection) == end);
  }
  CHECK(EndOf(AttemptFailure::SilentConnection, AttemptEnd::Slow) == AttemptEnd::Slow);
}
