#include <array>
#include <csignal>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peers/PeerReport.h"
#include "store/ChangeRelay.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// The real program as its own process, against stand-ins of the platform.

namespace {

std::size_t RunsOf(PlatformStandin& aPlatform, const std::string& aAttempt)
{
  const auto runs = aPlatform.Runs();
  return static_cast<std::size_t>(
    std::ranges::count(runs, aAttempt, &StandinRun::attempt));
}

/// Repeats a call until its status is the wanted one.
bool BecomesStatus(ServerUnderTest& aServer,
                   const std::string& aPath,
                   const std::string& aKey,
                   int aStatus)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  int number = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto answer =
      aServer.Call("GET", aPath, "poll-" + aPath + std::to_string(++number), aKey);
    if (answer && answer->status == aStatus) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("Requests reach the head of a group with what the platform asks for",
          "[server]")
{
  // Guards against a key that reaches a server, a missing expected server or account, and
  // an answer that is not the server's.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);

  const auto answer = server.Generate("a-1");
  REQUIRE(answer.HasValue());
  CHECK(answer->status == 200);
  CHECK(answer->body == EngineStandin::WholeStream());
  CHECK(answer->headers.Find("X-Attempt-Id") == "a-1");

  const auto runs = platform.Runs();
  REQUIRE(runs.size() == 1);
  const auto& headers = runs.front().request.headers;
  CHECK(answer->headers.Find("X-Engine-Stamp") == "stamp-" + runs.front().server);
  CHECK(runs.front().request.target == "/chat/1");
  CHECK(runs.front().request.body == "prompt");
  CHECK(headers.Find("Host") == "api.example");
  CHECK(headers.Find("X-Expect-Instance") == runs.front().server);
  CHECK(headers.Find("X-Tenant") == "shop");
  CHECK(!headers.Has("Authorization"));
  CHECK(std::stoi(std::string(headers.Find("X-Deadline-Ms"))) <= 5000);

  const auto look = server.Call("GET", "/looks/7?part=2", "a-2");
  REQUIRE(look.HasValue());
  CHECK(look->body.starts_with("answer of stock-"));
  CHECK(platform.Runs().back().request.target == "/looks/7?part=2");
}

TEST_CASE("A stream whose every run breaks ends visibly", "[server]")
{
  // Guards against a part that looks like a whole answer, and against more runs than the
  // route allows.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  platform.Do([&] {
    for (int number = 0; number < 4; ++number) {
      platform.Engine("engine-" + std::to_string(number)).faults.breakRuns = 1;
    }
  });
  CHECK(!server.Generate("b-1").HasValue());
  CHECK(RunsOf(platform, "b-1") == 2);
}

TEST_CASE("A stream that breaks once is whole for its caller", "[server]")
{
  // Guards against pieces that are joined wrongly at the place of the break.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  // Whichever head gets the request first breaks it; the other one does not.
  const auto heads = platform.Heads();
  platform.Do([&] { platform.Engine(heads.begin()->second).faults.breakRuns = 100; });

  std::size_t broken = 0;
  for (int number = 0; number < 6; ++number) {
    const auto attempt = "c-" + std::to_string(number);
    const auto answer = server.Generate(attempt);
    REQUIRE(answer.HasValue());
    CHECK(answer->body == EngineStandin::WholeStream());
    broken += RunsOf(platform, attempt) == 2 ? 1 : 0;
  }
  CHECK(broken > 0);
}

TEST_CASE("A stream that stalls and sends a byte now and then goes on elsewhere",
          "[server]")
{
  // Guards against a stalled run that is kept until the deadline because each of its
  // bytes was taken as progress.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  const auto heads = platform.Heads();
  platform.Do([&] { platform.Engine(heads.begin()->second).faults.trickleRuns = 100; });

  std::size_t stalled = 0;
  for (int number = 0; number < 6; ++number) {
    const auto attempt = "t-" + std::to_string(number);
    const auto answer = server.Generate(attempt);
    REQUIRE(answer.HasValue());
    CHECK(answer->body == EngineStandin::WholeStream());
    stalled += RunsOf(platform, attempt) == 2 ? 1 : 0;
  }
  CHECK(stalled > 0);
  // The pause is longer than the 300 ms that the route allows.
  const auto metrics = server.caller.Call(server.operators, "GET", "/metrics");
  REQUIRE(metrics.HasValue());
  CHECK(metrics->body.find("by=\"pause\"") != std::string::npos);
}

