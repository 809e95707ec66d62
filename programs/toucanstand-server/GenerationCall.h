#pragma once

#include <memory>
#include <optional>

#include "Call.h"
#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "GenerationAttempt.h"
#include "ServingState.h"
#include "answers/EventFramer.h"

namespace toucanstand {

/// Relays a stream of events from a replica group to the caller. If an attempt fails, the
/// stream may be continued on another group.
///
/// Beside a group that is silent for longer than usual, another one is asked. The silent
/// group is left only when the other has begun to answer: until then it is still the best
/// one there is, up to the deadline.
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
  using Refusal = CallRefusal;

  Task<CallResult> Serve();
  /// Begins the next attempt, or goes on with the one beside the last.
  [[nodiscard]] std::optional<Refusal> BeginAttempt();
  [[nodiscard]] std::optional<Refusal> PlaceAttempt(TimePoint aNow);
  [[nodiscard]] std::shared_ptr<GenerationAttempt> MakeAttempt(PlacementChoice aChoice);
  Task<std::optional<FailedAttempt>> RunAttempt();
  Task<std::optional<FailedAttempt>> OpenAttempt();
  Task<std::optional<FailedAttempt>> RelayStream();
  Task<CallResult> GiveUp(Refusal aRefusal);
  /// False if the group is left or has failed: it has sent bytes, but no event for long.
  [[nodiscard]] bool MayWaitForEvent(std::size_t aBytesWithoutEvent);
  /// True when the stream that has ended in order may be the whole rest of the answer.
  [[nodiscard]] bool IsPlausibleEnd() const;
  /// Records the bytes that the current attempt has brought, and forwards them.
  /// @param aHasNewEvents among them are events with ids
  /// @returns false if they can't reach the caller
  Task<bool> PassOn(const std::string& aEvents, bool aHasNewEvents);
  Task<bool> ForwardEvents(const std::string& aEvents);
  [[nodiscard]] PlacementQuery MakePlacementQuery() const;
  [[nodiscard]] CallSender::Target MakeTarget(const GenerationAttempt& aAttempt);
  /// Limits a timeout to the deadline of the call.
  [[nodiscard]] Duration EffectiveTimeout(Duration aTimeout) const;
  /// Asked when the group of an attempt has been silent for long. @returns how much
  /// longer it is waited for; zero to leave it
  [[nodiscard]] Duration ExtendWait(const GenerationAttempt& aWaiting, TimePoint aNow);
  /// Begins an attempt at another group, beside the one that is silent. @returns why none
  /// can be made; null if it has begun
  [[nodiscard]] const char* BeginStandby(TimePoint aNow);
  void OnStandbyEnd(GenerationAttempt& aStandby, AttemptFailure aFailure);
  void LogSilence(const char* aReasonToStay, TimePoint aNow);
  /// The attempt ended as its answer can't reach the caller any more.
  [[nodiscard]] FailedAttempt MakeAbandonedAttempt() const;
  [[nodiscard]] GenerationAttempt::EventCounts CountEvents() const;

  ServingState& state;
  Call& call;
  GroupPlacement& placement;
  CallAdmission admission;
  CallProgress progress;
  EventFramer framer;
  std::vector<GroupId> triedGroups;
  CallAttempts<GenerationAttempt> attempts;
  /// When the group of the current attempt counts as silent.
  TimePoint nextEventDue{};
  /// Why the call stays with its silent group, as last logged; null if it is not silent.
  const char* loggedReasonToStay = nullptr;
  /// Events that earlier attempts have delivered.
  std::size_t eventsBeforeAttempt = 0;
};

} // namespace toucanstand
