#pragma once

#include <optional>

#include "Call.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "ServingState.h"
#include "answers/EventFramer.h"

namespace toucanstand {

/// A stream of events from a replica group to a caller, over one or more runs.
class GenerationCall
{
public:
  /// A group in order brings the first event within a few passes; a head that lost a
  /// member brings none for 5 s, and callers leave after 2 s.
  static constexpr Duration kFirstEventLimit = std::chrono::milliseconds(1200);
  /// A full group's pass takes about 60 ms, with prompts read in between under 300 ms.
  static constexpr Duration kPauseLimit = std::chrono::milliseconds(700);

  /// Both must outlive the call.
  GenerationCall(ServingState& aState, Call& aCall);

  Task<CallEnd> Run();

private:
  Task<std::optional<AttemptLoss>> Attempt(const PlacementChoice& aChoice);
  Task<std::optional<AttemptLoss>> Relay(HttpClientStream& aStream);
  Task<std::optional<AttemptLoss>> TakeFailure(HttpClientStream& aStream,
                                               const ReplyFacts& aFacts);
  Task<bool> PassOn(const HttpClientStream& aStream, const std::string& aEvents);
  void LogRefusal(const RefusedPlacement& aDelay);
  [[nodiscard]] PlacementQuery Query() const;
  [[nodiscard]] CallSender::Target TargetFor(const PlacementChoice& aChoice) const;
  [[nodiscard]] Duration SilenceLimit(Duration aLimit) const;
  [[nodiscard]] GroupRequestOutcome RunEndOf(
    const std::optional<AttemptLoss>& aLoss) const;
  void LogAttempt(const PlacementChoice& aChoice,
                  const std::optional<AttemptLoss>& aLoss);

  ServingState& state;
  Call& call;
  GroupPlacement& placement;
  CallSender sender;
  CallProgress progress;
  EventFramer framer;
  std::vector<GroupId> tried;
  GroupPlacement::Ticket ticket = 0;
  bool memberLost = false;
};

} // namespace toucanstand
