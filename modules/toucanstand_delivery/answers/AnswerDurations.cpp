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

AnswerDurations::InProgress::InProgress(AnswerDurations& aDurations,
                                        const Kind& aKind,
                                        TimePoint aBegin)
  : begins(aDurations.samples[{ aKind.pool, aKind.model }]
             .at(SizeClass(aKind.maxAnswerTokens))
             .begins)
  , position(this->begins->insert(aBegin))
{
}

AnswerDurations::InProgress::~InProgress()
{
  this->begins->erase(this->position);
}

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
  if (!longest) {
    return false;
  }
  // Servers that have just slowed down show it in the answers in progress first.
  const auto expected = std::max(*longest, this->LongestInProgress(aKind, aNow));
  return aNow + FromSeconds(ToSeconds(expected) * kTimeMargin) <= aEnd;
}

Duration AnswerDurations::LongestInProgress(const Kind& aKind, TimePoint aNow) const
{
  const auto found = this->samples.find({ aKind.pool, aKind.model });
  if (found == this->samples.end()) {
    return Duration::zero();
  }
  const auto& begins = found->second.at(SizeClass(aKind.maxAnswerTokens)).begins;
  return begins->empty() ? Duration::zero() : Duration(aNow - *begins->begin());
}

std::size_t AnswerDurations::SizeClass(double aTokens)
{
  constexpr double kMaxTokens = 1U << (kSizeClasses - 1);
  const auto tokens = static_cast<std::uint32_t>(std::clamp(aTokens, 0.0, kMaxTokens));
  return std::min<std::size_t>(std::bit_width(tokens), kSizeClasses - 1);
}

} // namespace toucanstand
