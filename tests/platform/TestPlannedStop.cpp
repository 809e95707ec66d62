#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longer than any wait for an answer in these tests.
constexpr milliseconds kPatience = 20s;
constexpr auto kTarget = "/chat/1";

/// One VM that is stopped while callers send requests, and the platform around it.
class PlannedStop
{
public:
  /// @param aStreamDuration time from the first to the last event of each stream
  PlannedStop(milliseconds aStopPeriod, milliseconds aStreamDuration)
    : platform(4)
    , server(this->platform, "vm-1", this->platform.Store().Address(), aStopPeriod)
    , stopPeriod(aStopPeriod)
  {
    static constexpr milliseconds kInterval = 200ms;
    this->eventCount = static_cast<int>(aStreamDuration / kInterval);
    this->ForEachEngine([this](BackendServerStandin& aEngine) {
      aEngine.eventInterval = kInterval;
      aEngine.eventCount = this->eventCount;
    });
    auto configuration = PlatformStandin::DefaultConfiguration(2);
    for (auto& route : configuration["Routes"]) {
      route["TimeoutMs"] = 20'000;
    }
    this->platform.WriteConfiguration(2, { { "Routes", configuration["Routes"] } });
    this->server.WaitForGroups(2);
  }

  void ForEachEngine(const std::function<void(BackendServerStandin&)>& aChange)
  {
    this->platform.RunOnLoop([&] {
      for (int number = 0; number < 4; ++number) {
        aChange(this->platform.BackendServer("engine-" + std::to_string(number)));
      }
    });
  }

  void SendSignal()
  {
    this->signalledAt = std::chrono::steady_clock::now();
    this->server.process->Signal(SIGTERM);
  }

  void WaitUntil(milliseconds aAfterSignal) const
  {
    std::this_thread::sleep_until(this->signalledAt + aAfterSignal);
  }

  [[nodiscard]] std::string WholeStream() const
  {
    return BackendServerStandin::CompleteStream(this->eventCount);
  }

  /// Checks that the caller got a whole answer: the stream, or a refusal that is true.
  void CheckWhole(const ReceivedAnswer& aAnswer, const std::string& aAttemptId)
  {
    INFO(aAttemptId << " status " << aAnswer.status << " bytes " << aAnswer.body.size());
    CHECK(aAnswer.isComplete);
    CHECK((aAnswer.status == 200 || aAnswer.status == 503));
    if (aAnswer.status == 200) {
      CHECK(aAnswer.body == this->WholeStream());
    } else {
      const auto runs = this->platform.Runs();
      CHECK(std::ranges::none_of(runs, [&aAttemptId](const RecordedRun& aRun) {
        return aRun.attemptId == aAttemptId;
      }));
    }
  }

  PlatformStandin platform;
  ServerUnderTest server;
  milliseconds stopPeriod;
  int eventCount = 0;
  std::chrono::steady_clock::time_point signalledAt;
};

HttpHeaders Headers(const std::string& aAttemptId)
{
  const auto usual = ServerUnderTest::GenerationHeaders(aAttemptId);
  HttpHeaders headers;
  for (const auto& [name, value] : usual.Fields()) {
    headers.Add(name, name == "X-Deadline-Ms" ? "20000" : value);
  }
  return headers;
}

std::string Request(const std::string& aAttemptId)
{
  return RequestText("POST", kTarget, Headers(aAttemptId), "prompt " + aAttemptId);
}

} // namespace

