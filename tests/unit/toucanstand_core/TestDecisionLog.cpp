#include <array>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include "logging/DecisionLog.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

/// A pipe whose reading end the test keeps.
struct Pipe
{
  Pipe() { REQUIRE(::pipe(this->ends.data()) == 0); }
  ~Pipe()
  {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  [[nodiscard]] std::string Read() const
  {
    std::array<char, 65536> bytes{};
    const auto count = ::read(this->ends[0], bytes.data(), bytes.size());
    return count > 0 ? std::string(bytes.data(), static_cast<std::size_t>(count))
                     : std::string();
  }

  std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("A log line is one JSON object with its fields", "[log]")
{
  const Pipe pipe;
  DecisionLog log("vm-1", { pipe.ends[1], -1 }, {});
  log.Write(LogWeight::Notable,
            "request_end",
            { { "request", "a\"\n\xff" },
              { "status", std::int64_t{ 503 } },
              { "load", 0.5 },
              { "late", true } });
  const auto line = json::parse(pipe.Read());
  CHECK(line.at("vm") == "vm-1");
  CHECK(line.at("event") == "request_end");
  CHECK(line.at("request") == "a\"\n\u00ff");
  CHECK(line.at("status") == 503);
  CHECK(line.at("load") == 0.5);
  CHECK(line.at("late") == true);
}

TEST_CASE("A value of a megabyte does not fill the log", "[log]")
{
  // Guards against a caller whose id takes the place of all lines that wait.
  const Pipe pipe;
  DecisionLog log("vm-1", { pipe.ends[1], -1 }, {});
  log.Write(
    LogWeight::Notable, "request_end", { { "request", std::string(1U << 20U, '\x01') } });
  const auto text = pipe.Read();
  CHECK(text.size() < 4096);
  CHECK(json::parse(text).at("request").get<std::string>().size() < 1000);
}

TEST_CASE("Lines beyond the budget are counted, and failures have a budget of their own",
          "[log]")
{
  // Guards against a log that grows with the load, and against answered requests that
  // crowd out failures.
  const Pipe pipe;
  DecisionLog log("vm-1", { pipe.ends[1], -1 }, { 3, 2 });
  for (int number = 0; number < 100; ++number) {
    log.Write(LogWeight::Routine, "answered", {});
  }
  CHECK(log.LeftOut() >= 96);
  log.Write(LogWeight::Notable, "refused", {});
  const auto text = pipe.Read();
  const auto last = text.substr(text.rfind('{'));
  CHECK(json::parse(last).at("event") == "refused");
  CHECK(json::parse(last).at("left_out") >= 96);
}

TEST_CASE("A reader that does not read never blocks the writer", "[log]")
{
  // Guards against a process that stands still because its log is not read.
  const Pipe pipe;
  DecisionLog log("vm-1", { pipe.ends[1], -1 }, { 1'000'000, 1'000'000 });
  const std::string large(1000, 'x');
  for (int number = 0; number < 1000; ++number) {
    log.Write(LogWeight::Routine, "filler", { { "text", large } });
  }
  CHECK(log.LeftOut() > 0);
}

TEST_CASE(
  "A warning is written although the budget is used up and nobody reads decisions",
  "[log]")
{
  // Guards against lost requests that leave no line on a busy VM.
  const Pipe decisions;
  const Pipe warnings;
  DecisionLog log("vm-1", { decisions.ends[1], warnings.ends[1] }, { 1, 1 });
  const std::string large(400, 'x');
  for (int number = 0; number < 1000; ++number) {
    log.Write(LogWeight::Notable, "filler", { { "text", large } });
  }
  log.Write(LogWeight::Warning, "request_cut", { { "request", "r-1" } });
  const auto line = json::parse(warnings.Read());
  CHECK(line.at("event") == "request_cut");
  CHECK(line.at("request") == "r-1");
  CHECK(line.at("left_out") > 0);
}

TEST_CASE("Warnings that nobody reads never block the writer", "[log]")
{
  // Guards against a stop that stands still because standard error is a full pipe.
  const Pipe pipe;
  DecisionLog log("vm-1", { -1, pipe.ends[1] }, {});
  const std::string large(400, 'x');
  for (int number = 0; number < 1000; ++number) {
    log.Write(LogWeight::Warning, "request_cut", { { "text", large } });
  }
  CHECK(log.LeftOut() > 0);
}

TEST_CASE("Warnings that nobody reads leave room for other lines of the program", "[log]")
{
  // Guards against a full pipe in which the program's own warning blocks the loop.
  const Pipe pipe;
  DecisionLog log("vm-1", { -1, pipe.ends[1] }, {});
  const std::string large(400, 'x');
  for (int number = 0; number < 1000; ++number) {
    log.Write(LogWeight::Warning, "request_cut", { { "text", large } });
  }
  pollfd writable{ pipe.ends[1], POLLOUT, 0 };
  CHECK(::poll(&writable, 1, 0) == 1);
  CHECK(log.LeftOut() > 0);
}

TEST_CASE("Lines left out of the decisions are stated among the decisions", "[log]")
{
  // Guards against a count that a warning on another stream takes away.
  const Pipe decisions;
  const Pipe warnings;
  DecisionLog log("vm-1", { decisions.ends[1], warnings.ends[1] }, { 0, 1 });
  log.Write(LogWeight::Routine, "left_out", {});
  log.Write(LogWeight::Warning, "request_cut", {});
  log.Write(LogWeight::Notable, "decision", {});
  CHECK(json::parse(decisions.Read()).value("left_out", 0) == 1);
}
