#include <catch2/catch.hpp>

#include "answers/AnswerDurations.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow = TimePoint{} + 1000s;
const AnswerDurations::Kind kShort{ PoolId("engines"), "large", 60 };
const AnswerDurations::Kind kLong{ PoolId("engines"), "large", 500 };

void Answer(AnswerDurations& aDurations,
            const AnswerDurations::Kind& aKind,
            std::size_t aCount,
            Duration aDuration,
            TimePoint aNow = kNow)
{
  for (std::size_t number = 0; number < aCount; ++number) {
    aDurations.OnAnswered(aKind, { aDuration, aDuration, 0 }, aNow);
  }
}

} // namespace

TEST_CASE("Few answers say nothing about the next one", "[answers]")
{
  // Guards against a request that is taken on in a stop after one quick answer.
  AnswerDurations durations;
  CHECK_FALSE(durations.Longest(kShort, kNow));
  Answer(durations, kShort, AnswerDurations::kMinSamples - 1, 1s);
  CHECK_FALSE(durations.Longest(kShort, kNow));
  Answer(durations, kShort, 1, 1s);
  CHECK(durations.Longest(kShort, kNow) == Duration(1s));
}

TEST_CASE("The longest of the latest answers counts until others replace it", "[answers]")
{
  // Guards against an estimate that forgets a slow phase at once, or never.
  AnswerDurations durations;
  Answer(durations, kShort, 1, 9s);
  Answer(durations, kShort, AnswerDurations::kMaxSamples - 1, 1s);
  CHECK(durations.Longest(kShort, kNow) == Duration(9s));
  Answer(durations, kShort, 1, 1s);
  CHECK(durations.Longest(kShort, kNow) == Duration(1s));
}

TEST_CASE("Answers of other sizes, models and pools are told apart", "[answers]")
{
  // Guards against long requests that are taken on because short ones are quick.
  AnswerDurations durations;
  Answer(durations, kShort, AnswerDurations::kMinSamples, 1s);
  CHECK_FALSE(durations.Longest(kLong, kNow));
  CHECK_FALSE(durations.Longest({ PoolId("engines"), "small", 60 }, kNow));
  CHECK_FALSE(durations.Longest({ PoolId("others"), "large", 60 }, kNow));
  Answer(durations, kLong, AnswerDurations::kMinSamples, 4s);
  CHECK(durations.Longest(kLong, kNow) == Duration(4s));
  CHECK(durations.Longest(kShort, kNow) == Duration(1s));
}

TEST_CASE("An answer in progress counts as long as it has taken", "[answers]")
{
  // Guards against answers that are begun too late because servers have just slowed down.
  AnswerDurations durations;
  CHECK(durations.LongestInProgress(kShort, kNow) == Duration::zero());
  {
    const AnswerDurations::InProgress recent(durations, kShort, kNow - 100ms);
    const AnswerDurations::InProgress larger(durations, kLong, kNow - 5s);
    CHECK(durations.LongestInProgress(kShort, kNow) == Duration(100ms));
    const AnswerDurations::InProgress slow(durations, kShort, kNow - 2s);
    CHECK(durations.LongestInProgress(kShort, kNow) == Duration(2s));
  }
  CHECK(durations.LongestInProgress(kShort, kNow) == Duration::zero());
}

TEST_CASE("A size without answers takes the duration of the next larger one", "[answers]")
{
  // Guards against an estimate that is too short because it comes from smaller answers.
  AnswerDurations durations;
  Answer(durations, kLong, AnswerDurations::kMinSamples, 4s);
  CHECK(durations.Longest(kShort, kNow) == Duration(4s));
  const AnswerDurations::Kind beyondAll{ PoolId("engines"), "large", 1e30 };
  CHECK_FALSE(durations.Longest(beyondAll, kNow));
  Answer(durations, beyondAll, AnswerDurations::kMinSamples, 8s);
  CHECK(durations.Longest(beyondAll, kNow) == Duration(8s));
}

TEST_CASE("Old answers say nothing about the present speed of servers", "[answers]")
{
  // Guards against one slow minute that counts until enough later answers replace it.
  AnswerDurations durations;
  Answer(durations, kShort, AnswerDurations::kMinSamples, 9s, kNow - 61s);
  CHECK_FALSE(durations.Longest(kShort, kNow));
  Answer(durations, kShort, AnswerDurations::kMinSamples, 1s);
  CHECK(durations.Longest(kShort, kNow) == Duration(1s));
}

TEST_CASE("The rare answer with many events counts at the pace of the latest ones",
          "[answers]")
{
  // Guards against an estimate that is too short as the latest answers are all short.
  AnswerDurations durations;
  durations.OnAnswered(kShort, { 2500ms, 500ms, 41 }, kNow - 120s);
  for (std::size_t number = 0; number < AnswerDurations::kMinSamples; ++number) {
    durations.OnAnswered(kShort, { 1300ms, 300ms, 11 }, kNow);
  }
  CHECK(durations.Longest(kShort, kNow) == Duration(300ms + 41 * 100ms));
}
