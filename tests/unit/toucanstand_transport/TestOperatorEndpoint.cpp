#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "http/HttpClient.h"
#include "operators/OperatorEndpoint.h"

using namespace toucanstand;
using namespace std::chrono_literals;

TEST_CASE("A readiness check gets its answer whether the process is ready or not",
          "[operators]")
{
  // Guards against a process that a balancer's check ends before it is ready: GCC 12
  // destroyed a temporary twice, seen as "munmap_chunk(): invalid pointer".
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  bool ready = false;
  OperatorHooks hooks;
  hooks.isReady = [&ready] { return ready; };
  hooks.describe = [] { return nlohmann::json::object(); };
  hooks.drain = [] {};
  OperatorEndpoint operators(loop, "test", metrics, hooks);
  const auto endpoint = *operators.Listen({ "127.0.0.1", 0 });
  HttpClient client(loop, metrics);
  std::vector<int> statuses;
  boost::asio::co_spawn(
    loop,
    [&]() -> Task<> {
      for (const bool next : { false, true, false }) {
        ready = next;
        const HttpDeadlines deadlines;
        HttpRequest request;
        request.target = "/readyz";
        const auto response = co_await client.Fetch(endpoint, request, deadlines);
        statuses.push_back(response ? response->status : 0);
      }
      loop.stop();
    },
    boost::asio::detached);
  loop.run_for(20s);
  CHECK(statuses == std::vector<int>{ 503, 200, 503 });
}
