#include <algorithm>
#include <csignal>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/ServiceAnswer.h"
#include "common/TokenFunction.h"
#include "support/FakeNode.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/SettingsFile.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr const char* kChat = "/v1/chat/completions";
constexpr int kEngines = 4;

const char* const kConfiguration = R"({
  "revision": 1,
  "defaults": {
    "contracts": [
      {"name": "assistant", "pathPrefix": "/v1/chat/completions", "pool": "assistant",
       "repeatability": "idempotent", "timeoutMs": 8000},
      {"name": "catalogue", "pathPrefix": "/catalogue/", "pool": "stock",
       "repeatability": "idempotent", "timeoutMs": 8000},
      {"name": "holds", "pathPrefix": "/holds", "pool": "stock",
       "repeatability": "only-once", "timeoutMs": 2000}
    ]
  },
  "author": "test", "nonce": "n"
})";

json Chat(const std::string& aQuestion, int aTokens, bool aStream)
{
  return { { "messages", { { { "role", "user" }, { "content", aQuestion } } } },
           { "max_tokens", aTokens },
           { "stream", aStream } };
}

Candidate MakeCandidate(const std::string& aId,
                        const std::string& aPool,
                        Endpoint aEndpoint)
{
  Candidate candidate;
  candidate.id = aId;
  candidate.pool = PoolId(aPool);
  candidate.zone = ZoneId("z");
  candidate.server = ServerId(aId);
  candidate.members = { ServerId(aId) };
  candidate.endpoint = std::move(aEndpoint);
  candidate.load.capacity = 8;
  return candidate;
}

/// Engines and services behind one entry whose knowledge comes from a FakeNode.
struct Fixture
{
  explicit Fixture(int aTokensPerSecond, int aRestartMs = 60000, int aProbeMs = 500)
    : engines("standin-engine",
              { "--listen=127.0.0.1:0",
                "--control=127.0.0.1:0",
                "--count=" + std::to_string(kEngines),
                "--prefill-ms=0",
                "--report-lag-ms=0",
                "--load-ms=0",
                "--restart-ms=" + std::to_string(aRestartMs),
                "--tokens-per-second=" + std::to_string(aTokensPerSecond) })
    , services("standin-service",
               { "--listen=127.0.0.1:0", "--control=127.0.0.1:0", "--count=2" })
    , node(kConfiguration)
    , settings(
        { { "id", "vm-1" },
          { "zone", "z" },
          { "listen", "127.0.0.1:0" },
          { "operator", "127.0.0.1:0" },
          { "messages", "127.0.0.1:0" },
          { "node", node.Address().Text() },
          { "ledger", "127.0.0.1:9" },
          { "claim_timeout_ms", 200 },
          { "seed", 7 },
          { "progress",
            { { "first_ms", 2000 }, { "between_ms", 500 }, { "probe_ms", aProbeMs } } } })
    , entry("toucanstand-entry", { settings.Option() })
  {
    for (int index = 0; index < kEngines; ++index) {
      const auto endpoint = this->engines.ReadEndpoint();
      const std::string id = "engine-" + std::to_string(index);
      const json order = { { "fence", 1 },
                           { "group", id },
                           { "generation", 1 },
                           { "members", { id } },
                           { "model", "m" } };
      REQUIRE(
        this->caller.Call(endpoint, "POST", "/control/order", order.dump())->status ==
        202);
      auto candidate = MakeCandidate(id, "assistant", endpoint);
      candidate.generation = 1;
      this->view.candidates.push_back(candidate);
    }
    this->engineControl = this->engines.ReadEndpoint("control");
    for (int index = 0; index < 2; ++index) {
      this->view.candidates.push_back(MakeCandidate(
        "service-" + std::to_string(index), "stock", this->services.ReadEndpoint()));
    }
    this->serviceControl = this->services.ReadEndpoint("control");
    this->view.mayServe = true;
    this->node.SetView(this->view);
    this->callers = this->entry.ReadEndpoint("listening");
    this->operators = this->entry.ReadEndpoint("operator");
    this->caller.WaitFor(this->operators, "/state", [](const json& aState) {
      return aState["ready"] == true && aState["state"]["candidates"] == kEngines + 2;
    });
  }

  json EngineLog() { return this->caller.Json(this->engineControl, "GET", "/log"); }

