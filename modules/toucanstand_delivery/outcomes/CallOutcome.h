#pragma once

namespace toucanstand {

/// What is known about the execution of a request once its caller gets the final answer.
enum class CallOutcome
{
  /// A complete answer was delivered.
  Answered,
  /// Proven not to have been executed anywhere.
  NotRun,
  /// May have been executed, partly or completely.
  Unknown,
};

/// Value of the response header `Toucanstand-Outcome`.
[[nodiscard]] const char* WireName(CallOutcome aOutcome);

} // namespace toucanstand
