#include <catch2/catch.hpp>

#include "answers/AnswerDurations.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const AnswerDurations::Kind kShort{ PoolId("engines"), "large", 60 };
const AnswerDurations::Kind kLong{ PoolId("engines"), "large", 500 };

void Answer(AnswerDurations& aDurations,
            const AnswerDurations::Kind& aKind,
            std::size_t aCount,
            Duration aDuration)
{
  for (std::size_t number = 0; number < aCount; ++number) {
    aDurations.OnAnswered(aKind, aDuration);
  }
}

} // namespace

TEST_CASE("Few answers say nothing about the next one", "[answers]")
{
  // Guards against a request that is taken on in a stop after one quick answer.
  AnswerDurations durations;
  CHECK_FALSE(durations.Longest(kShort));
  Answer(durations, kShort, AnswerDurations::kMinSamples - 1, 1s);
  CHECK_FALSE(durations.Longest(kShort));
  Answer(durations, kShort, 1, 1s);
  CHECK(durations.Longest(kShort) == Duration(1s));
}

TEST_CASE("The longest of the latest answers counts until others replace it", "[answers]")
{
  // Guards against an estimate that forgets a slow phase at once, or never.
  AnswerDurations durations;
  Answer(durations, kShort, 1, 9s);
  Answer(durations, kShort, AnswerDurations::kMaxSamples - 1, 1s);
  CHECK(durations.Longest(kShort) == Duration(9s));
  Answer(durations, kShort, 1, 1s);
  CHECK(durations.Longest(kShort) == Duration(1s));
}

TEST_CASE("Answers of other sizes, models and pools are told apart", "[answers]")
{
  // Guards against long requests that are taken on because short ones are quick.
  AnswerDurations durations;
  Answer(durations, kShort, AnswerDurations::kMinSamples, 1s);
  CHECK_FALSE(durations.Longest(kLong));
  CHECK_FALSE(durations.Longest({ PoolId("engines"), "small", 60 }));
  CHECK_FALSE(durations.Longest({ PoolId("others"), "large", 60 }));
  Answer(durations, kLong, AnswerDurations::kMinSamples, 4s);
  CHECK(durations.Longest(kLong) == Duration(4s));
  CHECK(durations.Longest(kShort) == Duration(1s));
}

TEST_CASE("An answer ends in time if its deadline or the latest ones say so", "[answers]")
{
  // Guards against answers that are begun too late, and against refusals of those that
  // have time.
  AnswerDurations durations;
  const TimePoint now(100s);
  CHECK(durations.CanEndBy(now + 2s, kShort, now + 2s, now));
  CHECK_FALSE(durations.CanEndBy(now + 2s, kShort, now + 3s, now));
  Answer(durations, kShort, AnswerDurations::kMinSamples, 1s);
  CHECK(durations.CanEndBy(now + 1500ms, kShort, now + 3s, now));
  CHECK_FALSE(durations.CanEndBy(now + 1499ms, kShort, now + 3s, now));
}

TEST_CASE("An answer in progress that takes longer than the others counts", "[answers]")
{
  // Guards against answers that are begun too late because servers have just slowed down.
  AnswerDurations durations;
  Answer(durations, kShort, AnswerDurations::kMinSamples, 1s);
  const TimePoint begin(100s);
  const auto now = begin + 2s;
  const auto canEndBy = [&](Duration aLeft) {
    return durations.CanEndBy(now + aLeft, kShort, now + 20s, now);
  };
  {
    const AnswerDurations::InProgress recent(durations, kShort, begin + 1900ms);
    const AnswerDurations::InProgress longer(durations, kLong, begin - 5s);
    CHECK(canEndBy(1500ms));
    const AnswerDurations::InProgress slow(durations, kShort, begin);
    CHECK_FALSE(canEndBy(2999ms));
    CHECK(canEndBy(3s));
  }
  CHECK(canEndBy(1500ms));
}

TEST_CASE("A size without answers takes the duration of the next larger one", "[answers]")
{
  // Guards against an estimate that is too short because it comes from smaller answers.
  AnswerDurations durations;
  Answer(durations, kLong, AnswerDurations::kMinSamples, 4s);
  CHECK(durations.Longest(kShort) == Duration(4s));
  const AnswerDurations::Kind beyondAll{ PoolId("engines"), "large", 1e30 };
  CHECK_FALSE(durations.Longest(beyondAll));
  Answer(durations, beyondAll, AnswerDurations::kMinSamples, 8s);
  CHECK(durations.Longest(beyondAll) == Duration(8s));
}
