#include "answers/AnswerDurations.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace toucanstand {

namespace {

/// An answer may take this many times the longest of the latest ones, for example because
/// its server has slowed down.
constexpr double kTimeMargin = 1.5;

} // namespace

void AnswerDurations::OnAnswered(const Kind& aKind, Duration aDuration)
{
  auto& bySize = this->samples[{ aKind.pool, aKind.model }];
  auto& latest = bySize.at(SizeClass(aKind.maxAnswerTokens));
  if (latest.durations.size() < kMaxSamples) {
    latest.durations.push_back(aDuration);
    return;
  }
  latest.durations.at(latest.oldest) = aDuration;
  latest.oldest = (latest.oldest + 1) % kMaxSamples;
}

std::optional<Duration> AnswerDurations::Longest(const Kind& aKind) const
{
  const auto found = this->samples.find({ aKind.pool, aKind.model });
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  const auto& bySize = found->second;
  const auto first =
    bySize.begin() + static_cast<std::ptrdiff_t>(SizeClass(aKind.maxAnswerTokens));
  const auto known = std::find_if(first, bySize.end(), [](const Samples& aSamples) {
    return aSamples.durations.size() >= kMinSamples;
  });
  return known == bySize.end()
           ? std::nullopt
           : std::optional(*std::ranges::max_element(known->durations));
}

bool AnswerDurations::CanEndBy(TimePoint aEnd,
                               const Kind& aKind,
                               TimePoint aDeadline,
                               TimePoint aNow) const
{
  if (aDeadline <= aEnd) {
    return true;
  }
  const auto longest = this->Longest(aKind);
  return longest && aNow + FromSeconds(ToSeconds(*longest) * kTimeMargin) <= aEnd;
}

std::size_t AnswerDurations::SizeClass(double aTokens)
{
  constexpr double kMaxTokens = 1U << (kSizeClasses - 1);
  const auto tokens = static_cast<std::uint32_t>(std::clamp(aTokens, 0.0, kMaxTokens));
  return std::min<std::size_t>(std::bit_width(tokens), kSizeClasses - 1);
}

} // namespace toucanstand