TEST_CASE("A request whose body arrives during a planned stop gets a whole answer",
          "[stop]")
{
  // Guards against requests that begin so late that the end of the drain cuts them off.
  const auto stopPeriod = GENERATE(2000ms, 8000ms);
  INFO("stop period " << stopPeriod.count() << " ms");
  PlannedStop stop(stopPeriod, stopPeriod / 2);
  constexpr std::array kLastBytes = { 0.05, 0.15, 0.30, 0.40, 0.50, 0.65, 0.75, 0.82 };
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (std::size_t number = 0; number < kLastBytes.size(); ++number) {
    connections.push_back(std::make_unique<CallerConnection>(stop.server.listenEndpoint));
    const auto name = "body-" + std::to_string(number);
    REQUIRE(connections.back()->Send(ChunkedRequestHead("POST", kTarget, Headers(name)) +
                                     ChunkText("prompt ")));
  }
  stop.SendSignal();
  std::vector<std::future<ReceivedAnswer>> answers;
  for (std::size_t number = 0; number < kLastBytes.size(); ++number) {
    answers.push_back(std::async(std::launch::async, [&, number] {
      stop.WaitUntil(
        std::chrono::duration_cast<milliseconds>(kLastBytes.at(number) * stopPeriod));
      connections[number]->Send(ChunkText("end") + ChunkText(""));
      return connections[number]->ReadAnswer(kPatience);
    }));
  }
  for (std::size_t number = 0; number < answers.size(); ++number) {
    stop.CheckWhole(answers[number].get(), "body-" + std::to_string(number));
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request on a connection that the last answer kept gets a whole answer",
          "[stop]")
{
  // Guards against a VM that closes a connection although the head of its last answer,
  // sent before the stop, said that it stays open.
  PlannedStop stop(8000ms, 4000ms);
  constexpr std::array kStarts = { 2600ms, 2200ms, 1800ms, 1200ms };
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    connections.push_back(std::make_unique<CallerConnection>(stop.server.listenEndpoint));
  }
  std::vector<std::future<void>> callers;
  std::vector<ReceivedAnswer> first(kStarts.size());
  std::vector<ReceivedAnswer> second(kStarts.size());
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    callers.push_back(std::async(std::launch::async, [&, number] {
      const auto name = std::to_string(number);
      std::this_thread::sleep_until(begin + kStarts.front() - kStarts.at(number));
      auto& connection = *connections[number];
      connection.Send(Request("first-" + name));
      first[number] = connection.ReadAnswer(kPatience);
      connection.Send(Request("next-" + name));
      second[number] = connection.ReadAnswer(kPatience);
    }));
  }
  std::this_thread::sleep_until(begin + kStarts.front());
  stop.SendSignal();
  std::ranges::for_each(callers, [](auto& aCaller) { aCaller.get(); });
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    const auto name = std::to_string(number);
    CHECK(first[number].status == 200);
    CHECK_FALSE(first[number].ClosesConnection());
    stop.CheckWhole(first[number], "first-" + name);
    stop.CheckWhole(second[number], "next-" + name);
    CHECK(second[number].ClosesConnection());
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("The end of an answer is not lost to bytes that the caller sent after its "
          "request",
          "[stop]")
{
  // Guards against a close with unread input, on which the kernel drops the bytes of the
  // answer that the caller has not read yet.
  const std::string trailing = GENERATE("", "\r\n", "next request");
  INFO("trailing bytes: " << trailing.size());
  PlannedStop stop(8000ms, 1000ms);
  constexpr std::size_t kPadding = 150'000;
  constexpr int kSmallBuffer = 4096;
  stop.ForEachEngine(
    [](BackendServerStandin& aEngine) { aEngine.eventPadding = kPadding; });
  CallerConnection caller(stop.server.listenEndpoint, kSmallBuffer);
  REQUIRE(caller.Send(Request("tail")));
  std::this_thread::sleep_for(300ms);
  stop.SendSignal();
  caller.Send(trailing == "next request" ? Request("pipelined") : trailing);
  std::this_thread::sleep_for(2000ms);
  const auto answer = caller.ReadAnswer(kPatience);
  CHECK(answer.status == 200);
  CHECK(answer.isComplete);
  CHECK(answer.body == BackendServerStandin::CompleteStream(stop.eventCount, kPadding));
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A connection that was accepted just before the listener closes is answered",
          "[stop]")
{
  // Guards against new connections that are closed before their first request arrives.
  PlannedStop stop(8000ms, 1000ms);
  stop.SendSignal();
  std::vector<std::future<ReceivedAnswer>> answers;
  for (int number = 0; number < 10; ++number) {
    answers.push_back(std::async(std::launch::async, [&stop, number] {
      stop.WaitUntil(2300ms + number * 20ms);
      CallerConnection caller(stop.server.listenEndpoint);
      std::this_thread::sleep_for(250ms);
      if (!caller.Send(Request("new-" + std::to_string(number)))) {
        ReceivedAnswer refused;
        refused.end = ConnectionEnd::Refused;
        return refused;
      }
      return caller.ReadAnswer(kPatience);
    }));
  }
  for (int number = 0; number < 10; ++number) {
    const auto answer = answers[static_cast<std::size_t>(number)].get();
    if (answer.end != ConnectionEnd::Refused) {
      stop.CheckWhole(answer, "new-" + std::to_string(number));
    }
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request that is still arriving keeps a stopping process alive", "[stop]")
{
  // Guards against a process that ends as nothing is in progress while a body arrives.
  PlannedStop stop(4000ms, 400ms);
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(ChunkedRequestHead("POST", kTarget, Headers("alone"))));
  stop.SendSignal();
  stop.WaitUntil(2900ms);
  CHECK(caller.Send(ChunkText("prompt") + ChunkText("")));
  const auto answer = caller.ReadAnswer(kPatience);
  stop.CheckWhole(answer, "alone");
  CHECK(answer.ClosesConnection());
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request that can end before the drain does is served", "[stop]")
{
  // Guards against a stop that rejects the callers that the VM still has time for.
  PlannedStop stop(8000ms, 1000ms);
  for (int number = 0; number < 8; ++number) {
    CHECK(stop.server.Generate("before-" + std::to_string(number))->status == 200);
  }
  stop.SendSignal();
  for (const auto wait : { 100ms, 1200ms, 2300ms }) {
    stop.WaitUntil(wait);
    CallerConnection caller(stop.server.listenEndpoint);
    const auto name = "during-" + std::to_string(wait.count());
    REQUIRE(caller.Send(Request(name)));
    const auto answer = caller.ReadAnswer(kPatience);
    CHECK(answer.status == 200);
    stop.CheckWhole(answer, name);
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A stop that cuts an answer off says so in its exit code and its log", "[stop]")
{
  // Guards against a stop that looks clean although a caller lost an answer.
  PlannedStop stop(2000ms, 6000ms);
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(Request("too-long")));
  std::this_thread::sleep_for(500ms);
  stop.SendSignal();
  const auto answer = caller.ReadAnswer(kPatience);
  CHECK(answer.status == 200);
  CHECK_FALSE(answer.isComplete);
  CHECK(stop.server.process->Wait() == 1);
  const auto log = stop.server.process->ReadAll();
  const auto cutOff = log.find(R"("event":"request_end","request":"too-long")");
  REQUIRE(cutOff != std::string::npos);
  CHECK(log.find(R"("reason":"stopping")", cutOff) != std::string::npos);
  CHECK(log.find(R"("phase":"over")") != std::string::npos);
}

TEST_CASE("A request without an answer at the end of the drain gets a final one",
          "[stop]")
{
  // Guards against requests that end with their connection although a word was possible.
  PlannedStop stop(2000ms, 6000ms);
  stop.ForEachEngine([](BackendServerStandin& aEngine) { aEngine.eventInterval = 5s; });
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(Request("silent")));
  std::this_thread::sleep_for(200ms);
  stop.SendSignal();
  const auto answer = caller.ReadAnswer(kPatience);
  CHECK(answer.isComplete);
  CHECK((answer.status == 502 || answer.status == 504));
  CHECK(stop.server.process->Wait() == 0);
}
