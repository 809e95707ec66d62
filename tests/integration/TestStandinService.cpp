#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/ServiceAnswer.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"

using namespace toucanstand;
using nlohmann::json;

TEST_CASE("A service records each run once and never one that it rejected", "[service]")
{
  // Guards against a log that cannot prove duplicate executions or false "not run".
  ProcessLauncher process("standin-service",
                          { "--listen=127.0.0.1:0", "--control=127.0.0.1:0" });
  const auto service = process.ReadEndpoint();
  const auto control = process.ReadEndpoint("control");
  HttpCaller caller;
  const auto order = [&](const std::string& aKey) {
    return caller.Call(service, "POST", "/orders", aKey, { { "Idempotency-Key", aKey } });
  };
  const auto fault = [&](const std::string& aFault) {
    caller.Json(control, "POST", "/fault", aFault);
  };
  CHECK(caller.Call(service, "GET", "/catalogue/7")->body ==
        ServiceAnswer("/catalogue/7", ""));
  CHECK(order("answered")->body == ServiceAnswer("/orders", "answered"));

  fault(R"({"refuse":true})");
  const auto refused = order("refused");
  CHECK(refused->status == 503);
  CHECK(refused->headers.Find("Not-Run") == "true");

  fault(R"({"refuse":false,"close_after_effect":1})");
  CHECK_FALSE(order("lost reply"));
  fault(R"({"instance":0,"dead":true})");
  const auto dead = order("dead");
  REQUIRE_FALSE(dead);
  CHECK(NothingWasSent(dead.LastReason()));
  fault(R"({"dead":false,"leaving":true})");
  CHECK(caller.Json(service, "GET", "/state")["leaving"] == true);
  CHECK(caller.Call(control, "POST", "/fault", R"({"surplus":1})")->status == 400);

  std::vector<std::string> keys;
  const auto log = caller.Json(control, "GET", "/log");
  for (const auto& run : log["instances"][0]["runs"]) {
    keys.push_back(run["idempotency_key"]);
  }
  CHECK(keys == std::vector<std::string>{ "", "answered", "lost reply" });
}
