#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

// Connections to engines that go through a peer, when the peer or the VM itself stops.

namespace {

constexpr int kEngines = 4;
constexpr auto kEventInterval = 100ms;
/// Both within the time that a VM gives a direct connection, 200 ms.
constexpr auto kDropTime = 100ms;
/// A tunnel is open this long after the attempt, or the connection took another way.
constexpr auto kTunnelTime = 500ms;

enum class Framing
{
  Chunks,
  None,
};

/// Two VMs. Engines can be made not to reply to attempts to connect.
class TwoVms
{
public:
  TwoVms(Framing aFraming, int aEvents, milliseconds aStopPeriod)
    : platform(kEngines)
    , fronts(this->PutEnginesBehindFronts(aFraming, aEvents))
    , asking(this->platform, "vm-1", this->platform.Store().Address(), aStopPeriod)
    , peer(this->platform, "vm-2", this->platform.Store().Address(), aStopPeriod)
    , eventCount(aEvents)
  {
    auto configuration = PlatformStandin::DefaultConfiguration(2);
    for (auto& route : configuration["Routes"]) {
      route["TimeoutMs"] = PlannedStop::kPatience.count();
    }
    this->platform.WriteConfiguration(2, { { "Routes", configuration["Routes"] } });
    for (auto* vm : { &this->asking, &this->peer }) {
      vm->WaitForGroups(kEngines / 2);
      vm->caller.WaitFor(vm->operatorEndpoint, "/state", [](const json& aState) {
        const auto& state = aState.at("state");
        return state.at("configuration_version") == 2 && state.at("peers") == 1;
      });
    }
  }

  /// Sends a request to the first VM whose connection to an engine goes through the other
  /// one. @returns the connection on which the answer arrives
  std::unique_ptr<CallerConnection> SendThroughPeer(std::string& aAttemptId)
  {
    constexpr int kTries = 10;
    for (int number = 0; number < kTries; ++number) {
      aAttemptId = "tunnel-" + std::to_string(number);
      auto caller = std::make_unique<CallerConnection>(this->asking.listenEndpoint);
      const auto tunnels = this->TunnelCount();
      this->DropAttempts(true);
      caller->Send(PlannedStop::StreamRequest(aAttemptId));
      std::this_thread::sleep_for(kDropTime);
      this->DropAttempts(false);
      const auto deadline = std::chrono::steady_clock::now() + kTunnelTime;
      while (std::chrono::steady_clock::now() < deadline) {
        if (this->TunnelCount() > tunnels) {
          return caller;
        }
        std::this_thread::sleep_for(10ms);
      }
    }
    throw std::runtime_error("no request went through the peer");
  }

  [[nodiscard]] std::size_t RunCount(const std::string& aAttemptId)
  {
    const auto runs = this->platform.Runs();
    return static_cast<std::size_t>(
      std::ranges::count(runs, aAttemptId, &RecordedRun::attemptId));
  }

  [[nodiscard]] std::string WholeStream(std::size_t aPadding = 0) const
  {
    return BackendServerStandin::CompleteStream(this->eventCount, aPadding);
  }

  void ForEachEngine(const std::function<void(BackendServerStandin&)>& aChange)
  {
    this->platform.RunOnLoop([&] {
      for (int number = 0; number < kEngines; ++number) {
        aChange(this->platform.BackendServer("engine-" + std::to_string(number)));
      }
    });
  }

  PlatformStandin platform;
  bool fronts;
  ServerUnderTest asking;
  ServerUnderTest peer;
  int eventCount;

private:
  bool PutEnginesBehindFronts(Framing aFraming, int aEvents)
  {
    this->ForEachEngine([=](BackendServerStandin& aEngine) {
      aEngine.PutBehindFront();
      aEngine.front->removesFraming = aFraming == Framing::None;
      aEngine.eventInterval = kEventInterval;
      aEngine.eventCount = aEvents;
    });
    return true;
  }

  void DropAttempts(bool aDrop)
  {
    this->ForEachEngine(
      [aDrop](BackendServerStandin& aEngine) { aEngine.front->DropAttempts(aDrop); });
  }

