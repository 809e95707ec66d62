#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "messages/MessagePort.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

/// Destroys ports while messages arrive. @returns false if the ports can't be set up
bool DestroyReceivingPorts()
{
  constexpr std::size_t kPorts = 20;
  constexpr int kMessages = 16;
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  MessagePort sender(loop, metrics);
  if (!sender.Listen({ "127.0.0.1", 0 }, [](const Message&) {})) {
    return false;
  }
  std::vector<std::unique_ptr<MessagePort>> ports;
  std::size_t received = 0;
  for (std::size_t number = 0; number < kPorts; ++number) {
    auto& port = ports.emplace_back(std::make_unique<MessagePort>(loop, metrics));
    const auto address =
      port->Listen({ "127.0.0.1", 0 }, [&received](const Message&) { ++received; });
    if (!address) {
      return false;
    }
    sender.Send(*address, "probe", nlohmann::json::object());
  }
  while (received < kPorts) {
    if (loop.run_one_for(5s) == 0) {
      return false;
    }
  }
  for (auto& port : ports) {
    for (int number = 0; number < kMessages; ++number) {
      sender.Send(port->Address(), "probe", nlohmann::json::object());
    }
    port.reset();
  }
  return true;
}

} // namespace

TEST_CASE("A message arrives with its sender, and malformed ones are counted",
          "[messages]")
{
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  MessagePort left(loop, metrics);
  MessagePort right(loop, metrics);
  std::vector<Message> received;
  const auto leftAddress = *left.Listen({ "127.0.0.1", 0 }, [](const Message&) {});
  const auto rightAddress =
    *right.Listen({ "127.0.0.1", 0 }, [&](const Message& aMessage) {
      received.push_back(aMessage);
      loop.stop();
    });

  nng_socket hostile{};
  REQUIRE(nng_push0_open(&hostile) == 0);
  REQUIRE(nng_dial(hostile, ("tcp://" + rightAddress.Text()).c_str(), nullptr, 0) == 0);
  std::string bytes = "not a message";
  REQUIRE(nng_send(hostile, bytes.data(), bytes.size(), 0) == 0);
  // Delivered on one connection in order, so the second also proves the first arrived.
  const auto odd = nlohmann::json::to_msgpack({ { "version", 99 } });
  std::string oddBytes(odd.begin(), odd.end());
  REQUIRE(nng_send(hostile, oddBytes.data(), oddBytes.size(), 0) == 0);
  const auto wanted = [&] {
    return metrics.CounterValue("messages_rejected_total{reason=\"envelope\"}") == 1;
  };
  while (!wanted()) {
    loop.run_one_for(5s);
  }
  CHECK(metrics.CounterValue("messages_rejected_total{reason=\"malformed\"}") == 1);
  nng_close(hostile);

  left.Send(rightAddress, "probe", { { "incarnation", 3 } }, 17);
  loop.run_for(10s);
  REQUIRE(received.size() == 1);
  CHECK(received[0].type == "probe");
  CHECK(received[0].from == leftAddress);
  CHECK(received[0].correlation == 17);
  CHECK(received[0].body.at("incarnation") == 3);
}

TEST_CASE("A port that is destroyed while messages arrive does not block its process",
          "[messages]")
{
  constexpr int kRounds = 10;
  constexpr auto kPatience = 60s;
  std::packaged_task<bool()> task([] {
    bool areSetUp = true;
    for (int round = 0; round < kRounds && areSetUp; ++round) {
      areSetUp = DestroyReceivingPorts();
    }
    return areSetUp;
  });
  auto done = task.get_future();
  // Not joined, as a blocked thread would keep the case from failing.
  std::thread(std::move(task)).detach();
  REQUIRE(done.wait_for(kPatience) == std::future_status::ready);
  CHECK(done.get());
}
