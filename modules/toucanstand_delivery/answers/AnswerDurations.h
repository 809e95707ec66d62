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
  static constexpr std::size_t kMaxSamples = 64;
  /// Answers from which the longest says something about the next one.
  static constexpr std::size_t kMinSamples = 8;
  /// Age from which an answer says nothing about the present speed of servers.
  static constexpr Duration kMaxAge = std::chrono::minutes(1);

  /// Requests whose answers take about equally long.
  struct Kind
  {
    PoolId pool;
    /// Empty for plain services.
    std::string model;
    /// Most tokens that the answer may have.
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

  /// An answer that has ended.
  struct Answer
  {
    Duration duration{ 0 };
    /// A part of the duration.
    Duration untilFirstEvent{ 0 };
    /// 0 for an answer that is no stream.
    std::size_t events = 0;
  };
  void OnAnswered(const Kind& aKind, const Answer& aAnswer, TimePoint aNow);

  /// How long an answer of this size may take: as long as the longest of the latest ones,
  /// or as one with the most events so far takes at their mean pace. Of the next larger
  /// size if this one has too few answers; nothing if there is none.
  [[nodiscard]] std::optional<Duration> Longest(const Kind& aKind, TimePoint aNow) const;

  /// Longest time that an answer in progress has taken; zero if there is none. Servers
  /// that have just slowed down show it here first.
  [[nodiscard]] Duration LongestInProgress(const Kind& aKind, TimePoint aNow) const;

private:
  /// Powers of two of the number of tokens.
  static constexpr std::size_t kSizeClasses = 24;

  struct Sample
  {
    Answer answer;
    TimePoint at{};
  };
  struct Latest
  {
    std::vector<Sample> samples;
    std::size_t oldest = 0;
    /// Of all answers of this size, also earlier ones.
    std::size_t mostEvents = 0;
    /// Times at which the answers in progress began.
    std::shared_ptr<std::multiset<TimePoint>> begins =
      std::make_shared<std::multiset<TimePoint>>();
  };
  using LatestBySize = std::array<Latest, kSizeClasses>;

  [[nodiscard]] static std::size_t SizeClass(double aTokens);
  [[nodiscard]] static std::optional<Duration> LongestOf(const Latest& aLatest,
                                                         TimePoint aNow);

  std::map<std::pair<PoolId, std::string>, LatestBySize> latest;
};

} // namespace toucanstand
