#include <csignal>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/TokenFunction.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr const char* kChat = "/v1/chat/completions";

json Body(const std::string& aQuestion, int aTokens)
{
  return { { "messages", { { { "role", "user" }, { "content", aQuestion } } } },
           { "max_tokens", aTokens } };
}

std::string Events(const json& aBody, const std::string& aId, int aFirst)
{
  std::string events;
  for (int index = aFirst; index < aBody["max_tokens"].get<int>(); ++index) {
    const json event = { { "id", aId },
                         { "index", index },
                         { "token", TokenText(PromptOf(aBody), index) } };
    events += "data: " + event.dump() + "\n\n";
  }
  return events + "data: [DONE]\n\n";
}

/// An engine process with two engines and its control endpoint.
struct Engines
{
  explicit Engines(const std::vector<std::string>& aMore = {})
    : process("standin-engine", this->Arguments(aMore))
    , first(process.ReadEndpoint())
    , second(process.ReadEndpoint())
    , control(process.ReadEndpoint("control"))
  {
  }

  static std::vector<std::string> Arguments(const std::vector<std::string>& aMore)
  {
    std::vector<std::string> arguments = {
      "--listen=127.0.0.1:0", "--control=127.0.0.1:0", "--count=2",
      "--prefill-ms=0",       "--report-lag-ms=0",     "--load-ms=10"
    };
    arguments.insert(arguments.end(), aMore.begin(), aMore.end());
    return arguments;
  }

  ProcessLauncher process;
  Endpoint first;
  Endpoint second;
  Endpoint control;
  HttpCaller caller;
};

} // namespace

TEST_CASE("An engine streams, resumes, checks its group and ends on SIGTERM", "[engine]")
{
  // Guards against answers that a resumed stream or a load generator would not match.
  Engines engines({ "--tokens-per-second=2000" });
  auto& caller = engines.caller;
  const auto body = Body("hello", 5);
  const auto whole =
    caller.Call(engines.first, "POST", kChat, body.dump(), { { "Request-Id", "a" } });
  REQUIRE(whole);
  CHECK(whole->body == Events(body, "a", 0));
  const auto resumed = caller.Call(engines.second,
                                   "POST",
                                   kChat,
                                   body.dump(),
                                   { { "Request-Id", "b" }, { "Resume-Offset", "3" } });
  REQUIRE(resumed);
  CHECK(resumed->body == Events(body, "b", 3));

  const json order = { { "fence", 7 },
                       { "group", "g" },
                       { "generation", 2 },
                       { "members", { "engine-0" } },
                       { "model", "m" } };
  REQUIRE(caller.Call(engines.first, "POST", "/control/order", order.dump())->status ==
          202);
  caller.WaitFor(engines.first, "/state", [](const json& aState) {
    return aState["group"] == "g" && aState["generation"] == 2 && aState["fence"] == 7;
  });
  const json stale = { { "fence", 6 }, { "group", "h" }, { "generation", 3 } };
  CHECK(caller.Call(engines.first, "POST", "/control/order", stale.dump())->status ==
        409);
  const auto mismatch = caller.Call(engines.first,
                                    "POST",
                                    kChat,
                                    body.dump(),
                                    { { "Group", "g" }, { "Generation", "1" } });
  CHECK(mismatch->status == 409);
  CHECK(mismatch->headers.Find("Not-Run") == "true");
  engines.process.Signal(SIGTERM);
  CHECK(engines.process.Wait() == 0);
}

TEST_CASE("A crash breaks streams off, refuses connections and ends", "[engine]")
{
  // Guards against a crash that looks like a complete answer, and against an engine that
  // does not come back.
  Engines engines({ "--tokens-per-second=100", "--restart-ms=2000" });
  auto& caller = engines.caller;
  std::string bytes;
  const auto stream = caller.OpenStream(engines.first,
                                        kChat,
                                        Body("victim", 10'000).dump(),
                                        { { "Request-Id", "v" } },
                                        bytes);
  REQUIRE(stream);
  CHECK_FALSE(caller.Call(engines.first, "POST", kChat, Body("crash_on", 3).dump()));
  auto rest = caller.Read(*stream);
  while (rest && !rest->empty()) {
    rest = caller.Read(*stream);
  }
  CHECK(rest.LastReason() == HttpFailure::BrokenInBody);
  const auto refused = caller.Call(engines.first, "GET", "/state");
  REQUIRE_FALSE(refused);
  CHECK(refused.LastReason() == HttpFailure::ConnectRefused);
  caller.WaitFor(engines.first, "/state", [](const json&) { return true; });
  const auto log = caller.Json(engines.control, "GET", "/log");
  CHECK(log["engines"][0]["crashes"] == 1);
  CHECK(log["engines"][0]["runs"].size() == 2);
  CHECK(log["engines"][0]["runs"][0]["ended"] == "crashed");
  CHECK(log["engines"][1]["crashes"] == 0);
}

TEST_CASE("A closed connection and a cancel call end the run", "[engine]")
{
  // Guards against engines that would hide work spent on abandoned requests.
  Engines engines;
  auto& caller = engines.caller;
  const auto body = Body("long", 100'000).dump();
  std::string bytes;
  caller.OpenStream(engines.first, kChat, body, { { "Request-Id", "a" } }, bytes).reset();
  const auto kept =
    caller.OpenStream(engines.second, kChat, body, { { "Request-Id", "b" } }, bytes);
  CHECK(caller.Json(engines.second, "DELETE", "/v1/requests/b")["cancelled"] == 1);
  caller.WaitFor(engines.control, "/log", [](const json& aLog) {
    return aLog["engines"][0]["runs"][0]["ended"] == "disconnected" &&
           aLog["engines"][1]["runs"][0]["ended"] == "cancelled";
  });
}

TEST_CASE("Connections open at a silence stall while new ones work", "[engine]")
{
  // Guards against a silence that also hits probes over fresh connections.
  Engines engines;
  auto& caller = engines.caller;
  std::string bytes;
  const auto stream = caller.OpenStream(
    engines.first, kChat, Body("x", 100'000).dump(), { { "Request-Id", "s" } }, bytes);
  REQUIRE(stream);
  caller.Json(engines.control, "POST", "/fault", R"({"engine":0,"silent":true})");
  auto rest = caller.Read(*stream);
  while (rest && !rest->empty()) {
    rest = caller.Read(*stream);
  }
  CHECK(rest.LastReason() == HttpFailure::BodyTimedOut);
  CHECK(caller.Json(engines.first, "GET", "/state")["server"] == "engine-0");
}
