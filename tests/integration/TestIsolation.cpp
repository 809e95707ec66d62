#include <catch2/catch.hpp>

#include "support/TestSystem.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t kCutVm = 2;
constexpr const char* kLookup = "/catalogue/7";
/// Bound on the time until an accepted change is in force everywhere (R8).
constexpr Duration kAcceptedBound = 11s;
/// Longest time until a VM that was healed serves again.
constexpr Duration kRecoveryBound = 30s;

/// What a lookup through a VM shows: served with the old revision, served with the new
/// one, in which a lookup needs a key, or neither.
std::string Lookup(TestSystem& aSystem, std::size_t aVm)
{
  const auto answer = aSystem.caller.Call(aSystem.vms[aVm].callers, "GET", kLookup);
  if (!answer) {
    return "broken";
  }
  if (answer->status == 200) {
    return "old";
  }
  if (answer->status == 400) {
    return "new";
  }
  const bool notRun = answer->headers.Find("Toucanstand-Outcome") == "not-run";
  return std::string(json::parse(answer->body)["error"]["type"]) +
         (notRun ? "" : " without not-run");
}

/// Repeats lookups until one shows this. @returns the time it took
Duration WaitForLookup(TestSystem& aSystem,
                       std::size_t aVm,
                       const std::string& aWanted,
                       const std::string& aForbidden,
                       Duration aLongest)
{
  const auto start = BootClock::now();
  std::string last;
  while (BootClock::now() - start < aLongest) {
    last = Lookup(aSystem, aVm);
    if (last == aWanted) {
      return BootClock::now() - start;
    }
    REQUIRE(last != aForbidden);
  }
  FAIL("VM " << aVm << " shows " << last << " instead of " << aWanted);
  return aLongest;
}

/// Writes a configuration in which lookups must not be repeated, and waits until it is
/// accepted.
void ChangeConfiguration(TestSystem& aSystem)
{
  auto document = aSystem.configuration;
  document["revision"] = 2;
  document["nonce"] = "second";
  document["defaults"]["contracts"][1]["repeatability"] = "only-once";
  aSystem.Put("/toucanstand/configuration", document.dump());
  aSystem.caller.WaitFor(
    aSystem.vms[0].operators["toucanstand-node"], "/state", [](const json& aState) {
      const auto& acceptance = aState["state"]["configuration"]["acceptance"];
      return acceptance["state"] == "accepted" && acceptance["revision"] == 2;
    });
}

/// Cuts a VM off, changes the configuration and heals the VM.
void CheckCut(const json& aNodeFault, const json& aStoreFault)
{
  TestSystemOptions options;
  options.domains = 1;
  options.enginesPerDomain = 2;
  options.proxiedVm = static_cast<int>(kCutVm);
  TestSystem system(options);
  system.WaitForCandidates(4);
  REQUIRE(Lookup(system, kCutVm) == "old");

  system.SetProxyFault(aNodeFault);
  system.SetProxyFault(aStoreFault);
  ChangeConfiguration(system);
  const auto accepted = BootClock::now();
  for (const std::size_t vm : { std::size_t{ 0 }, std::size_t{ 1 } }) {
    WaitForLookup(system, vm, "new", "", kAcceptedBound);
  }
  const auto left = kAcceptedBound - (BootClock::now() - accepted);
  WaitForLookup(system, kCutVm, "isolated", "new", left);
  INFO("isolated " << ToMilliseconds(BootClock::now() - accepted).count()
                   << " ms after the change was accepted");
  // It stays isolated while the others serve.
  for (int repeat = 0; repeat < 200; ++repeat) {
    REQUIRE(Lookup(system, kCutVm) == "isolated");
    REQUIRE(Lookup(system, 0) == "new");
  }

  system.SetProxyFault({ { "pass", true } });
  const auto recovery = WaitForLookup(system, kCutVm, "new", "old", kRecoveryBound);
  INFO("served " << ToMilliseconds(recovery).count() << " ms after the cut ended");
  for (int repeat = 0; repeat < 200; ++repeat) {
    REQUIRE(Lookup(system, kCutVm) == "new");
  }
  CHECK(recovery < kRecoveryBound);
}

} // namespace

TEST_CASE("A VM cut off from store and peers refuses work and returns with the new "
          "configuration",
          "[faults]")
{
  // Guards against serving with a revision older than an accepted one (R8, R62, R63).
  CheckCut({ { "mapping", 0 }, { "refuse", true } },
           { { "mapping", 1 }, { "refuse", true } });
}

TEST_CASE("A VM that is heard but hears nothing refuses work as well", "[faults]")
{
  // Guards against counting own messages, or answers that arrive late, as contact (R62).
  CheckCut({ { "mapping", 0 }, { "cut_to_target", true } },
           { { "mapping", 1 }, { "cut_to_client", true } });
}
