#pragma once

namespace toucanstand {

/// Why an attempt ended without a complete answer.
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
  /// No bytes arrived in time, but a probe over a new connection was answered.
  SilentConnection,
  /// Rejected in a way that the server or the contract defines as "not run".
  RefusedAsNotRun,
  /// A 5xx answer that doesn't prove that the request was not run.
  ServerError,
  CallerLeft,
  /// A planned stop of this process needed the final answer before the server's came.
  Stopping,
  /// Another attempt that ran at the same time went on with the call.
  Superseded,
  /// This process had no memory for the response.
  NoMemory,
  /// The server's availability zone was evacuated before anything was sent.
  ServerEvacuated,
};

/// True when no part of the request can have been executed. A connection that breaks
/// while the request is being written is no proof, because the server may act on the
/// bytes that it has received.
[[nodiscard]] bool ProvesNotRun(AttemptFailure aFailure);

/// True when no connection was used, so that the server received no bytes.
[[nodiscard]] bool FailedToConnect(AttemptFailure aFailure);

/// True when the failure points to a lost server or connection. Other failures also occur
/// under overload, where retries add to the load.
[[nodiscard]] bool IndicatesLostServer(AttemptFailure aFailure);

/// True when this process ended the attempt, so that it says nothing of the server.
[[nodiscard]] bool IsAbandoned(AttemptFailure aFailure);

/// Name for metrics and state dumps.
[[nodiscard]] const char* Name(AttemptFailure aFailure);

} // namespace toucanstand
