#pragma once

#include <optional>
#include <variant>

#include "CallEnd.h"
#include "CallState.h"
#include "EntryContext.h"
#include "attempts/AttemptTracker.h"
#include "http/ProbeOutcome.h"
#include "http/Task.h"

namespace toucanstand {

/// Runs one call on the backend servers: places it, makes attempts, judges failures.
///
/// What an attempt sends and how its answer is read differs between the model engines
/// and the plain services. @see EngineCall, ServiceCall
class BackendCall
{
public:
  /// Both arguments must outlive the call.
  BackendCall(EntryContext& aContext, CallState& aState);
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;
  virtual ~BackendCall() = default;

  /// Makes attempts until the call is answered or given up.
  Task<CallEnd> Run();

protected:
  /// How one attempt ended: with the end of the call, or with a failure.
  using AttemptResult = std::variant<CallEnd, AttemptFailure>;

  /// Sends the request to a candidate and reads the answer.
  virtual Task<AttemptResult> Attempt(const Candidate& aCandidate,
                                      std::uint32_t aNumber) = 0;

  /// Finds out what a transport failure says about the server, probing it when needed.
  Task<AttemptFailure> Judge(HttpFailure aFailure, const Candidate& aCandidate);

  [[nodiscard]] AttemptFailure FailureOfCancellation() const;

  /// True when the answer states that the request was not run.
  [[nodiscard]] bool StatesNotRun(int aStatus, const HttpHeaders& aHeaders) const;

  [[nodiscard]] HttpDeadlines Deadlines() const;
  [[nodiscard]] ConnectionUse Connections() const;

  EntryContext& context;
  CallState& state;
  AttemptTracker tracker;

private:
  Task<std::variant<Candidate, CallEnd>> Choose();
  Task<std::optional<CallEnd>> AskToRunAlone(const ServerId& aServer);
  Task<> Pause(Duration aDuration);
  /// Probes the server until something answers or refuses, for the time of one probe.
  Task<ProbeOutcome> ProbeServer(Candidate aCandidate);
  /// Probes the server once. An answer shows another run if the server no longer belongs
  /// to the candidate's group and generation.
  Task<ProbeOutcome> ProbeOnce(Candidate aCandidate, Duration aTimeout);
  std::variant<Candidate, CallEnd> ChooseAmong(const std::vector<ServerId>& aServers,
                                               TimePoint aNow);
  void NoteEnd(const Candidate& aCandidate,
               const std::optional<AttemptFailure>& aFailure,
               TimePoint aSentAt);
  [[nodiscard]] CallEnd GiveUp(const RetryDecision& aStep, AttemptFailure aFailure) const;
  [[nodiscard]] CallEnd NoServer() const;
  [[nodiscard]] Endpoint ArbiterEndpoint() const;

  /// Servers that answered and did not take the request; another one may become a home
  /// server of it instead.
  std::vector<ServerId> declined;
  /// Server on which the arbiter lets the call run alone.
  std::optional<ServerId> granted;
  bool serverCrashed = false;
};

} // namespace toucanstand
