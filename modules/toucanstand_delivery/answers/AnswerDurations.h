#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Durations of the latest answers, by pool, model and size. Tells how long an answer may
/// take that has not begun.
class AnswerDurations
{
public:
  /// Answers of each kind and size that are kept.
  static constexpr std::size_t kMaxSamples = 32;
  /// Answers from which the longest says something about the next one.
  static constexpr std::size_t kMinSamples = 8;

  /// Requests whose answers take about equally long.
  struct Kind
  {
    PoolId pool;
    /// Empty for plain services.
    std::string model;
    /// Most tokens that the answer may have; 0 for plain services.
    double maxAnswerTokens = 0;
  };

  /// An answer in progress, as long as the object exists; it may outlive the durations.
  class InProgress
  {
  public:
    InProgress(AnswerDurations& aDurations, const Kind& aKind, TimePoint aBegin);
    ~InProgress();
    InProgress(const InProgress&) = delete;
    InProgress& operator=(const InProgress&) = delete;

  private:
    std::shared_ptr<std::multiset<TimePoint>> begins;
    std::multiset<TimePoint>::iterator position;
  };

  void OnAnswered(const Kind& aKind, Duration aDuration);

  /// Longest of the latest answers of this size, or of the next larger size that has
  /// enough answers; nothing if there is none.
  [[nodiscard]] std::optional<Duration> Longest(const Kind& aKind) const;

  /// True when an answer that begins now ends by this time, as far as its deadline, or
  /// the latest answers and those in progress tell.
  [[nodiscard]] bool CanEndBy(TimePoint aEnd,
                              const Kind& aKind,
                              TimePoint aDeadline,
                              TimePoint aNow) const;

private:
  /// Powers of two of the number of tokens.
  static constexpr std::size_t kSizeClasses = 24;

  struct Samples
  {
    std::vector<Duration> durations;
    std::size_t oldest = 0;
    /// Times at which the answers in progress began.
    std::shared_ptr<std::multiset<TimePoint>> begins =
      std::make_shared<std::multiset<TimePoint>>();
  };
  using SamplesBySize = std::array<Samples, kSizeClasses>;

  [[nodiscard]] static std::size_t SizeClass(double aTokens);
  [[nodiscard]] Duration LongestInProgress(const Kind& aKind, TimePoint aNow) const;

  std::map<std::pair<PoolId, std::string>, SamplesBySize> samples;
};

} // namespace toucanstand
