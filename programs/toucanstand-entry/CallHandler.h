#pragma once

#include "CallEnd.h"
#include "CallReader.h"
#include "CallState.h"
#include "EntryContext.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// Takes a caller's request from its arrival to its answer.
class CallHandler
{
public:
  /// @param aContext must outlive the handler.
  explicit CallHandler(EntryContext& aContext);

  /// Answers one request.
  Task<> Handle(HttpExchange& aExchange);

  /// Calls that have not been answered yet.
  [[nodiscard]] std::size_t InFlight() const { return this->inFlight; }

private:
  Task<> RunCall(HttpExchange& aExchange, CallState& aState);
  /// Claims a call that must not be repeated. @returns the end of the call, or nothing
  /// when it may be sent.
  Task<std::optional<CallEnd>> Claim(const CallState& aState, const std::string& aNonce);
  /// Waits for admission. @returns the end of the call, or nothing when it was admitted.
  Task<std::optional<CallEnd>> Admit(const CallState& aState);
  void ReportOutcome(const CallRequest& aRequest,
                     const std::string& aNonce,
                     const CallEnd& aEnd);
  void NoteEnd(const CallState& aState, const CallEnd& aEnd);
  std::optional<CallEnd> RefuseNewWork();
  [[nodiscard]] bool CanEndBeforeStop(const CallRequest& aRequest) const;

  EntryContext& context;
  CallReader reader;
  std::size_t inFlight = 0;
};

} // namespace toucanstand
