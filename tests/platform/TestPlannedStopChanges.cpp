#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

// Changes of the platform at the moment at which a VM stops.

namespace {

using Callers = std::vector<std::future<ReceivedAnswer>>;

/// Requests for streams around the signal, some with a body that arrives slowly.
class CallersAroundSignal
{
public:
  static constexpr auto kLead = 800ms;
  static constexpr int kCallers = 16;

  explicit CallersAroundSignal(PlannedStop& aStop)
    : stop(aStop)
  {
    this->stop.PlanSignal(kLead);
    for (int number = 0; number < kCallers; ++number) {
      this->callers.push_back(
        std::async(std::launch::async, [this, number] { return this->Call(number); }));
    }
    this->stop.WaitUntil(-20ms);
  }

  /// Checks that every caller got a stream, or a refusal of a request that did not run.
  void Check()
  {
    int served = 0;
    for (int number = 0; number < kCallers; ++number) {
      const auto answer = this->callers[static_cast<std::size_t>(number)].get();
      const auto name = "around-" + std::to_string(number);
      if (answer.end == ConnectionEnd::Refused) {
        continue;
      }
      INFO(name << " status " << answer.status << " end "
                << static_cast<int>(answer.end));
      CHECK(answer.isComplete);
      if (answer.status == 200) {
        ++served;
        CHECK(answer.body == this->stop.WholeStream());
        continue;
      }
      CHECK((answer.status == 503 || answer.status == 404));
      CHECK(answer.headers.Find("Toucanstand-Outcome") == "not-run");
      CHECK_FALSE(this->stop.HasRun(name));
    }
    CHECK(served > 0);
  }

private:
  ReceivedAnswer Call(int aNumber)
  {
    const auto name = "around-" + std::to_string(aNumber);
    this->stop.WaitUntil(aNumber * 250ms - kLead + 50ms);
    CallerConnection caller(this->stop.server.listenEndpoint);
    bool isSent = false;
    if (aNumber % 2 == 0) {
      isSent = caller.Send(PlannedStop::StreamRequest(name));
    } else {
      isSent = caller.Send(ChunkedRequestHead("POST",
                                              PlannedStop::kStreamTarget,
                                              PlannedStop::RequestHeaders(name)) +
                           ChunkText("prompt"));
      std::this_thread::sleep_for(300ms);
      caller.Send(ChunkText(""));
    }
    if (!isSent) {
      ReceivedAnswer refused;
      refused.end = ConnectionEnd::Refused;
      return refused;
    }
    return caller.ReadAnswer(PlannedStop::kPatience);
  }

  PlannedStop& stop;
  Callers callers;
};

void ExpectCleanEnd(PlannedStop& aStop)
{
  CHECK(aStop.server.process->Wait() == 0);
  CHECK(aStop.SinceSignal() < aStop.stopPeriod);
}

} // namespace

TEST_CASE("A reload at the moment of a planned stop cuts nothing off", "[stop]")
{
  PlannedStop stop(4000ms, 1000ms);
  CallersAroundSignal callers(stop);
  const bool isReloadFirst = GENERATE(true, false);
  if (isReloadFirst) {
    stop.server.process->Signal(SIGHUP);
  }
  stop.SendPlannedSignal();
  stop.server.process->Signal(SIGHUP);
  callers.Check();
  ExpectCleanEnd(stop);
}

TEST_CASE("A second request to stop leaves the deadline as it is", "[stop]")
{
  PlannedStop stop(4000ms, 1000ms);
  CallersAroundSignal callers(stop);
  stop.SendPlannedSignal();
  stop.WaitUntil(500ms);
  stop.server.process->Signal(SIGTERM);
  stop.server.process->Signal(SIGINT);
  callers.Check();
  ExpectCleanEnd(stop);
}

TEST_CASE("A route that goes away when a stop begins cuts nothing off", "[stop]")
{
  // Guards against requests that were accepted under the earlier configuration.
  const bool isMoved = GENERATE(true, false);
  INFO("moved: " << isMoved);
  PlannedStop stop(4000ms, 1000ms);
  CallersAroundSignal callers(stop);
  auto routes = PlatformStandin::DefaultConfiguration(3)["Routes"];
  if (isMoved) {
    routes[0]["PathPrefix"] = "/elsewhere/";
  } else {
    routes.erase(routes.begin());
  }
  stop.platform.WriteConfiguration(3, { { "Routes", routes } });
  stop.SendPlannedSignal();
  callers.Check();
  ExpectCleanEnd(stop);
}

TEST_CASE("Engines that leave when a stop begins end what they run", "[stop]")
{
  PlannedStop stop(4000ms, 1000ms);
  CallersAroundSignal callers(stop);
  stop.ForEachEngine([](BackendServerStandin& aEngine) { aEngine.SetDraining(); });
  stop.SendPlannedSignal();
  callers.Check();
  ExpectCleanEnd(stop);
}

TEST_CASE("A store that is down or restored does not disturb a planned stop", "[stop]")
{
  // Guards against a stop that waits for the store, and against a new state of the store
  // that ends runs in progress.
  enum class Trouble
  {
    Down,
    Restored,
    RestoredAndDown,
  };
  const auto trouble =
    GENERATE(Trouble::Down, Trouble::Restored, Trouble::RestoredAndDown);
  INFO("trouble " << static_cast<int>(trouble));
  PlannedStop stop(4000ms, 1000ms);
  stop.platform.TakeStoreCopy();
  stop.platform.AdvanceStoreRevision(20);
  CallersAroundSignal callers(stop);
  if (trouble != Trouble::Down) {
    stop.platform.RestoreStore();
  }
  if (trouble != Trouble::Restored) {
    stop.platform.RunOnLoop([&] { stop.platform.Store().faults.rejectCalls = true; });
  }
  stop.SendPlannedSignal();
  callers.Check();
  ExpectCleanEnd(stop);
}
