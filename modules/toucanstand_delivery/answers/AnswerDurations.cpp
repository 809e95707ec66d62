#include "answers/AnswerDurations.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <ranges>

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

void AnswerDurations::OnAnswered(const Kind& aKind, Duration aDuration, TimePoint aNow)
{
  auto& bySize = this->latest[{ aKind.pool, aKind.model }];
  auto& ofSize = bySize.at(SizeClass(aKind.maxAnswerTokens));
  const Sample sample{ aDuration, aNow };
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
  auto recent = aLatest.samples | std::views::filter([aNow](const Sample& aSample) {
                  return aNow - aSample.at <= kMaxAge;
                });
  if (static_cast<std::size_t>(std::ranges::distance(recent)) < kMinSamples) {
    return std::nullopt;
  }
  return std::ranges::max(recent | std::views::transform(&Sample::duration));
}

std::size_t AnswerDurations::SizeClass(double aTokens)
{
  constexpr double kMaxTokens = 1U << (kSizeClasses - 1);
  const auto tokens = static_cast<std::uint32_t>(std::clamp(aTokens, 0.0, kMaxTokens));
  return std::min<std::size_t>(std::bit_width(tokens), kSizeClasses - 1);
}

} // namespace toucanstand