TEST_CASE("A stream whose second run is rejected does not end as complete", "[server]")
{
  // Guards against the fault that a response that refuses a run was also taken as one
  // that begins it: the caller's stream was then ended as complete.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  const auto heads = platform.Heads();
  platform.Do([&] {
    platform.Engine(heads.begin()->second).faults.breakRuns = 100;
    platform.Engine(heads.rbegin()->second).faults.rejectAsOther = 100;
  });

  std::size_t begun = 0;
  for (int number = 0; number < 6; ++number) {
    const auto attempt = "d-" + std::to_string(number);
    const auto answer = server.Generate(attempt);
    if (answer) {
      // Rejected everywhere it was sent: it must not have run.
      CHECK(answer->status == 503);
      CHECK(RunsOf(platform, attempt) == 0);
    } else {
      ++begun;
    }
  }
  CHECK(begun > 0);
}

TEST_CASE("A call that must not repeat runs once and is refused truthfully", "[server]")
{
  // Guards against a second run after a lost answer, and against a refusal as not run of
  // a call that has run.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);

  platform.Do([&] {
    platform.Engine("stock-0").faults.loseAnswers = 1;
    platform.Engine("stock-1").faults.loseAnswers = 1;
  });
  const auto lost = server.Call("POST", "/holds/1", "e-1");
  REQUIRE(lost.HasValue());
  CHECK(lost->status == 502);
  CHECK(RunsOf(platform, "e-1") == 1);

  platform.Do([&] {
    platform.Engine("stock-0").faults = {};
    platform.Engine("stock-1").faults = {};
    platform.Engine("stock-0").faults.rejectAsFull = 1;
    platform.Engine("stock-1").faults.rejectAsFull = 1;
  });
  const auto refused = server.Call("POST", "/holds/2", "e-2");
  REQUIRE(refused.HasValue());
  CHECK(refused->status == 503);
  CHECK(refused->headers.Has("Retry-After"));
  CHECK(refused->headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(RunsOf(platform, "e-2") == 0);
}

TEST_CASE("Answers that are not the server's are not passed on", "[server]")
{
  // Guards against a success without the server's signature, and against an answer that
  // belongs to another request.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  platform.Do([&] {
    platform.Engine("stock-0").faults.unsignedAnswers = 1;
    platform.Engine("stock-1").faults.unsignedAnswers = 1;
  });
  CHECK(server.Call("POST", "/holds/1", "f-1")->status == 502);
  platform.Do([&] {
    platform.Engine("stock-0").faults = {};
    platform.Engine("stock-1").faults = {};
    platform.Engine("stock-0").faults.foreignAnswers = 1;
    platform.Engine("stock-1").faults.foreignAnswers = 1;
  });
  CHECK(server.Call("POST", "/holds/2", "f-2")->status == 502);
}

TEST_CASE("A configuration is in force soon and never goes back", "[server]")
{
  // Guards against revoked keys that go on working, and against an older version that is
  // read late.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  CHECK(server.Call("GET", "/looks/1", "g-1", "key-2")->status == 200);
  CHECK(server.Call("GET", "/looks/1", "g-2", "key-9")->status == 401);
  CHECK(server.Call("GET", "/nothing/1", "g-3")->status == 404);

  platform.Configure(
    5, { { "Tenants", { { { "Name", "shop" }, { "ApiKeys", { "key-1" } } } } } });
  CHECK(BecomesStatus(server, "/looks/1", "key-2", 401));
  CHECK(server.Call("GET", "/looks/1", "g-4", "key-1")->status == 200);

  platform.Configure(4);
  platform.Do([&] { platform.Store().DropHistory(); });
  // The mirror has read everything anew once a later version is in force.
  platform.Configure(
    6,
    { { "Tenants", { { { "Name", "shop" }, { "ApiKeys", { "key-1", "key-6" } } } } } });
  CHECK(BecomesStatus(server, "/looks/1", "key-6", 200));
  CHECK(server.Call("GET", "/looks/1", "g-5", "key-2")->status == 401);
}

