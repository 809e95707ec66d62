#pragma once

#include <optional>

#include "Call.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "ServingState.h"
#include "answers/EventFramer.h"

namespace toucanstand {

/// Relays a stream of events from a replica group to the caller. If an attempt fails, the
/// stream may be continued on another group.
class GenerationCall
{
public:
  /// Timeout for the first event, and minimum timeout for the response head. A healthy
  /// group sends its first event within a few forward passes; a group that lost a member
  /// sends nothing for 5 s, and callers disconnect after 2 s.
  static constexpr Duration kFirstEventTimeout = std::chrono::milliseconds(1200);
  /// Maximum gap between two events. One forward pass of a full group takes about 60 ms,
  /// and under 300 ms with prefill in between.
  static constexpr Duration kEventGapTimeout = std::chrono::milliseconds(700);

  /// Both must outlive the call.
  GenerationCall(ServingState& aState, Call& aCall);

  Task<CallResult> Run();

private:
  Task<std::optional<FailedAttempt>> Attempt(const PlacementChoice& aChoice);
  Task<std::optional<FailedAttempt>> RelayStream(HttpClientStream& aStream);
  Task<std::optional<FailedAttempt>> ReadFailure(HttpClientStream& aStream,
                                                 const ReplyFacts& aFacts);
  /// True when the stream that has ended in order may be the whole rest of the answer.
  [[nodiscard]] bool IsPlausibleEnd() const;
  Task<bool> ForwardEvents(const HttpClientStream& aStream, const std::string& aEvents);
  void LogRefusal(const RefusedPlacement& aDelay);
  [[nodiscard]] PlacementQuery MakePlacementQuery() const;
  [[nodiscard]] CallSender::Target MakeTarget(const PlacementChoice& aChoice) const;
  /// Limits a timeout to the deadline of the call. A call that may not be repeated has no
  /// other timeout than its deadline.
  [[nodiscard]] Duration EffectiveTimeout(Duration aTimeout) const;
  /// The attempt ended as its answer can't reach the caller any more.
  [[nodiscard]] FailedAttempt MakeAbandonedAttempt() const;
  [[nodiscard]] GroupRequestOutcome ToGroupRunEnd(
    const std::optional<FailedAttempt>& aFailedAttempt) const;
  void LogAttempt(const PlacementChoice& aChoice,
                  const std::optional<FailedAttempt>& aFailedAttempt);

  ServingState& state;
  Call& call;
  GroupPlacement& placement;
  CallSender sender;
  CallProgress progress;
  EventFramer framer;
  std::vector<GroupId> triedGroups;
  GroupPlacement::Ticket ticket = 0;
  /// Id of the current attempt, see ServingState::OnRunStarted().
  RequestId run;
  bool groupUnusable = false;
  /// What the response to the current attempt says.
  StatedRateLimit statedRateLimit;
  /// It named a time for which its server wants nothing.
  bool serverWaits = false;
  /// Events that earlier attempts have delivered.
  std::size_t eventsBeforeAttempt = 0;
};

} // namespace toucanstand
