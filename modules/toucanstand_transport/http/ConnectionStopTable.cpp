#include "http/ConnectionStopTable.h"

#include <array>

namespace toucanstand {

namespace {

constexpr std::size_t kPhaseCount = 5;
using ActionsByState = std::array<StopAction, kConnectionStateCount>;

/// A row for each StopPhase, a column for each ConnectionState.
constexpr std::array<ActionsByState, kPhaseCount> MakeActions()
{
  using enum StopAction;
  return { {
    // AwaitingRequest, ReceivingRequest, AwaitingAnswer, SendingAnswer, AwaitingClose
    { None, None, None, None, None },
    { None, None, None, None, None },
    { CloseIfQuiet, None, None, None, None },
    { CloseIfQuiet, RejectRequest, AskForFinalAnswer, None, None },
    { CloseIfQuiet, BreakOff, BreakOff, BreakOff, None },
  } };
}

} // namespace

StopAction ActionDuringStop(StopPhase aPhase, ConnectionState aState, Duration aQuiet)
{
  static constexpr auto kActions = MakeActions();
  const auto action =
    kActions.at(static_cast<std::size_t>(aPhase)).at(static_cast<std::size_t>(aState));
  const bool mayStillBeUsed = action == StopAction::CloseIfQuiet &&
                              aPhase != StopPhase::Over && aQuiet < kQuietTime;
  return mayStillBeUsed ? StopAction::None : action;
}

} // namespace toucanstand
