#pragma once

#include "http/ConnectionState.h"
#include "lifecycle/StopSchedule.h"

namespace toucanstand {

/// What a planned stop does to a connection.
enum class StopAction
{
  None,
  /// Close it unless bytes of a request have arrived.
  CloseIfQuiet,
  /// Reject the request that is arriving, as not run.
  RejectRequest,
  /// Ask for the final answer of the request in progress.
  AskForFinalAnswer,
  BreakOff,
};

/// Time after its last activity for which a connection without a request stays open
/// during a drain, also when final answers are due. A caller that has just connected, or
/// that uses the connection again, sends its request within this time.
constexpr Duration kQuietTime = std::chrono::seconds(1);

/// Returns the action for a connection. docs/design.md explains each row.
/// @param aQuiet time since the connection was accepted or its last answer ended
[[nodiscard]] StopAction ActionDuringStop(StopPhase aPhase,
                                          ConnectionState aState,
                                          Duration aQuiet);

} // namespace toucanstand
