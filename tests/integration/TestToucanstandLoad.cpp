#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

/// A file that is removed with the object.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aName)
    : path(std::filesystem::temp_directory_path() /
           (std::to_string(::getpid()) + "-" + aName))
  {
  }
  ~TemporaryFile() { std::filesystem::remove(this->path); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  [[nodiscard]] std::string Path() const { return this->path.string(); }

private:
  std::filesystem::path path;
};

struct LoadOutcome
{
  int exitCode = 0;
  json result;
};

LoadOutcome RunLoad(const std::vector<Endpoint>& aTargets,
                    double aRate,
                    int aMilliseconds,
                    const std::vector<json>& aRequests)
{
  const TemporaryFile plan("plan.json");
  const TemporaryFile result("result.json");
  std::ofstream(plan.Path()) << json{
    { "seed", 5 },
    { "require_outcome", false },
    { "phases", { { { "rate", aRate }, { "duration_ms", aMilliseconds } } } },
    { "accounts", { { { "name", "a" } }, { { "name", "b" }, { "weight", 3 } } } },
    { "requests", aRequests }
  };
  std::vector<std::string> arguments = { "--config=" + plan.Path(),
                                         "--json=" + result.Path() };
  for (const auto& target : aTargets) {
    arguments.push_back("--target=" + target.Text());
  }
  ProcessLauncher load("toucanstand-load", arguments);
  const auto table = load.ReadAll();
  INFO(table);
  LoadOutcome outcome;
  outcome.exitCode = load.Wait();
  outcome.result = json::parse(std::ifstream(result.Path()));
  return outcome;
}

json Chat(int aTokens, double aAbandonShare = 0)
{
  return { { "name", "chat" },
           { "kind", "chat" },
           { "max_tokens", aTokens },
           { "timeout_ms", 20'000 },
           { "abandon_share", aAbandonShare },
           { "abandon_after_ms", 400 },
           { "again_share", 1 } };
}

std::uint64_t Total(const LoadOutcome& aOutcome, const char* aName)
{
  return aOutcome.result["total"].value(aName, std::uint64_t{ 0 });
}

} // namespace

TEST_CASE("Latency counts from the intended start, however slow the server", "[load]")
{
  // Guards against coordinated omission: a generator that waits for answers would send
  // slower and report only the 50 ms that a request takes once it runs. The server takes
  // 20 requests a second and is offered 60.
  ProcessLauncher engine("standin-engine",
                         { "--slots=1", "--tokens-per-second=100", "--prefill-ms=0" });
  const auto outcome = RunLoad({ engine.ReadEndpoint() }, 60, 1000, { Chat(5) });
  CHECK(outcome.exitCode == 0);
  CHECK(Total(outcome, "sent") > 40);
  CHECK(Total(outcome, "in_time") == Total(outcome, "sent"));
  CHECK(outcome.result["kinds"]["chat"]["latency"]["p99_ms"] > 1000);
  CHECK(outcome.result["kinds"]["chat"]["first_token"]["samples"] ==
        Total(outcome, "sent"));
}

TEST_CASE("Callers that give up are counted, ask again and stop the engine's work",
          "[load]")
{
  // Guards against requests that are lost from the counts, and against callers that give
  // up without closing their connection.
  ProcessLauncher engine("standin-engine",
                         { "--count=2",
                           "--control=127.0.0.1:0",
                           "--slots=64",
                           "--tokens-per-second=100",
                           "--prefill-ms=0" });
  const std::vector<Endpoint> targets = { engine.ReadEndpoint(), engine.ReadEndpoint() };
  const auto control = engine.ReadEndpoint("control");
  const auto outcome = RunLoad(targets, 100, 500, { Chat(100, 0.5) });
  CHECK(outcome.exitCode == 0);
  const auto abandoned = Total(outcome, "abandoned");
  CHECK(abandoned > 5);
  CHECK(Total(outcome, "again") == abandoned);
  CHECK(Total(outcome, "in_time") + abandoned == Total(outcome, "sent"));

  HttpCaller caller;
  std::uint64_t disconnected = 0;
  std::uint64_t runs = 0;
  const auto log = caller.Json(control, "GET", "/log");
  for (const auto& one : log["engines"]) {
    CHECK(one["runs"].size() > 10);
    for (const auto& run : one["runs"]) {
      ++runs;
      disconnected += run["ended"] == "disconnected" ? 1 : 0;
    }
  }
  CHECK(runs == Total(outcome, "sent"));
  CHECK(disconnected == abandoned);
}

TEST_CASE("A wrong answer fails the run", "[load]")
{
  // Guards against a checker that is never reached: a service answers chats with
  // something else.
  ProcessLauncher service("standin-service", { "--slots=64" });
  const auto endpoint = service.ReadEndpoint();
  const json order = { { "name", "order" }, { "kind", "order" }, { "timeout_ms", 5000 } };
  const json lookup = { { "name", "lookup" },
                        { "kind", "lookup" },
                        { "timeout_ms", 5000 } };
  const auto right = RunLoad({ endpoint }, 100, 200, { order, lookup });
  CHECK(right.exitCode == 0);
  CHECK(Total(right, "in_time") == Total(right, "sent"));
  const auto wrong = RunLoad({ endpoint }, 100, 200, { Chat(5) });
  CHECK(wrong.exitCode == 1);
  CHECK(Total(wrong, "wrong") == Total(wrong, "sent"));
}
