#pragma once

#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace toucanstand {

/// What to do with a token event.
enum class TokenDecision
{
  /// Forward it to the caller.
  Emit,
  /// Already forwarded; drop it.
  Duplicate,
  /// Tokens before it are missing: end the attempt and resume at ResumeOffset().
  Gap,
  /// From an attempt that was superseded or rejected; drop it.
  StaleAttempt,
  /// After the finish marker; drop it.
  AfterFinish,
  /// The answer exceeds the token limit: end the attempt and report an error.
  TooLong,
};

/// What to do with a finish marker.
enum class FinishDecision
{
  /// Every token has been forwarded: end the caller's stream with `data: [DONE]`.
  Complete,
  /// The attempt ended before the offset that the caller has already received, so it
  /// generated a different answer: end the attempt and report an error.
  Inconsistent,
  /// The attempt was superseded or rejected, or the answer is complete; drop it.
  StaleAttempt,
};

/// Merges the token streams of one or more attempts into one answer, in which every token
/// is forwarded exactly once and in order. Stores counters only, no tokens.
class StreamAssembler
{
public:
  /// Ends the answer of an engine that never sends a finish marker. The longest
  /// legitimate answer is a letter to a supplier, which has far fewer tokens.
  static constexpr std::uint64_t kDefaultTokenLimit = 1'000'000;

  explicit StreamAssembler(std::uint64_t aTokenLimit = kDefaultTokenLimit);

  /// Accepts events from this attempt only. Ignored unless its number is higher than the
  /// current attempt's.
  void OnAttemptStarted(std::uint32_t aAttempt);

  /// Processes the token with the given index.
  [[nodiscard]] TokenDecision OnToken(std::uint32_t aAttempt, std::uint64_t aIndex);

  /// Processes the finish marker.
  [[nodiscard]] FinishDecision OnFinish(std::uint32_t aAttempt);

  /// True once a valid finish marker has been received.
  [[nodiscard]] bool IsComplete() const { return this->complete; }

  /// Index of the first token that has not been forwarded.
  [[nodiscard]] std::uint64_t ResumeOffset() const { return this->nextIndex; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  std::uint64_t tokenLimit;
  std::uint64_t nextIndex = 0;
  /// One past the highest index that the current attempt sent; 0 before its first token.
  std::uint64_t attemptNextIndex = 0;
  std::uint32_t currentAttempt = 0;
  /// True if the events of the current attempt are rejected. Initially true, because
  /// there is no attempt yet.
  bool attemptFaulty = true;
  bool complete = false;
  std::uint64_t droppedEvents = 0;
};

} // namespace toucanstand
