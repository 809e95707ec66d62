#include <csignal>
#include <cstdio>
#include <fstream>

#include <catch2/catch.hpp>

#include "support/TestSystem.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr int kCandidates = 2 + 3;

/// Three seconds of chats and lookups.
json Plan()
{
  const json chat = { { "name", "chat" },
                      { "kind", "chat" },
                      { "weight", 1 },
                      { "timeout_ms", 8000 },
                      { "max_tokens", 30 } };
  const json lookup = {
    { "name", "lookup" }, { "kind", "lookup" }, { "weight", 4 }, { "timeout_ms", 8000 }
  };
  return { { "seed", 5 },
           { "phases", json::array({ { { "rate", 60 }, { "duration_ms", 3000 } } }) },
           { "accounts", json::array({ { { "name", "a" } } }) },
           { "requests", json::array({ chat, lookup }) } };
}

} // namespace

TEST_CASE("An entry process that drains under load breaks no answer", "[drain]")
{
  // Guards against a planned stop that cuts off requests in flight or resets connections
  // that a caller has just opened (R7).
  const int listenerWait = GENERATE(0, 1000);
  INFO("listener_wait_ms " << listenerWait);
  TestSystemOptions options;
  options.entryVms = 2;
  options.domains = 1;
  options.enginesPerDomain = 4;
  options.engineArguments = { "--tokens-per-second=60" };
  options.entrySettings["listener_wait_ms"] = listenerWait;
  TestSystem system(options);
  system.WaitForCandidates(kCandidates);

  const SettingsFile plan(Plan());
  const SettingsFile result(json::object());
  const std::string path = result.Option().substr(std::string("--config=").size());
  ProcessLauncher load("toucanstand-load",
                       { plan.Option(),
                         "--json=" + path,
                         "--target=" + system.vms[0].callers.Text(),
                         "--target=" + system.vms[1].callers.Text() });
  auto& entry = *system.vms[0].processes["toucanstand-entry"];
  system.caller.WaitFor(
    system.vms[0].operators["toucanstand-entry"], "/state", [](const json& aState) {
      return aState["state"]["in_flight"].get<int>() > 2;
    });
  entry.Signal(SIGTERM);
  CHECK(entry.Wait() == 0);
  (void)load.ReadAll();
  CHECK(load.Wait() == 0);

  std::ifstream file(path);
  const json total = json::parse(file)["total"];
  INFO(total.dump());
  // A caller whose connection is refused knows that its request was not run; every other
  // request gets its whole answer.
  CHECK(total.value("unknown", 0) == 0);
  CHECK(total.value("timed_out", 0) == 0);
  CHECK(total.value("in_time", 0) > 0);
  CHECK(total.value("in_time", 0) + total.value("not_run", 0) +
          total.value("refused", 0) ==
        total.value("sent", 0));
}
