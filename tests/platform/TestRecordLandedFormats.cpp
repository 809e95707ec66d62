#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "support/FakePeer.h"
#include "support/PlatformStandin.h"
#include "support/RecordedFormats.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

// Writes what processes of an earlier build say to their peers and to the store. Started
// by hand with the program, its commit and the file to write; TestLandedFormats reads it.

namespace {

std::string Environment(const char* aVariable)
{
  const char* const text = std::getenv(aVariable);
  REQUIRE(text != nullptr);
  return text;
}

class Recorder
{
public:
  Recorder(PlatformStandin& aPlatform, std::size_t aPeers, const std::string& aShare)
    : platform(aPlatform)
    , share(aShare)
  {
    for (std::size_t number = 0; number < aPeers; ++number) {
      this->peers.push_back(std::make_unique<FakePeer>());
    }
    this->Register();
  }

  FakePeer& Peer(std::size_t aNumber) { return *this->peers.at(aNumber); }

  /// Keeps the datagrams that arrive within the time, by version and kind.
  void Receive(std::chrono::milliseconds aTime)
  {
    const auto deadline = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < deadline) {
      for (const auto& peer : this->peers) {
        while (const auto bytes = peer->TakeDatagram()) {
          const auto document = json::from_msgpack(*bytes);
          const auto kind = document.at(1).get<int>();
          const bool isAggregate = kind == 0 && document.at(2).at(3) > 0;
          this->received[isAggregate ? 3 : kind].push_back(*bytes);
          this->version = document.at(0);
        }
      }
      std::this_thread::sleep_for(5ms);
    }
  }

  /// The longest ones of each kind, of different lengths.
  void Write(json& aDocument)
  {
    constexpr std::array kNames = {
      "load_report", "change_query", "change_answer", "aggregate"
    };
    constexpr std::size_t kMost = 3;
    for (auto& [kind, datagrams] : this->received) {
      std::ranges::stable_sort(
        datagrams, std::greater{}, [](const auto& aBytes) { return aBytes.size(); });
      const auto same = std::ranges::unique(
        datagrams, {}, [](const auto& aBytes) { return aBytes.size(); });
      datagrams.erase(same.begin(), same.end());
      datagrams.resize(std::min(datagrams.size(), kMost));
      for (const auto& bytes : datagrams) {
        aDocument["datagrams"].push_back(
          { { "kind", kNames.at(static_cast<std::size_t>(kind)) },
            { "hex", BytesToHexadecimal(bytes) } });
      }
    }
  }

  [[nodiscard]] int Version() const { return this->version; }

private:
  void Register()
  {
    this->platform.RunOnLoop([this] {
      for (std::size_t number = 0; number < this->peers.size(); ++number) {
        this->platform.Store().Put("toucanstand/vms/fake-" + std::to_string(number),
                                   this->peers[number]->Address().Text() + " " +
                                     this->share);
      }
    });
  }

  PlatformStandin& platform;
  std::string share;
  std::vector<std::unique_ptr<FakePeer>> peers;
  std::map<int, std::vector<std::vector<std::uint8_t>>> received;
  int version = 0;
};

void Load(ServerUnderTest& aServer, const std::string& aName, int aCount)
{
  for (int number = 0; number < aCount; ++number) {
    (void)aServer.Generate(aName + std::to_string(number));
  }
}

} // namespace

TEST_CASE("Messages and records of an earlier build are recorded", "[.record]")
{
  const auto program = Environment("MIXED_EARLIER_SERVER");
  json document = { { "commit", Environment("MIXED_EARLIER_COMMIT") },
                    { "datagrams", json::array() },
                    { "records", json::object() } };
  const auto start = [&](PlatformStandin& aPlatform, const std::string& aId) {
    return std::make_unique<ServerUnderTest>(aPlatform,
                                             aId,
                                             aPlatform.Store().Address(),
                                             ServerUnderTest::kStopPeriod,
                                             ServerUnderTest::Program{ program, {} });
  };
  {
    // Two large peers are the relays, and the process asks them.
    PlatformStandin platform(2);
    platform.RunOnLoop([&] {
      for (const auto* name : { "engine-0", "engine-1" }) {
        auto& engine = platform.BackendServer(name);
        engine.eventCount = 100;
        engine.eventInterval = 20ms;
      }
    });
    Recorder recorder(platform, 2, "64.000");
    const auto server = start(platform, "vm-follower");
    server->WaitForGroups(1);
    std::thread load([&] { Load(*server, "f", 1); });
    recorder.Receive(2000ms);
    load.join();
    // Reports a quarantined prompt part, which the process then records in the store.
    const auto version = recorder.Version();
    std::uint64_t sequence = 0;
    const auto reports = [&](const json& aCrashes, const json& aParts) {
      const json empty = json::array();
      return json::to_msgpack(json::array({ version,
                                            0,
                                            json::array({ "vm-fake",
                                                          7U,
                                                          ++sequence,
                                                          0U,
                                                          empty,
                                                          empty,
                                                          json::array({ 42U }),
                                                          empty,
                                                          empty,
                                                          aCrashes,
                                                          empty,
                                                          aParts,
                                                          empty }) }));
    };
    for (int number = 0; number < 5; ++number) {
      recorder.Peer(0).Send(reports(json::array(), json::array({ 0xcdU })),
                            server->peerEndpoint);
      recorder.Receive(100ms);
    }
    recorder.Peer(0).Send(
      json::to_msgpack(json::array({ version, 1U, json::array({ 9U, 0U }) })),
      server->peerEndpoint);
    recorder.Receive(2500ms);
    recorder.Write(document);
    platform.RunOnLoop([&] {
      for (const auto& [key, value] : platform.Store().Records("toucanstand/")) {
        if (key.find("fake") == std::string::npos) {
          document["records"][key] = value;
        }
      }
    });
  }
  {
    // With many small peers, the process is a relay and sends sums and changes.
    PlatformStandin platform(2);
    Recorder recorder(platform, 17, "0.001");
    const auto server = start(platform, "vm-relay");
    server->WaitForGroups(1);
    recorder.Receive(1000ms);
    platform.WriteConfiguration(2);
    const auto state =
      server->caller.Json(server->operatorEndpoint, "GET", "/state").at("state");
    // Revisions of builds that show the history of the store begin with it.
    const std::uint64_t history = state.value("store_history", std::uint64_t{ 0 });
    std::uint64_t after = history << 40U;
    platform.RunOnLoop(
      [&] { after += static_cast<std::uint64_t>(platform.Store().Revision()); });
    std::thread load([&] { Load(*server, "r", 3); });
    for (std::uint64_t number = 0; number < 5; ++number) {
      recorder.Peer(0).Send(
        json::to_msgpack(
          json::array({ recorder.Version(), 1U, json::array({ number, after }) })),
        server->peerEndpoint);
      platform.WriteConfiguration(
        static_cast<std::int64_t>(3 + number),
        { { "Routes", json::array() }, { "Tenants", json::array() } });
      recorder.Receive(300ms);
    }
    load.join();
    recorder.Write(document);
    const auto whole = server->caller.Call(
      server->peerEndpoint, "GET", "/changes?after=" + std::to_string(after));
    REQUIRE(whole.HasValue());
    document["whole_answer"] =
      BytesToHexadecimal({ whole->body.begin(), whole->body.end() });
  }
  std::ofstream(Environment("MIXED_RECORD")) << document.dump(1) << "\n";
}
