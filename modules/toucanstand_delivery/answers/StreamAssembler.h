#pragma once

#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace toucanstand {

/// What to do with a token event.
enum class TokenDecision
{
  /// Pass it on to the caller.
  Emit,
  /// Already passed on; drop it.
  Duplicate,
  /// Tokens are missing before it: end the attempt and resume at ResumeOffset().
  Gap,
  /// From an attempt that was replaced or found faulty; drop it.
  StaleAttempt,
  /// After the finish marker; drop it.
  AfterFinish,
  /// The answer exceeds the limit: end the attempt and fail visibly.
  TooLong,
};

/// What to do with a finish marker.
enum class FinishDecision
{
  /// Every token has been passed on: end the caller's stream with `data: [DONE]`.
  Complete,
  /// The attempt ended before the tokens that the caller already has, so it produced
  /// another answer: end the attempt and fail visibly.
  Inconsistent,
  StaleAttempt,
};

/// Puts one answer together from the streams of one or more attempts, so that every token
/// is passed on exactly once and in order. Holds only counters, no tokens.
class StreamAssembler
{
public:
  /// Far above the longest supplier letter; a bound on a stream that never ends.
  static constexpr std::uint64_t kDefaultTokenLimit = 1'000'000;

  explicit StreamAssembler(std::uint64_t aTokenLimit = kDefaultTokenLimit);

  /// Makes a newer attempt the only one whose events count. Older numbers are ignored.
  void OnAttemptStarted(std::uint32_t aAttempt);

  /// Judges the token with the given index.
  [[nodiscard]] TokenDecision OnToken(std::uint32_t aAttempt, std::uint64_t aIndex);

  /// Judges the finish marker.
  [[nodiscard]] FinishDecision OnFinish(std::uint32_t aAttempt);

  /// True once a valid finish marker has been seen.
  [[nodiscard]] bool IsComplete() const { return this->complete; }

  /// Index of the first token that has not been passed on.
  [[nodiscard]] std::uint64_t ResumeOffset() const { return this->nextIndex; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  std::uint64_t tokenLimit;
  std::uint64_t nextIndex = 0;
  /// One past the highest index that the current attempt sent; 0 before its first token.
  std::uint64_t attemptNextIndex = 0;
  std::uint32_t currentAttempt = 0;
  bool attemptFaulty = true;
  bool complete = false;
  std::uint64_t droppedEvents = 0;
};

} // namespace toucanstand