  std::size_t TunnelCount()
  {
    const auto state =
      this->peer.caller.Json(this->peer.operatorEndpoint, "GET", "/state");
    return state.at("state").at("tunnels").get<std::size_t>();
  }
};

void CheckWhole(const ReceivedAnswer& aAnswer, const std::string& aExpected)
{
  INFO("status " << aAnswer.status << " bytes " << aAnswer.body.size() << " of "
                 << aExpected.size());
  CHECK(aAnswer.status == 200);
  CHECK(aAnswer.isComplete);
  CHECK(aAnswer.body == aExpected);
}

} // namespace

TEST_CASE("A stream is whole although the peer that it goes through is killed",
          "[stop][tunnel]")
{
  // Guards against a tunnel that the kernel closes in order, so that an answer that ends
  // with its connection is taken for complete.
  const auto framing = GENERATE(Framing::None, Framing::Chunks);
  INFO("framing " << static_cast<int>(framing));
  TwoVms vms(framing, 30, 8000ms);
  std::string attempt;
  auto caller = vms.SendThroughPeer(attempt);
  std::this_thread::sleep_for(500ms);
  vms.peer.process->Signal(SIGKILL);
  const auto answer = caller->ReadAnswer(PlannedStop::kPatience);
  CheckWhole(answer, vms.WholeStream());
  // The first run was cut in the middle, and the rest came from another one.
  CHECK(vms.RunCount(attempt) == 2);
}

TEST_CASE("A stream is whole although it outlasts the drain of the peer that it goes "
          "through",
          "[stop][tunnel]")
{
  // Guards against the same at the end of a planned stop, which breaks tunnels off.
  const auto framing = GENERATE(Framing::None, Framing::Chunks);
  INFO("framing " << static_cast<int>(framing));
  TwoVms vms(framing, 40, 2000ms);
  std::string attempt;
  auto caller = vms.SendThroughPeer(attempt);
  vms.peer.process->Signal(SIGTERM);
  const auto answer = caller->ReadAnswer(PlannedStop::kPatience);
  CheckWhole(answer, vms.WholeStream());
  CHECK(vms.RunCount(attempt) == 2);
  CHECK(vms.peer.process->Wait() == 1);
}

TEST_CASE("A stopping peer passes a whole answer on before it ends", "[stop][tunnel]")
{
  // Guards against an end of a tunnel that loses bytes that the server has sent.
  constexpr std::size_t kPadding = 200'000;
  const auto framing = GENERATE(Framing::None, Framing::Chunks);
  INFO("framing " << static_cast<int>(framing));
  TwoVms vms(framing, 15, 8000ms);
  vms.ForEachEngine(
    [](BackendServerStandin& aEngine) { aEngine.eventPadding = kPadding; });
  std::string attempt;
  auto caller = vms.SendThroughPeer(attempt);
  vms.peer.process->Signal(SIGTERM);
  const auto answer = caller->ReadAnswer(PlannedStop::kPatience);
  CheckWhole(answer, vms.WholeStream(kPadding));
  CHECK(vms.RunCount(attempt) == 1);
  CHECK(vms.peer.process->Wait() == 0);
}

TEST_CASE("A stopping VM ends the streams that it gets through a peer", "[stop][tunnel]")
{
  // Guards against a stop that ends the connections to peers before the callers'.
  const auto framing = GENERATE(Framing::None, Framing::Chunks);
  INFO("framing " << static_cast<int>(framing));
  TwoVms vms(framing, 30, 8000ms);
  std::string attempt;
  auto caller = vms.SendThroughPeer(attempt);
  vms.asking.process->Signal(SIGTERM);
  const auto answer = caller->ReadAnswer(PlannedStop::kPatience);
  CheckWhole(answer, vms.WholeStream());
  CHECK(vms.RunCount(attempt) == 1);
  CHECK(vms.asking.process->Wait() == 0);
}

TEST_CASE("A stream is whole although the peer that it goes through stops in the middle "
          "of the VM's own stop",
          "[stop][tunnel]")
{
  // Guards against a stopping VM that gives up a stream that it can still resume.
  TwoVms vms(Framing::None, 20, 8000ms);
  std::string attempt;
  auto caller = vms.SendThroughPeer(attempt);
  vms.asking.process->Signal(SIGTERM);
  std::this_thread::sleep_for(500ms);
  vms.peer.process->Signal(SIGKILL);
  const auto answer = caller->ReadAnswer(PlannedStop::kPatience);
  CheckWhole(answer, vms.WholeStream());
  CHECK(vms.asking.process->Wait() == 0);
}
