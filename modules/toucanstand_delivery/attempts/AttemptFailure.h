#pragma once

namespace toucanstand {

/// How one attempt ended without a complete answer.
enum class AttemptFailure
{
  ConnectRefused,
  ConnectTimedOut,
  /// The connection broke while the request was being written.
  SendBroken,
  NoAnswerBeforeDeadline,
  /// The connection broke after the request was sent and before the response head.
  BrokenBeforeHead,
  /// The connection broke within the response, or its framing was incomplete.
  BrokenInBody,
  /// No progress, while a probe over a fresh connection was answered.
  SilentConnection,
  /// The server or the contract states that this rejection means not run.
  RefusedAsNotRun,
  /// A 5xx answer that doesn't prove that the request was not run.
  ServerError,
  CallerLeft,
};

/// True when no part of the attempt can have been executed. A connection that breaks
/// while the request is being written proves nothing: the server may act on the bytes it
/// has.
[[nodiscard]] bool ProvesNotRun(AttemptFailure aFailure);

/// True when no connection was established, so that the server got nothing at all.
[[nodiscard]] bool FailedToConnect(AttemptFailure aFailure);

/// True when the failure is that of a lost server or connection. Other failures also
/// occur under overload, where retries add to the load.
[[nodiscard]] bool IndicatesLostServer(AttemptFailure aFailure);

/// Name for metrics and state dumps.
[[nodiscard]] const char* Name(AttemptFailure aFailure);

} // namespace toucanstand
