#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "EngineModel.h"
#include "common/TokenFunction.h"
#include "random/Random.h"

using namespace toucanstand;
using std::chrono::milliseconds;

namespace {

EngineRequest Chat(const std::string& aId,
                   std::uint64_t aTokens,
                   std::int64_t aPriority = 0)
{
  EngineRequest request;
  request.id = aId;
  request.prompt = "user: " + aId + "\n";
  request.maxTokens = aTokens;
  request.priority = aPriority;
  return request;
}

} // namespace

TEST_CASE("Every accepted run ends once, with its own tokens in order", "[engine]")
{
  // Guards against tokens that are lost, repeated or mixed between runs of one batch
  // while requests arrive, are cancelled, disconnect and resume at random.
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    EngineSettings settings;
    settings.slots = 3;
    settings.queueLimit = 4;
    EngineModel engine(settings);
    TimePoint now{};
    std::map<std::uint64_t, EngineRequest> open;
    std::map<std::uint64_t, std::uint64_t> next;
    const auto absorb = [&](const EngineOutput& aOutput) {
      for (const auto& token : aOutput.tokens) {
        REQUIRE(open.contains(token.run));
        REQUIRE(token.index == next[token.run]++);
        REQUIRE(token.text == TokenText(open[token.run].prompt, token.index));
      }
      for (const auto run : aOutput.finished) {
        REQUIRE(next[run] == open[run].maxTokens);
        REQUIRE(open.erase(run) == 1);
      }
    };
    for (int step = 0; step < 60; ++step) {
      now += milliseconds(random.Below(30));
      absorb(engine.Advance(now));
      const auto id = "r" + std::to_string(step);
      auto request = Chat(id, 1 + random.Below(10), random.Below(3));
      request.resumeOffset = random.Below(request.maxTokens);
      EngineRejection rejection{};
      const auto run = engine.Submit(request, now, rejection);
      REQUIRE((run.has_value() || rejection == EngineRejection::QueueFull));
      if (run) {
        open[*run] = request;
        next[*run] = request.resumeOffset;
      }
      if (!open.empty() && random.Below(4) == 0) {
        const auto victim = open.begin()->first;
        if (random.Below(2) == 0) {
          REQUIRE(engine.Cancel(open[victim].id, now).size() == 1);
        } else {
          engine.Disconnect(victim, true, now);
        }
        open.erase(victim);
      }
    }
    while (const auto due = engine.NextEvent()) {
      now = *due;
      absorb(engine.Advance(now));
    }
    REQUIRE(open.empty());
  }
}

TEST_CASE("A full engine runs the queue by priority and each request slower", "[engine]")
{
  // Guards against a queue that ignores priorities and a batch that costs nothing.
  EngineSettings settings;
  settings.slots = 2;
  settings.queueLimit = 2;
  settings.prefill = milliseconds(0);
  settings.tokensPerSecond = 100;
  settings.batchSlowdown = 1;
  EngineModel engine(settings);
  TimePoint now{};
  EngineRejection rejection{};
  REQUIRE(engine.Submit(Chat("a", 2), now, rejection) == 1);
  CHECK(engine.NextEvent() == now + milliseconds(10));
  REQUIRE(engine.Submit(Chat("b", 2), now, rejection) == 2);
  REQUIRE(engine.Submit(Chat("low", 1, 1), now, rejection) == 3);
  REQUIRE(engine.Submit(Chat("high", 1, 5), now, rejection) == 4);
  CHECK_FALSE(engine.Submit(Chat("surplus", 1, 9), now, rejection).has_value());
  CHECK(rejection == EngineRejection::QueueFull);

  std::vector<std::uint64_t> finished;
  while (const auto due = engine.NextEvent()) {
    now = *due;
    const auto output = engine.Advance(now);
    finished.insert(finished.end(), output.finished.begin(), output.finished.end());
  }
  CHECK(finished == std::vector<std::uint64_t>{ 1, 2, 4, 3 });
  CHECK(now == TimePoint{} + milliseconds(10 + 20 + 20));
}

TEST_CASE("Orders take effect after the load time and only with a current fence",
          "[engine]")
{
  // Guards against an engine that serves two generations and against stale controllers.
  EngineSettings settings;
  settings.load = milliseconds(100);
  EngineModel engine(settings);
  TimePoint now{};
  REQUIRE(engine.Order({ 5, "g", 2, {}, "m" }, now) == OrderReply::Accepted);
  CHECK(engine.Order({ 4, "h", 1, {}, "m" }, now) == OrderReply::StaleFence);
  EngineRejection rejection{};
  const auto early = engine.Submit(Chat("early", 1000), now, rejection);
  REQUIRE(early.has_value());

  now += milliseconds(100);
  CHECK(engine.Advance(now).aborted == std::vector<std::uint64_t>{ *early });
  CHECK(engine.State(now)["group"] == "g");
  auto request = Chat("late", 1);
  request.group = "g";
  request.generation = 1;
  CHECK_FALSE(engine.Submit(request, now, rejection).has_value());
  CHECK(rejection == EngineRejection::WrongGroup);

  engine.Crash(now);
  CHECK(engine.State(now)["fence"] == 0);
  CHECK(engine.Log(now)["orders"].size() == 2);
}

TEST_CASE("The load in the state lags, and time after a disconnect is accounted",
          "[engine]")
{
  // Guards against a test engine that is kinder than the real ones.
  EngineSettings settings;
  settings.reportLag = milliseconds(50);
  EngineModel engine(settings);
  TimePoint now = TimePoint{} + std::chrono::seconds(1);
  EngineRejection rejection{};
  const auto run = engine.Submit(Chat("a", 1000), now, rejection);
  CHECK(engine.State(now + milliseconds(49))["running"] == 0);
  CHECK(engine.State(now + milliseconds(50))["running"] == 1);
  engine.Disconnect(*run, false, now + milliseconds(60));
  const auto log = engine.Log(now + milliseconds(100));
  CHECK(log["after_disconnect_ms"] == Approx(40));
  CHECK(log["abandoned_ms"] == Approx(100));
}
