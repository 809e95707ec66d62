#pragma once

namespace toucanstand {

enum class HttpFailure;

/// What a probe over a fresh connection shows of a backend server.
enum class ProbeOutcome
{
  /// The server answered with success.
  Answered,
  /// Something answered: with another status, in a way that can't be read, or to another
  /// request.
  OtherAnswer,
  /// Another server, or a later run of this one, answered at the address.
  OtherServer,
  /// Nothing accepts connections at the address.
  Refused,
  /// The connection was accepted and ended before an answer.
  Broken,
  /// No connection or no answer in time.
  Silent,
};

/// Name of an outcome for metrics and logs.
[[nodiscard]] const char* Name(ProbeOutcome aOutcome);

/// What the failure of a probe shows of the server.
[[nodiscard]] ProbeOutcome ToProbeOutcome(HttpFailure aFailure);

} // namespace toucanstand
