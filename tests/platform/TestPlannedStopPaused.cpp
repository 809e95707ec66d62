#include <algorithm>
#include <csignal>
#include <vector>

#include <catch2/catch.hpp>

#include "support/AnswerLog.h"
#include "support/ParallelCallers.h"
#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// A process that does not run for a part of its stop, as on a starved processor, while
// backend servers end their answers.

namespace {

constexpr auto kStopPeriod = 4000ms;
constexpr auto kLongPeriod = 8000ms;
constexpr auto kEventInterval = 40ms;
constexpr int kCallers = 24;
/// Callers send their requests this long before the signal.
constexpr auto kBeforeSignal = 400ms;

/// A time in which the process does not run, from the signal on.
struct Pause
{
  milliseconds begin;
  milliseconds end;
};

PlannedStop::Options ManyEngines()
{
  PlannedStop::Options options;
  options.engines = 8;
  options.groups = 4;
  return options;
}

/// A VM that is paused during its stop, and callers whose answers end meanwhile.
class PausedStop
{
public:
  /// @param aAnswerEnd time after the signal at which servers end their answers
  PausedStop(milliseconds aAnswerEnd, std::size_t aPadding)
    : stop(kStopPeriod, aAnswerEnd + kBeforeSignal, ManyEngines())
    , events(static_cast<int>((aAnswerEnd + kBeforeSignal) / kEventInterval))
    , wholeStream(BackendServerStandin::CompleteStream(this->events, aPadding))
  {
    this->stop.ForEachEngine([this, aPadding](BackendServerStandin& aEngine) {
      aEngine.eventCount = this->events;
      aEngine.eventInterval = kEventInterval;
      aEngine.eventPadding = aPadding;
    });
    this->stop.ForEachService([aAnswerEnd](BackendServerStandin& aService) {
      aService.answerDelay = aAnswerEnd + kBeforeSignal;
    });
  }

  /// Each caller sends the request that the function makes of its id.
  void Run(std::string (*aMakeRequest)(const std::string&),
           const std::vector<Pause>& aPauses)
  {
    this->stop.PlanSignal(1000ms);
    ParallelCallers callers;
    for (int number = 0; number < kCallers; ++number) {
      callers.Start([this, number, aMakeRequest] {
        const auto id = "caller-" + std::to_string(number);
        this->stop.WaitUntil(-kBeforeSignal - milliseconds(number));
        CallerConnection caller(this->stop.server.listenEndpoint);
        caller.Send(aMakeRequest(id));
        this->log.Add(id, caller.ReadAnswer(PlannedStop::kPatience));
      });
    }
    this->stop.SendPlannedSignal();
    for (const auto& pause : aPauses) {
      this->stop.WaitUntil(pause.begin);
      this->stop.server.process->Signal(SIGSTOP);
      this->stop.WaitUntil(pause.end);
      this->stop.server.process->Signal(SIGCONT);
    }
    callers.WaitForAll();
  }

  /// Checks that every request that ran got its whole answer, and that most did run.
  /// @param aWhole body of a whole answer; any if empty
  void Check(const std::string& aWhole)
  {
    int served = 0;
    for (const auto& [id, answer] : this->log.Answers()) {
      INFO(id << " status " << answer.status << " bytes " << answer.body.size());
      CHECK(answer.isComplete);
      const bool isRefused = answer.status == 503 && !this->stop.HasRun(id);
      CHECK((answer.status == 200 || isRefused));
      if (answer.status == 200) {
        ++served;
        CHECK((aWhole.empty() || answer.body == aWhole));
      }
    }
    CHECK(served >= kCallers / 2);
    CHECK(this->stop.server.process->Wait() == 0);
    CHECK(this->stop.SinceSignal() < kStopPeriod);
  }

  PlannedStop stop;
  int events;
  std::string wholeStream;

private:
  AnswerLog log;
};

std::string MakeCall(const std::string& aId)
{
  return PlannedStop::ServiceRequest("POST", "/holds/1", aId);
}

} // namespace

TEST_CASE("Streams that end while a stopping process is paused reach their callers",
          "[stop]")
{
  // Guards against a late event loop that cuts what its servers have already sent.
  const auto [end, pause] = GENERATE(std::pair{ 3200ms, Pause{ 2800ms, 3750ms } },
                                     std::pair{ 3560ms, Pause{ 3540ms, 3750ms } });
  const auto padding = GENERATE(std::size_t{ 0 }, std::size_t{ 300 });
  INFO("end " << end.count() << ", padding " << padding);
  PausedStop paused(end, padding);
  paused.Run(&PlannedStop::StreamRequest, { pause });
  paused.Check(paused.wholeStream);
}

TEST_CASE(
  "Answers of services that come while a stopping process is paused are delivered",
  "[stop]")
{
  // Guards against a final answer in place of one that lies unread in a socket.
  PausedStop paused(3200ms, 0);
  paused.Run(&MakeCall, { { 2800ms, 3750ms } });
  paused.Check("");
}

TEST_CASE("Streams are whole although a stopping process runs a twentieth of the time",
          "[stop]")
{
  // Guards against a starved process that ends its drain with answers in its sockets.
  std::vector<Pause> pauses;
  for (auto at = 0ms; at < kStopPeriod - 300ms; at += 100ms) {
    pauses.push_back({ at, at + 95ms });
  }
  PausedStop paused(3200ms, 300);
  paused.Run(&PlannedStop::StreamRequest, pauses);
  paused.Check(paused.wholeStream);
}

TEST_CASE("Calls are answered although the process was paused when the signal came",
          "[stop]")
{
  // Guards against a stop period that is counted from when a late process sees the
  // signal.
  constexpr auto kWakesAt = 1300ms;
  // Too late after the signal to be excused, with a deadline beyond the stop period.
  constexpr auto kSentAt = 3200ms;
  PlannedStop stop(kLongPeriod, 1000ms);
  stop.ForEachService([](BackendServerStandin& aService) {
    aService.answerDelay = PlannedStop::kPatience;
  });
  const HttpHeaders headers = { { "Host", "api.example" },
                                { "X-Attempt-Id", "late" },
                                { "X-Deadline-Ms", "5000" },
                                { "Authorization", "Bearer key-1" } };
  const auto call = RequestText("POST", "/holds/1", headers, "body");
  stop.PlanSignal(500ms);
  stop.WaitUntil(-50ms);
  stop.server.process->Signal(SIGSTOP);
  stop.SendPlannedSignal();
  stop.WaitUntil(kWakesAt);
  stop.server.process->Signal(SIGCONT);
  stop.WaitUntil(kSentAt);
  CallerConnection caller(stop.server.listenEndpoint);
  ParallelCallers platform;
  platform.Start([&stop] {
    stop.WaitUntil(kLongPeriod);
    stop.server.process->Signal(SIGKILL);
  });
  REQUIRE(caller.Send(call));
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  platform.WaitForAll();
  INFO("status " << answer.status << " end " << static_cast<int>(answer.end));
  CHECK(answer.isComplete);
  CHECK((answer.status != 503 || !stop.HasRun("late")));
}