TEST_CASE("A leaving server gets no new requests", "[server]")
{
  // Guards against routing to a server that has announced that it leaves.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  platform.Do([&] { platform.Engine("stock-0").SetDraining(); });
  server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
    return std::ranges::any_of(aState.at("state").at("servers"), [](const json& aServer) {
      return aServer.at("id") == "stock-0" && aServer.at("leaving") == true;
    });
  });
  for (int number = 0; number < 20; ++number) {
    const auto answer = server.Call("GET", "/looks/1", "h-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->body == "answer of stock-1");
  }
}

TEST_CASE("Serving goes on while the store is away", "[server]")
{
  // Guards against an outage of the store that stops requests, and against a rejection
  // for a configuration that may be old.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  platform.Do([&] { platform.Store().faults.refuses = true; });
  CHECK(BecomesStatus(server, "/nothing/1", "key-1", 503));
  const auto answer = server.Generate("i-1");
  REQUIRE(answer.HasValue());
  CHECK(answer->body == EngineStandin::WholeStream());
  platform.Do([&] { platform.Store().faults.refuses = false; });
  CHECK(BecomesStatus(server, "/nothing/1", "key-1", 404));
  CHECK(platform.Heads().size() == 2);
}

TEST_CASE("Groups are formed although the store loses answers", "[server]")
{
  // Guards against a leader that does not know that it leads after a lost answer.
  PlatformStandin platform(4);
  platform.Do([&] { platform.Store().faults.loseWriteAnswers = 3; });
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  CHECK(server.Generate("j-1").HasValue());
}

TEST_CASE("A group that loses a member is replaced", "[server]")
{
  // Guards against a head that goes on getting requests after it lost a member, and
  // against a spare that is not used.
  PlatformStandin platform(5);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  const auto before = platform.Heads();
  std::string victim;
  platform.Do([&] {
    for (int number = 0; number < 5; ++number) {
      const auto id = "engine-" + std::to_string(number);
      const auto group = platform.Engine(id).Group();
      if (group == before.begin()->first && before.begin()->second != id) {
        victim = id;
      }
    }
  });
  REQUIRE(!victim.empty());
  platform.Kill(victim);
  platform.Unregister(victim);

  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(12);
  bool replaced = false;
  int number = 0;
  while (!replaced && std::chrono::steady_clock::now() < deadline) {
    (void)server.Generate("k-" + std::to_string(++number));
    const auto heads = platform.Heads();
    replaced = heads.size() == 2 && !heads.contains(before.begin()->first);
  }
  CHECK(replaced);
  server.WaitForGroups(2);
  const auto answer = server.Generate("k-last");
  REQUIRE(answer.HasValue());
  CHECK(answer->body == EngineStandin::WholeStream());
}

TEST_CASE("A planned stop finishes its streams, also when it is asked for twice",
          "[server]")
{
  // Guards against the fault that a second SIGTERM cut the streams in flight after 250
  // ms.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  std::string answer;
  auto stream = server.caller.OpenStream(server.listen,
                                         "/chat/1",
                                         "prompt",
                                         ServerUnderTest::GenerationHeaders("l-1"),
                                         answer);
  REQUIRE(stream);
  server.process->Signal(SIGTERM);
  server.process->Signal(SIGTERM);
  while (true) {
    const auto piece = server.caller.Read(*stream);
    REQUIRE(piece.HasValue());
    if (piece->empty()) {
      break;
    }
    answer += *piece;
  }
  CHECK(answer == EngineStandin::WholeStream());
  CHECK(server.process->Wait() == 0);
}

TEST_CASE("A frozen process serves on and gives no order on what it held", "[server]")
{
  // Guards against a leader that acts on its old lease after it was stopped for longer.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  server.process->Signal(SIGSTOP);
  ServerUnderTest other(platform, "vm-2");
  other.WaitForGroups(2);
  other.caller.WaitFor(other.operators, "/state", [](const json& aState) {
    return aState.at("state").at("leader_term") != 0;
  });
  server.process->Signal(SIGCONT);
  server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
    return aState.at("state").at("leader_term") == 0 &&
           aState.at("state").at("store_age_ms") < 2000;
  });
  CHECK(server.Generate("m-1").HasValue());
  CHECK(other.Generate("m-2").HasValue());
  CHECK(platform.Heads().size() == 2);
}