  HttpCaller caller;
  ProcessLauncher engines;
  ProcessLauncher services;
  FakeNode node;
  SettingsFile settings;
  ProcessLauncher entry;
  WorldView view;
  Endpoint engineControl;
  Endpoint serviceControl;
  Endpoint callers;
  Endpoint operators;
};

/// Text of the tokens of a streamed answer; the end mark is appended as "[DONE]".
std::string StreamText(const std::string& aBody)
{
  std::string text;
  std::istringstream lines(aBody);
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      text += "[DONE]";
    } else if (line.starts_with("data: ")) {
      const auto event = json::parse(line.substr(6));
      text += event.at("choices").at(0).at("delta").at("content").get<std::string>();
    }
  }
  return text;
}

/// Reads a stream to its end. @returns the text, or the failure.
Result<std::string, HttpFailure> ReadToEnd(HttpCaller& aCaller,
                                           HttpClientStream& aStream,
                                           std::string aBytes)
{
  while (true) {
    auto piece = aCaller.Read(aStream);
    if (!piece) {
      return piece.LastReason();
    }
    if (piece->empty()) {
      return aBytes;
    }
    aBytes += *piece;
  }
}

} // namespace

TEST_CASE("Whole, streamed and plain answers are those of their requests", "[entry]")
{
  // Guards against mixed-up and shortened answers (R3).
  Fixture fixture(2000);
  const auto body = Chat("which cartridge?", 20, false);
  const auto expected = AnswerText(PromptOf(body), 20);
  const auto whole = fixture.caller.Call(fixture.callers, "POST", kChat, body.dump());
  REQUIRE(whole);
  CHECK(whole->status == 200);
  CHECK(whole->headers.Find("Toucanstand-Outcome") == "answered");
  CHECK(json::parse(whole->body)["choices"][0]["message"]["content"] == expected);

  const auto streamed = fixture.caller.Call(
    fixture.callers, "POST", kChat, Chat("which cartridge?", 20, true).dump());
  REQUIRE(streamed);
  CHECK(StreamText(streamed->body) == expected + "[DONE]");

  const auto lookup = fixture.caller.Call(fixture.callers, "GET", "/catalogue/17");
  REQUIRE(lookup);
  CHECK(lookup->body == ServiceAnswer("/catalogue/17", ""));
}

TEST_CASE("A stream goes on elsewhere when its engine dies", "[entry]")
{
  // Guards against lost, doubled and missing tokens after the death of an engine (R3).
  Fixture fixture(200);
  const auto body = Chat("long letter", 300, true);
  std::string bytes;
  const auto stream =
    fixture.caller.OpenStream(fixture.callers, kChat, body.dump(), {}, bytes);
  REQUIRE(stream);
  const auto log = fixture.EngineLog();
  int busy = -1;
  for (int index = 0; index < kEngines; ++index) {
    busy = log["engines"][index]["runs"].empty() ? busy : index;
  }
  REQUIRE(busy >= 0);
  fixture.caller.Json(fixture.engineControl,
                      "POST",
                      "/fault",
                      json{ { "engine", busy }, { "dead", true } }.dump());
  const auto answer = ReadToEnd(fixture.caller, *stream, bytes);
  REQUIRE(answer);
  CHECK(StreamText(*answer) == AnswerText(PromptOf(body), 300) + "[DONE]");
}

TEST_CASE("A caller that leaves ends the work on the engine", "[entry]")
{
  // Guards against engines that work for nobody (R9).
  Fixture fixture(50);
  std::string bytes;
  auto stream = fixture.caller.OpenStream(
    fixture.callers, kChat, Chat("abandoned", 100000, true).dump(), {}, bytes);
  REQUIRE(stream);
  stream.reset();
  fixture.caller.WaitFor(fixture.engineControl, "/log", [](const json& aLog) {
    return std::ranges::any_of(aLog["engines"], [](const json& aEngine) {
      return !aEngine["runs"].empty() && aEngine["runs"][0]["ended"] != "" &&
             aEngine["runs"][0]["ended"] != "running";
    });
  });
}

