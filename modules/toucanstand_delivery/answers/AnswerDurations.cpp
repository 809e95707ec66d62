#include "answers/AnswerDurations.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace toucanstand {

AnswerDurations::InProgress::InProgress(AnswerDurations& aDurations,
                                        const Kind& aKind,
                                        TimePoint aBegin)
  : begins(aDurations.latest[{ aKind.pool, aKind.model }]
             .at(SizeClass(aKind.maxAnswerTokens))
             .begins)
  , position(this->begins->insert(aBegin))
{
}

AnswerDurations::InProgress::~InProgress()
{
  this->begins->erase(this->position);
}

void AnswerDurations::OnAnswered(const Kind& aKind, const Answer& aAnswer, TimePoint aNow)
{
  auto& bySize = this->latest[{ aKind.pool, aKind.model }];
  auto& ofSize = bySize.at(SizeClass(aKind.maxAnswerTokens));
  ofSize.mostEvents = std::max(ofSize.mostEvents, aAnswer.events);
  const Sample sample{ aAnswer, aNow };
  if (ofSize.samples.size() < kMaxSamples) {
    ofSize.samples.push_back(sample);
    return;
  }
  ofSize.samples.at(ofSize.oldest) = sample;
  ofSize.oldest = (ofSize.oldest + 1) % kMaxSamples;
}

std::optional<Duration> AnswerDurations::Longest(const Kind& aKind, TimePoint aNow) const
{
  const auto found = this->latest.find({ aKind.pool, aKind.model });
  if (found == this->latest.end()) {
    return std::nullopt;
  }
  const auto& bySize = found->second;
  for (auto size = SizeClass(aKind.maxAnswerTokens); size < bySize.size(); ++size) {
    if (const auto longest = LongestOf(bySize.at(size), aNow)) {
      return longest;
    }
  }
  return std::nullopt;
}

Duration AnswerDurations::LongestInProgress(const Kind& aKind, TimePoint aNow) const
{
  const auto found = this->latest.find({ aKind.pool, aKind.model });
  if (found == this->latest.end()) {
    return Duration::zero();
  }
  const auto& begins = found->second.at(SizeClass(aKind.maxAnswerTokens)).begins;
  return begins->empty() ? Duration::zero() : Duration(aNow - *begins->begin());
}

std::optional<Duration> AnswerDurations::LongestOf(const Latest& aLatest, TimePoint aNow)
{
  std::size_t count = 0;
  Duration longest{ 0 };
  Duration untilFirstEvent{ 0 };
  Duration betweenEvents{ 0 };
  std::size_t gaps = 0;
  for (const auto& [answer, at] : aLatest.samples) {
    if (aNow - at > kMaxAge) {
      continue;
    }
    ++count;
    longest = std::max(longest, answer.duration);
    untilFirstEvent = std::max(untilFirstEvent, answer.untilFirstEvent);
    if (answer.events > 1) {
      betweenEvents += answer.duration - answer.untilFirstEvent;
      gaps += answer.events - 1;
    }
  }
  if (count < kMinSamples) {
    return std::nullopt;
  }
  if (gaps == 0) {
    return longest;
  }
  // An answer with many events is rare, so the latest ones may contain none.
  const Duration largest =
    untilFirstEvent + betweenEvents / static_cast<std::int64_t>(gaps) *
                        static_cast<std::int64_t>(aLatest.mostEvents);
  return std::max(longest, largest);
}

std::size_t AnswerDurations::SizeClass(double aTokens)
{
  constexpr double kMaxTokens = 1U << (kSizeClasses - 1);
  const auto tokens = static_cast<std::uint32_t>(std::clamp(aTokens, 0.0, kMaxTokens));
  return std::min<std::size_t>(std::bit_width(tokens), kSizeClasses - 1);
}

} // namespace toucanstand