TEST_CASE("A request that crashes its servers is refused after the second", "[server]")
{
  // Guards against a request that takes every server down, one after the other.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  platform.Do([&] {
    platform.Engine("stock-0").faults.diesOnRun = true;
    platform.Engine("stock-1").faults.diesOnRun = true;
  });
  const auto crashed = server.Call("GET", "/looks/deadly", "n-1");
  REQUIRE(crashed.HasValue());
  CHECK(crashed->status == 502);
  server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
    return aState.at("state").at("quarantine").dump().find("quarantined") !=
           std::string::npos;
  });
  CHECK(BecomesStatus(server, "/looks/deadly", "key-1", 503));
  CHECK(RunsOf(platform, "n-1") == 2);
}

TEST_CASE("Peers may go while a report is on its way to them", "[server]")
{
  // Guards against the fault that a peer's registration that ended while reports were
  // sent ended the process (seen on the bench, kfh trouble-2, seed 1072851403524).
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  // Enough for a report to be on its way for a good part of the time.
  constexpr int kPeers = 4000;
  const auto key = [](int aNumber) {
    return "toucanstand/vms/peer-" + std::to_string(aNumber);
  };
  for (int round = 0; round < 6; ++round) {
    platform.Do([&] {
      for (int number = 0; number < kPeers; ++number) {
        platform.Store().Put(key(number),
                             "127.0.0.1:" + std::to_string(20000 + number) + " 1.000");
      }
    });
    server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
      return aState.at("state").at("peers") == kPeers;
    });
    platform.Do([&] {
      for (int number = 0; number < kPeers; ++number) {
        platform.Store().Delete(key(number));
      }
    });
    // A request in progress makes the process send ten reports a second.
    for (int number = 0; number < 4; ++number) {
      const auto attempt = "o-" + std::to_string(round) + "-" + std::to_string(number);
      REQUIRE(server.Generate(attempt).HasValue());
    }
    server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
      return aState.at("state").at("peers") == 0;
    });
  }
}

TEST_CASE("VMs that are no relays follow the store through one", "[server]")
{
  // Guards against calls to the store that grow with the number of VMs, and against a VM
  // that goes on with an old configuration when its relays are gone.
  PlatformStandin platform(2);
  constexpr int kVms = 4;
  std::vector<std::unique_ptr<ServerUnderTest>> servers;
  servers.reserve(kVms);
  for (int number = 0; number < kVms; ++number) {
    servers.push_back(
      std::make_unique<ServerUnderTest>(platform, "vm-" + std::to_string(number)));
  }
  for (const auto& server : servers) {
    server->caller.WaitFor(server->operators, "/state", [](const json& aState) {
      return aState.at("state").at("peers") == kVms - 1;
    });
  }
  servers.front()->WaitForGroups(1);
  std::vector<ServerUnderTest*> relays;
  std::vector<ServerUnderTest*> followers;
  for (const auto& server : servers) {
    const auto state = server->caller.Json(server->operators, "GET", "/state");
    (state.at("state").at("relay") == true ? relays : followers).push_back(server.get());
  }
  REQUIRE(relays.size() == 2);

  platform.Configure(7, { { "Routes", json::array() } });
  for (auto* follower : followers) {
    follower->caller.WaitFor(follower->operators, "/state", [](const json& aState) {
      return aState.at("state").at("configuration_version") == 7;
    });
    const auto metrics = follower->caller.Call(follower->operators, "GET", "/metrics");
    REQUIRE(metrics.HasValue());
    CHECK(metrics->body.find("store_changes_relayed_total") != std::string::npos);
  }

  // A server that goes while the store forgets its history is gone for the followers too.
  platform.Do([&] {
    platform.Store().Delete("servers/engine-0");
    platform.Store().DropHistory();
  });
  for (auto* follower : followers) {
    follower->caller.WaitFor(follower->operators, "/state", [](const json& aState) {
      return aState.at("state").at("servers").dump().find("\"engine-0\"") ==
             std::string::npos;
    });
  }

  // The relays fall silent without leaving the list.
  for (auto* relay : relays) {
    relay->process->Signal(SIGSTOP);
  }
  platform.Configure(8, { { "Routes", json::array() } });
  for (auto* follower : followers) {
    follower->caller.WaitFor(follower->operators, "/state", [](const json& aState) {
      return aState.at("state").at("configuration_version") == 8;
    });
  }
  for (auto* relay : relays) {
    relay->process->Signal(SIGCONT);
  }
}

