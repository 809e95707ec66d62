#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A service behind a proxy. One caller uses the proxy, and another the control endpoint,
/// so that each keeps its own connections.
struct ProxiedService
{
  ProxiedService()
    : service("standin-service", { "--listen=127.0.0.1:0" })
    , target(service.ReadEndpoint())
    , process("fault-proxy",
              { "--control=127.0.0.1:0",
                "--map=127.0.0.1:0=" + target.Text(),
                "--map=127.0.0.1:0=" + target.Text() })
    , proxy(process.ReadEndpoint())
    , spare(process.ReadEndpoint())
    , control(process.ReadEndpoint("control"))
  {
  }

  void Fault(const std::string& aFault)
  {
    this->operatorCaller.Json(this->control, "POST", "/fault", aFault);
  }

  Result<HttpResponse, HttpFailure> Order(const std::string& aKey)
  {
    return this->caller.Call(
      this->proxy, "POST", "/orders", aKey, { { "Idempotency-Key", aKey } });
  }

  std::size_t Runs()
  {
    return this->operatorCaller.Json(this->target, "GET", "/log")["instances"][0]["runs"]
      .size();
  }

  ProcessLauncher service;
  Endpoint target;
  ProcessLauncher process;
  Endpoint proxy;
  Endpoint spare;
  Endpoint control;
  HttpCaller caller;
  HttpCaller operatorCaller;
};

} // namespace

TEST_CASE("A cut in one direction loses the request or only the reply", "[proxy]")
{
  // Guards against a proxy whose cut to the client also keeps requests from running, and
  // the reverse: both would hide duplicate executions.
  ProxiedService proxied;
  REQUIRE(proxied.Order("first"));
  proxied.Fault(R"({"cut_to_target":true})");
  CHECK_FALSE(proxied.Order("request cut"));
  CHECK(proxied.Runs() == 1);
  proxied.Fault(R"({"pass":true,"refuse":true})");
  proxied.Fault(R"({"pass":true,"cut_to_client":true})");
  CHECK_FALSE(proxied.Order("reply cut"));
  CHECK(proxied.Runs() == 2);
  proxied.Fault(R"({"pass":true})");
  CHECK(proxied.Order("last"));
}

TEST_CASE("Open connections go silent while new ones work, and refusal is visible",
          "[proxy]")
{
  // Guards against a blackhole that closes connections, which a client would notice.
  ProxiedService proxied;
  REQUIRE(proxied.Order("opens a connection"));
  proxied.Fault(R"({"blackhole_open":true})");
  CHECK(proxied.Order("on the silent connection").LastReason() ==
        HttpFailure::HeadTimedOut);
  CHECK(proxied.Order("on a new connection"));
  const auto log = proxied.operatorCaller.Json(proxied.control, "GET", "/log");
  CHECK(log["mappings"][0]["accepted"] == 2);

  proxied.Fault(R"({"mapping":0,"refuse":true})");
  CHECK(proxied.caller.Call(proxied.spare, "GET", "/state"));
  const auto refused = proxied.Order("refused");
  REQUIRE_FALSE(refused);
  CHECK(NothingWasSent(refused.LastReason()));
  proxied.Fault(R"({"pass":true,"delay_ms":60})");
  const auto start = BootClock::now();
  CHECK(proxied.Order("delayed"));
  CHECK(BootClock::now() - start >= 120ms);
}

TEST_CASE("A mapping keeps its port while it refuses connections", "[proxy]")
{
  // Guards against another process that takes the port of a refused link, so that the
  // link can't be restored.
  ProxiedService proxied;
  proxied.Fault(R"({"mapping":0,"refuse":true})");
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket other(loop, boost::asio::ip::tcp::v4());
  boost::system::error_code error;
  other.bind({ boost::asio::ip::address_v4::loopback(), proxied.proxy.port }, error);
  CHECK(error == boost::asio::error::address_in_use);
  other.close();
  const auto refused = proxied.Order("refused");
  REQUIRE_FALSE(refused);
  CHECK(refused.LastReason() == HttpFailure::ConnectRefused);
  proxied.Fault(R"({"pass":true})");
  CHECK(proxied.Order("link restored"));
}
