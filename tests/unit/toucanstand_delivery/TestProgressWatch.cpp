#include <catch2/catch.hpp>

#include "progress/ProgressWatch.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr ProgressTimeouts kLimits{ 10s, 2s, 1s };

} // namespace

TEST_CASE("A probe distinguishes a silent connection from a silent server", "[progress]")
{
  // Guards against ejecting a server because of one dead connection, and against waiting
  // for a server that never answers the probe.
  const TimePoint start{};
  ProgressWatch connection(kLimits, start);
  CHECK(connection.OnTime(start + 9s) == ProgressAction::None);
  REQUIRE(connection.OnTime(start + 10s) == ProgressAction::Probe);
  CHECK(connection.OnProbeResult(true) == ProgressAction::CloseConnection);

  ProgressWatch server(kLimits, start);
  REQUIRE(server.OnTime(start + 10s) == ProgressAction::Probe);
  REQUIRE(server.NextCheck() == start + 11s);
  CHECK(server.OnTime(start + 11s) == ProgressAction::SuspectServer);
  CHECK(server.NextCheck() == TimePoint::max());
}

TEST_CASE("Bytes that arrive during a probe cancel it", "[progress]")
{
  // Guards against closing a connection that is only slow.
  const TimePoint start{};
  ProgressWatch watch(kLimits, start);
  watch.OnProgress(start + 1s);
  REQUIRE(watch.NextCheck() == start + 3s);
  REQUIRE(watch.OnTime(start + 3s) == ProgressAction::Probe);
  watch.OnProgress(start + 3500ms);
  CHECK(watch.OnProbeResult(false) == ProgressAction::None);
  CHECK(watch.OnTime(start + 4s) == ProgressAction::None);
}
