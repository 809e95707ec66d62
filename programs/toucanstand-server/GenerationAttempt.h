#pragma once

#include <memory>
#include <optional>
#include <string>

#include "BackgroundAttempt.h"
#include "Call.h"
#include "CallSender.h"
#include "ServingState.h"
#include "answers/EventFramer.h"

namespace toucanstand {

/// One attempt of a generation call at a replica group, from the request to the end of
/// the stream of events.
class GenerationAttempt : public std::enable_shared_from_this<GenerationAttempt>
{
public:
  /// Whether the body of an error response is read for the caller.
  enum class ErrorBodies
  {
    Read,
    Skip,
  };

  /// Events of a call, for the log.
  struct EventCounts
  {
    std::size_t call = 0;
    std::size_t attempt = 0;
  };

  /// Records the begin of the attempt. All must outlive it.
  GenerationAttempt(ServingState& aState,
                    Call& aCall,
                    GroupPlacement& aPlacement,
                    PlacementChoice aChoice);

  /// Sends the request and reads the head of the response.
  /// @returns nothing once a stream of events has begun
  Task<std::optional<FailedAttempt>> Open(CallSender::Target aTarget,
                                          ErrorBodies aErrorBodies);

  /// Does the same beside another attempt, and reads the stream until it has brought an
  /// event that continues the answer.
  /// @param aFramer what the caller has received
  void OpenBeside(CallSender::Target aTarget, EventFramer aFramer);

  /// What OpenBeside() began; null if Open() was called.
  [[nodiscard]] BackgroundAttempt* Background()
  {
    return this->opening ? &*this->opening : nullptr;
  }

  /// Next bytes of the stream; empty once it is complete by its own framing.
  Task<Result<std::string, HttpFailure>> Read();

  /// The response, once a stream has begun.
  [[nodiscard]] HttpClientStream& Stream() { return *this->stream; }

  /// See CallSender::Hold().
  [[nodiscard]] bool Hold(std::size_t aBytes) { return this->sender.Hold(aBytes); }

  void Cancel() { this->sender.Cancel(); }
  [[nodiscard]] AttemptFailure ClassifyFailure(HttpFailure aFailure) const
  {
    return this->sender.ClassifyFailure(aFailure);
  }

  /// Closes the connection and records the end of the attempt. Call exactly once.
  void End(const std::optional<FailedAttempt>& aFailedAttempt,
           const EventCounts& aEvents);

  [[nodiscard]] const PlacementChoice& Choice() const { return this->choice; }
  [[nodiscard]] const GroupId& Group() const { return this->choice.group.id; }
  [[nodiscard]] GroupPlacement::Ticket Ticket() const { return this->ticket; }
  /// See ServingState::OnRunStarted().
  [[nodiscard]] const RequestId& Run() const { return this->run; }
  [[nodiscard]] TimePoint StartedAt() const { return this->startedAt; }

private:
  Task<std::optional<FailedAttempt>> OpenAndReadEvent(CallSender::Target aTarget,
                                                      EventFramer aFramer);
  Task<std::optional<FailedAttempt>> ReadFailure(const ReplyFacts& aFacts,
                                                 ErrorBodies aErrorBodies);
  [[nodiscard]] GroupRequestOutcome ToGroupOutcome(
    const std::optional<FailedAttempt>& aFailedAttempt) const;
  void Log(const std::optional<FailedAttempt>& aFailedAttempt,
           const EventCounts& aEvents);

  ServingState& state;
  Call& call;
  GroupPlacement& placement;
  PlacementChoice choice;
  CallSender sender;
  TimePoint startedAt;
  GroupPlacement::Ticket ticket = 0;
  RequestId run;
  std::unique_ptr<HttpClientStream> stream;
  /// Bytes of the stream that were read beside another attempt.
  std::string firstBytes;
  std::optional<BackgroundAttempt> opening;
  /// What the response says.
  StatedRateLimit statedRateLimit;
  bool groupUnusable = false;
  /// It named a time for which its server wants nothing.
  bool serverWaits = false;
};

} // namespace toucanstand