TEST_CASE("A VM that the store turns away learns a large configuration from a relay",
          "[server]")
{
  // Guards against a VM that keeps an old configuration and old groups for as long as the
  // store turns it away, because the configuration does not fit into a datagram
  // (Shilapatra grown scale-2: 27 of 76 VMs for seven seconds).
  PlatformStandin platform(2);
  const std::string store = platform.Store().Address().Text();
  constexpr int kVms = 4;
  std::vector<std::string> arguments = { "--control=127.0.0.1:0", "--log-level=warn" };
  arguments.resize(arguments.size() + kVms, "--map=127.0.0.1:0=" + store);
  ProcessLauncher proxy("fault-proxy", arguments);
  std::vector<std::unique_ptr<ServerUnderTest>> servers;
  servers.reserve(kVms);
  for (int number = 0; number < kVms; ++number) {
    servers.push_back(std::make_unique<ServerUnderTest>(
      platform, "vm-" + std::to_string(number), proxy.ReadEndpoint()));
  }
  const auto control = proxy.ReadEndpoint("control");
  for (const auto& server : servers) {
    server->caller.WaitFor(server->operators, "/state", [](const json& aState) {
      return aState.at("state").at("peers") == kVms - 1;
    });
  }
  servers.front()->WaitForGroups(1);
  const auto follower = std::ranges::find_if(servers, [](const auto& aServer) {
    const auto state = aServer->caller.Json(aServer->operators, "GET", "/state");
    return state.at("state").at("relay") == false;
  });
  REQUIRE(follower != servers.end());
  auto& caller = (*follower)->caller;
  caller.Json(control,
              "POST",
              "/fault",
              "{\"mapping\":" + std::to_string(follower - servers.begin()) +
                ",\"refuse\":true}");

  json routes = json::array();
  for (int number = 0; number < 600; ++number) {
    routes.push_back({ { "Name", "route-" + std::to_string(number) },
                       { "Host", "h" + std::to_string(number) + ".example" },
                       { "PathPrefix", "/" },
                       { "Kind", "safe" },
                       { "Service", "stock" } });
  }
  REQUIRE(routes.dump().size() > kMostAnswerBytes);
  platform.Configure(9, { { "Routes", routes } });
  caller.WaitFor((*follower)->operators, "/state", [](const json& aState) {
    return aState.at("state").at("configuration_version") == 9;
  });
}

namespace {

/// A peer that sends datagrams and waits for the answer to a query.
class DatagramPeer
{
public:
  explicit DatagramPeer(const Endpoint& aServer)
    : socket(this->loop, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , server(boost::asio::ip::make_address(aServer.address), aServer.port)
  {
  }

  void Send(const std::vector<std::uint8_t>& aBytes)
  {
    this->socket.send_to(boost::asio::buffer(aBytes), this->server);
  }

  /// @returns false when no answer comes; what was sent before has then not arrived
  bool AwaitAnswer()
  {
    constexpr int kTries = 5;
    bool answered = false;
    for (int number = 1; !answered && number <= kTries; ++number) {
      this->Send(EncodeChangeQuery({ static_cast<std::uint64_t>(number), 0 }));
      std::array<char, 65536> bytes{};
      this->socket.async_receive(boost::asio::buffer(bytes),
                                 [&answered](const boost::system::error_code& aError,
                                             std::size_t) { answered = !aError; });
      this->loop.restart();
      this->loop.run_for(std::chrono::seconds(1));
      this->socket.cancel();
      this->loop.restart();
      this->loop.poll();
    }
    return answered;
  }

private:
  boost::asio::io_context loop;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint server;
};

} // namespace

TEST_CASE("Suspicions that a VM need not pass on do not pile up", "[server]")
{
  // Guards against the fault that a VM that is no relay of others kept each suspicion
  // that its peers reported, without end (found by reading).
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  DatagramPeer peer(server.peers);
  PeerReport report;
  report.sender = VmId("vm-2");
  report.runNumber = 1;
  for (int number = 1; number <= 50; ++number) {
    report.sequence = static_cast<std::uint64_t>(number);
    report.suspectedGroups = { "m-" + std::to_string(number) };
    peer.Send(EncodePeerReport(report));
  }
  REQUIRE(peer.AwaitAnswer());
  server.caller.WaitFor(server.operators, "/state", [](const json& aState) {
    return aState.at("state").at("suspicions_to_pass_on") == 0;
  });
}
