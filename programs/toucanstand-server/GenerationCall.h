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
///
/// A group that is silent for longer than usual is left only if the stream can go on
/// elsewhere: otherwise it is still the best one there is, until the deadline.
class GenerationCall
{
public:
  /// Time until the first event, and minimum time until the response head, after which a
  /// group counts as silent. A healthy group sends its first event within a few forward
  /// passes; a group that lost a member sends nothing for 5 s, and callers disconnect
  /// after 2 s.
  static constexpr Duration kFirstEventTimeout = std::chrono::milliseconds(1200);
  /// The same for the gap between two events. One forward pass of a full group takes
  /// about 60 ms, and under 300 ms with prefill in between.
  static constexpr Duration kEventGapTimeout = std::chrono::milliseconds(700);
  /// Interval at which a call that stays with a silent group looks for another one.
  static constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(200);
  /// Bytes without a complete event after which a group is not silent but in trouble.
  static constexpr std::size_t kMaxBytesWithoutEvent = EventFramer::kMaxEventBytes;

  /// Both must outlive the call.
  GenerationCall(ServingState& aState, Call& aCall);

  Task<CallResult> Run();

private:
  Task<std::optional<FailedAttempt>> Attempt(const PlacementChoice& aChoice);
  Task<std::optional<FailedAttempt>> RelayStream(HttpClientStream& aStream);
  Task<std::optional<FailedAttempt>> ReadFailure(HttpClientStream& aStream,
                                                 const ReplyFacts& aFacts);
  /// False if the group is left or has failed: it has sent bytes, but no event for long.
  [[nodiscard]] bool MayWaitForEvent(std::size_t aBytesWithoutEvent);
  /// True when the stream that has ended in order may be the whole rest of the answer.
  [[nodiscard]] bool IsPlausibleEnd() const;
  Task<bool> ForwardEvents(const HttpClientStream& aStream, const std::string& aEvents);
  void LogRefusal(const RefusedPlacement& aDelay);
  [[nodiscard]] PlacementQuery MakePlacementQuery() const;
  [[nodiscard]] CallSender::Target MakeTarget(const PlacementChoice& aChoice);
  /// Limits a timeout to the deadline of the call.
  [[nodiscard]] Duration EffectiveTimeout(Duration aTimeout) const;
  /// Asked when the group has been silent for long. @returns how much longer it is waited
  /// for; zero to leave it
  [[nodiscard]] Duration ExtendWait(TimePoint aNow);
  /// Plans the next attempt of a call whose group is silent. @returns why it has to stay
  /// with the group; null if it leaves
  [[nodiscard]] const char* PlanMove(TimePoint aNow);
  void LogSilence(const char* aReasonToStay, TimePoint aNow);
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
  /// Group of the current attempt.
  GroupId group;
  /// Group of the next attempt, if the current one was left for it.
  std::optional<PlacementChoice> plannedMove;
  /// When the group of the current attempt counts as silent.
  TimePoint nextEventDue{};
  /// Why the call stays with its silent group, as last logged; null if it is not silent.
  const char* loggedReasonToStay = nullptr;
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