TEST_CASE("A request that crashes engines costs at most two, however often it is sent",
          "[entry]")
{
  // Guards against a request that takes the fleet down one server at a time (R24), and
  // against punishing other requests for it.
  Fixture fixture(2000);
  const auto poison = Chat("crash_on", 5, false).dump();
  int quarantined = 0;
  for (int attempt = 0; attempt < 50; ++attempt) {
    const auto answer = fixture.caller.Call(fixture.callers, "POST", kChat, poison);
    REQUIRE(answer);
    CHECK(answer->status != 200);
    quarantined += answer->status == 422 ? 1 : 0;
  }
  const auto log = fixture.EngineLog();
  int crashes = 0;
  for (const auto& engine : log["engines"]) {
    crashes += engine["crashes"].get<int>();
  }
  CHECK(crashes <= 2);
  CHECK(quarantined >= 48);
  const auto innocent = fixture.caller.Call(
    fixture.callers, "POST", kChat, Chat("innocent", 5, false).dump());
  REQUIRE(innocent);
  CHECK(innocent->status == 200);
}

TEST_CASE("A request is quarantined also when its engines restart at once", "[entry]")
{
  // Guards against a crashing request that goes on because its engines come back (R24).
  Fixture fixture(2000, 0);
  const auto answer = fixture.caller.Call(
    fixture.callers, "POST", kChat, Chat("crash_on", 5, false).dump());
  REQUIRE(answer);
  CHECK(answer->status == 422);
  CHECK(json::parse(answer->body)["error"]["type"] == "quarantined");
}

namespace {

/// Engines whose answers break off while they run, and which take long to say their
/// state.
struct UnansweredProbes : Fixture
{
  explicit UnansweredProbes(int aProbeMs)
    : Fixture(200, 60000, aProbeMs)
  {
    this->Fault({ { "state_delay_ms", 30000 } });
  }

  void Fault(const json& aFault)
  {
    this->caller.Json(this->engineControl, "POST", "/fault", aFault.dump());
  }

  /// Waits until one more engine runs the request, and returns its number.
  int NextEngine()
  {
    std::optional<int> found;
    this->caller.WaitFor(this->engineControl, "/log", [&](const json& aLog) {
      for (int index = 0; index < kEngines; ++index) {
        if (!aLog["engines"][index]["runs"].empty() && !this->seen.contains(index)) {
          found = index;
        }
      }
      return found.has_value();
    });
    this->seen.insert(*found);
    return *found;
  }

  std::set<int> seen;
};

} // namespace

TEST_CASE("A request whose engines answer probes late is not quarantined", "[entry]")
{
  // Guards against a busy machine on which broken connections quarantine a request that
  // crashes nothing.
  UnansweredProbes fixture(500);
  const auto body = Chat("innocent", 300, true).dump();
  std::string bytes;
  const auto stream = fixture.caller.OpenStream(fixture.callers, kChat, body, {}, bytes);
  REQUIRE(stream);
  for (int number = 0; number < 2; ++number) {
    fixture.NextEngine();
    fixture.Fault({ { "break_open", true } });
  }
  (void)ReadToEnd(fixture.caller, *stream, bytes);
  fixture.Fault({ { "state_delay_ms", 0 } });
  const auto again = fixture.caller.Call(fixture.callers, "POST", kChat, body);
  REQUIRE(again);
  INFO(again->body);
  CHECK(again->status == 200);
}

TEST_CASE("A request whose engines end while they are probed is quarantined", "[entry]")
{
  // Guards against a crash that is missed because its machine still accepts connections.
  UnansweredProbes fixture(3000);
  HttpCaller patient(std::chrono::seconds(8));
  const auto body = Chat("deadly", 300, true).dump();
  std::string bytes;
  const auto stream = patient.OpenStream(fixture.callers, kChat, body, {}, bytes);
  REQUIRE(stream);
  for (int number = 0; number < 2; ++number) {
    const int engine = fixture.NextEngine();
    fixture.Fault({ { "engine", engine }, { "break_open", true } });
    // The probe has connected and waits for an answer.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fixture.Fault({ { "engine", engine }, { "dead", true } });
  }
  (void)ReadToEnd(patient, *stream, bytes);
  const auto again = patient.Call(fixture.callers, "POST", kChat, body);
  REQUIRE(again);
  INFO(again->body);
  CHECK(again->status == 422);
}

