#include <array>

#include <catch2/catch.hpp>

#include "http/ConnectionStopTable.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr std::array kPhases = { StopPhase::Serving,
                                 StopPhase::LeavingRotation,
                                 StopPhase::Draining,
                                 StopPhase::FinalAnswers,
                                 StopPhase::Over };

} // namespace

TEST_CASE("An answer that has begun is cut at the end of the drain only", "[stop]")
{
  // Guards against a phase that cuts streams that could still end.
  for (const auto phase : kPhases) {
    const auto expected =
      phase == StopPhase::Over ? StopAction::BreakOff : StopAction::None;
    CHECK(ActionDuringStop(phase, ConnectionState::SendingAnswer, 0s) == expected);
  }
}

TEST_CASE("A request without an answer is asked for its final one before the end",
          "[stop]")
{
  // Guards against requests that end with their connection instead of with an answer.
  using enum ConnectionState;
  CHECK(ActionDuringStop(StopPhase::Draining, AwaitingAnswer, 0s) == StopAction::None);
  CHECK(ActionDuringStop(StopPhase::FinalAnswers, AwaitingAnswer, 0s) ==
        StopAction::AskForFinalAnswer);
  CHECK(ActionDuringStop(StopPhase::Over, AwaitingAnswer, 0s) == StopAction::BreakOff);
}

TEST_CASE("A request that is arriving is received until final answers are due", "[stop]")
{
  // Guards against requests that are lost because their body arrives slowly.
  using enum ConnectionState;
  CHECK(ActionDuringStop(StopPhase::LeavingRotation, ReceivingRequest, 5s) ==
        StopAction::None);
  CHECK(ActionDuringStop(StopPhase::Draining, ReceivingRequest, 5s) == StopAction::None);
  CHECK(ActionDuringStop(StopPhase::FinalAnswers, ReceivingRequest, 5s) ==
        StopAction::RejectRequest);
}

TEST_CASE("A connection that was just accepted or answered stays open for a request",
          "[stop]")
{
  // Guards against a close that crosses the next request of a caller.
  const auto state = ConnectionState::AwaitingRequest;
  CHECK(ActionDuringStop(StopPhase::LeavingRotation, state, 10s) == StopAction::None);
  for (const auto phase : { StopPhase::Draining, StopPhase::FinalAnswers }) {
    CHECK(ActionDuringStop(phase, state, 0s) == StopAction::None);
    CHECK(ActionDuringStop(phase, state, kQuietTime) == StopAction::CloseIfQuiet);
  }
  CHECK(ActionDuringStop(StopPhase::Over, state, 0s) == StopAction::CloseIfQuiet);
}

TEST_CASE("An answer that was written is left to its caller in all phases", "[stop]")
{
  // Guards against a close that makes the kernel drop the end of an answer.
  for (const auto phase : kPhases) {
    CHECK(ActionDuringStop(phase, ConnectionState::AwaitingClose, 0s) ==
          StopAction::None);
  }
}
