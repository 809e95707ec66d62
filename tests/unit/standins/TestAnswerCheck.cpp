#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "AnswerCheck.h"
#include "LoadPlan.h"
#include "LoadResult.h"
#include "common/ServiceAnswer.h"
#include "common/TokenFunction.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr std::uint64_t kTokens = 4;

LoadPlan Plan()
{
  const auto document = json::parse(R"({
    "seed": 3, "targets": ["127.0.0.1:1"],
    "phases": [{"rate": 0, "end_rate": 200, "duration_ms": 10000},
               {"rate": 0, "duration_ms": 5000}, {"rate": 50, "duration_ms": 10000}],
    "accounts": [{"name": "large", "weight": 3}, {"name": "small"}],
    "requests": [{"name": "chat", "kind": "chat", "max_tokens": 4, "timeout_ms": 100},
                 {"name": "order", "kind": "order", "timeout_ms": 100}]})");
  SettingsReader reader(document);
  auto plan = ReadLoadPlan(reader);
  reader.Finish();
  REQUIRE(reader.Errors().empty());
  return plan;
}

LoadRequest Draw(const LoadPlan& aPlan, std::size_t aProfile)
{
  Random random(aPlan.seed);
  LoadRequest request;
  do {
    request = DrawRequest(aPlan, 7, random);
  } while (request.profile != aProfile);
  return request;
}

std::string Event(const LoadRequest& aRequest, std::uint64_t aIndex)
{
  const json event = { { "id", "x" },
                       { "index", aIndex },
                       { "token", TokenText(aRequest.prompt, aIndex) } };
  return "data: " + event.dump() + "\n\n";
}

AnswerVerdict Judge(const LoadPlan& aPlan,
                    const LoadRequest& aRequest,
                    const ReplyHead& aHead,
                    const std::string& aBody,
                    bool aComplete = true)
{
  AnswerCheck check(aRequest, aPlan.requests[aRequest.profile], true);
  check.Head(aHead);
  // Byte by byte, because events may be split anywhere.
  std::ranges::for_each(
    aBody, [&check](const char& aByte) { check.Body(std::string_view(&aByte, 1)); });
  return check.Finish(aComplete);
}

} // namespace

TEST_CASE("Only the complete answer to the request counts as answered", "[load]")
{
  // Guards against a generator that accepts truncated, reordered or foreign answers.
  const auto plan = Plan();
  const auto request = Draw(plan, 0);
  const ReplyHead head{ 200, "answered", false, true };
  std::string stream;
  for (std::uint64_t index = 0; index < kTokens; ++index) {
    stream += Event(request, index);
  }
  const std::string done = "data: [DONE]\n\n";
  const auto judge = [&](const std::string& aBody, bool aComplete = true) {
    return Judge(plan, request, head, aBody, aComplete);
  };
  CHECK(judge(stream + done) == AnswerVerdict::Answered);
  CHECK(judge(stream) == AnswerVerdict::Unknown);
  CHECK(judge(stream + "event: error\ndata: {}\n\n") == AnswerVerdict::Unknown);
  CHECK(judge(Event(request, 0) + done) == AnswerVerdict::Wrong);
  CHECK(judge(Event(request, 1)) == AnswerVerdict::Wrong);
  CHECK(judge(stream + Event(request, kTokens) + done) == AnswerVerdict::Wrong);
  auto other = request;
  other.prompt = "user: somebody else\n";
  CHECK(judge(Event(other, 0), false) == AnswerVerdict::Wrong);
  CHECK(Judge(plan, request, { 200, "", false, true }, stream + done) ==
        AnswerVerdict::Wrong);

  const json whole = {
    { "choices",
      { { { "message", { { "content", AnswerText(request.prompt, kTokens) } } } } } }
  };
  const ReplyHead wholeHead{ 200, "answered", false, false };
  CHECK(Judge(plan, request, wholeHead, whole.dump()) == AnswerVerdict::Answered);
  CHECK(Judge(plan, request, wholeHead, whole.dump(), false) == AnswerVerdict::Unknown);
  CHECK(Judge(plan, request, wholeHead, "{}") == AnswerVerdict::Wrong);

  const auto order = Draw(plan, 1);
  CHECK_FALSE(order.idempotencyKey.empty());
  CHECK(Judge(plan, order, wholeHead, ServiceAnswer(order.path, order.body)) ==
        AnswerVerdict::Answered);
  CHECK(Judge(plan, order, wholeHead, ServiceAnswer(order.path, "")) ==
        AnswerVerdict::Wrong);
  CHECK(Judge(plan, order, { 429, "not-run" }, "") == AnswerVerdict::Refused);
  CHECK(Judge(plan, order, { 400, "not-run" }, "") == AnswerVerdict::NotRun);
  CHECK(Judge(plan, order, { 503, "" }, "") == AnswerVerdict::Unknown);
}

TEST_CASE("Arrivals follow the ramp and do not depend on answers", "[load]")
{
  // Guards against a schedule whose rate is off, and against one that a seed does not
  // replay. Expected: 1,000 on the ramp, 0 in the pause, 500 after it.
  const auto plan = Plan();
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    Random again(seed);
    ArrivalSchedule schedule(plan, random);
    ArrivalSchedule replay(plan, again);
    int ramp = 0;
    int firstHalf = 0;
    int pause = 0;
    int last = 0;
    while (const auto at = schedule.Next()) {
      REQUIRE(replay.Next() == at);
      const double time = ToSeconds(*at);
      firstHalf += time < 5 ? 1 : 0;
      ramp += time < 10 ? 1 : 0;
      pause += time >= 10 && time < 15 ? 1 : 0;
      last += time >= 15 ? 1 : 0;
    }
    CHECK(ramp == Approx(1000).margin(160));
    CHECK(firstHalf == Approx(250).margin(80));
    CHECK(pause == 0);
    CHECK(last == Approx(500).margin(115));
  }
}

TEST_CASE("Late, abandoned and wrong answers earn nothing", "[load]")
{
  // Guards against a worth per second that counts answers nobody waited for.
  const auto plan = Plan();
  LoadResult result(plan);
  LoadSample sample;
  sample.account = "small";
  sample.verdict = AnswerVerdict::Answered;
  sample.latency = std::chrono::milliseconds(99);
  result.Record(sample);
  sample.latency = std::chrono::milliseconds(101);
  result.Record(sample);
  sample.abandoned = true;
  result.Record(sample);
  CHECK_FALSE(result.AnyWrong());
  sample.verdict = AnswerVerdict::Wrong;
  result.Record(sample);
  CHECK(result.AnyWrong());
  const auto described = result.Describe();
  CHECK(described["worth_in_time_per_second"] == Approx(1.0 / 25));
  CHECK(described["total"]["late"] == 1);
  CHECK(described["total"]["abandoned"] == 1);
  CHECK(described["kinds"]["chat"]["counts"]["wrong"] == 1);
}