TEST_CASE("A connection that went silent is left for a new one", "[entry]")
{
  // Guards against a stream that hangs for good, and against blaming the server (R68).
  Fixture fixture(200);
  const auto body = Chat("silent", 400, true);
  std::string bytes;
  const auto stream =
    fixture.caller.OpenStream(fixture.callers, kChat, body.dump(), {}, bytes);
  REQUIRE(stream);
  for (int index = 0; index < kEngines; ++index) {
    fixture.caller.Json(fixture.engineControl,
                        "POST",
                        "/fault",
                        json{ { "engine", index }, { "silent", true } }.dump());
  }
  const auto answer = ReadToEnd(fixture.caller, *stream, bytes);
  REQUIRE(answer);
  CHECK(StreamText(*answer) == AnswerText(PromptOf(body), 400) + "[DONE]");
}

TEST_CASE("A planned stop finishes the stream in flight and exits", "[entry]")
{
  // Guards against cutting off an answer on a planned stop (R7).
  Fixture fixture(400);
  const auto body = Chat("stopping", 200, true);
  std::string bytes;
  const auto stream =
    fixture.caller.OpenStream(fixture.callers, kChat, body.dump(), {}, bytes);
  REQUIRE(stream);
  fixture.entry.Signal(SIGTERM);
  const auto answer = ReadToEnd(fixture.caller, *stream, bytes);
  REQUIRE(answer);
  CHECK(StreamText(*answer) == AnswerText(PromptOf(body), 200) + "[DONE]");
  CHECK(fixture.entry.Wait() == 0);
}

TEST_CASE("Nothing is sent for a call whose claim can't be made", "[entry]")
{
  // Guards against a stock hold that runs without a durable claim (R5), and against
  // saying "not run" of a call that ran (R4).
  Fixture fixture(2000);
  const auto missing = fixture.caller.Call(fixture.callers, "POST", "/holds", "{}");
  REQUIRE(missing);
  CHECK(missing->status == 400);
  CHECK(missing->headers.Find("Toucanstand-Outcome") == "not-run");

  const auto refused = fixture.caller.Call(
    fixture.callers, "POST", "/holds", "{}", { { "Idempotency-Key", "k-1" } });
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(refused->headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(refused->headers.Has("Retry-After"));

  const auto lookup = fixture.caller.Call(fixture.callers, "GET", "/catalogue/3");
  REQUIRE(lookup);
  CHECK(lookup->status == 200);
  const auto log = fixture.caller.Json(fixture.serviceControl, "GET", "/log");
  CHECK(log.dump().find("/holds") == std::string::npos);
}

TEST_CASE("A call whose key or path is ambiguous reaches no server", "[entry]")
{
  // Guards against a hold that runs under the contract of the catalogue, and against two
  // processes that claim one call under different keys.
  Fixture fixture(2000);
  const auto twoKeys =
    fixture.caller.Call(fixture.callers,
                        "POST",
                        "/holds",
                        "{}",
                        { { "Idempotency-Key", "k-1" }, { "idempotency-key", "k-2" } });
  REQUIRE(twoKeys);
  CHECK(twoKeys->status == 400);
  CHECK(twoKeys->headers.Find("Toucanstand-Outcome") == "not-run");
  const auto evading =
    fixture.caller.Call(fixture.callers, "GET", "/catalogue/%2e%2e/holds");
  REQUIRE(evading);
  CHECK(evading->status == 400);
  const auto log = fixture.caller.Json(fixture.serviceControl, "GET", "/log");
  CHECK(log.dump().find("holds") == std::string::npos);
}

TEST_CASE("Bad requests get a typed error and reach no server", "[entry]")
{
  Fixture fixture(2000);
  const auto expect =
    [&](const std::string& aBody, int aStatus, const std::string& aType) {
      const auto answer = fixture.caller.Call(fixture.callers, "POST", kChat, aBody);
      REQUIRE(answer);
      INFO(aBody);
      CHECK(answer->status == aStatus);
      CHECK(json::parse(answer->body)["error"]["type"] == aType);
      CHECK(answer->headers.Find("Toucanstand-Outcome") == "not-run");
    };
  expect("{", 400, "invalid_json");
  expect("[]", 400, "invalid_json");
  expect(R"({"messages":[]})", 400, "invalid_messages");
  expect(R"({"messages":[{"role":"user"}],"max_tokens":0})", 400, "invalid_max_tokens");
  expect(R"({"messages":[{"role":"user"}],"stream":"yes"})", 400, "invalid_stream");
  const auto unknown = fixture.caller.Call(fixture.callers, "GET", "/nowhere");
  CHECK(unknown->status == 404);
  const auto log = fixture.EngineLog();
  for (const auto& engine : log["engines"]) {
    CHECK(engine["runs"].empty());
  }
}
