#pragma once

#include "BackendCall.h"
#include "CallerAnswer.h"
#include "EventStreamReader.h"
#include "answers/StreamAssembler.h"

namespace toucanstand {

/// A chat on the model engines. The answer is always streamed by the engine, so that
/// another one can resume it by token offset.
class EngineCall final : public BackendCall
{
public:
  EngineCall(EntryContext& aContext, CallState& aState, CallerAnswer& aAnswer);

protected:
  Task<AttemptResult> Attempt(const Candidate& aCandidate,
                              std::uint32_t aNumber) override;

private:
  /// One event of an engine's stream.
  struct TokenEvent
  {
    std::uint64_t index = 0;
    std::string token;
  };

  Task<AttemptResult> ReadAnswer(HttpClientStream& aStream,
                                 const Candidate& aCandidate,
                                 std::uint32_t aNumber);
  Task<std::optional<AttemptFailure>> TakeTokens(std::vector<TokenEvent> aEvents,
                                                 std::uint32_t aNumber);
  Task<AttemptResult> Finish(std::uint32_t aNumber);
  /// Reads the events in a piece of the body; false when one is malformed.
  bool ReadEvents(const std::string& aPiece, std::vector<TokenEvent>& aEvents);
  void NoteProgress(const Candidate& aCandidate);
  void CancelAt(const Candidate& aCandidate, std::uint32_t aNumber);
  [[nodiscard]] HttpRequest MakeRequest(const Candidate& aCandidate,
                                        std::uint32_t aNumber) const;
  [[nodiscard]] std::string AttemptId(std::uint32_t aNumber) const;

  CallerAnswer& answer;
  StreamAssembler assembler;
  EventStreamReader events;
  bool finishMarkSeen = false;
  bool firstTokenSeen = false;
  TimePoint attemptStartedAt{};
  TimePoint lastTokenAt{};
};

} // namespace toucanstand
