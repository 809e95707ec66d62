#include <catch2/catch.hpp>

#include <vector>

#include "crashes/CrashProbeSeries.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

using Probed = CrashProbeSeries::Observation;

constexpr std::int64_t kRun = 1700000000000;
constexpr Duration kProbeTimeout = 300ms;

const Probed kSilent{ ProbeOutcome::Silent, true, kRun };
const Probed kRefused{ ProbeOutcome::Refused, true, kRun };
const Probed kRefusedWhileCutOff{ ProbeOutcome::Refused, false, kRun };

struct Examination
{
  CrashConclusion conclusion = CrashConclusion::Open;
  std::size_t probes = 0;
  /// From the break to the end of the last probe.
  Duration time{ 0 };
};

/// Plays what the probes meet; the last observation repeats.
Examination Examine(const std::vector<Probed>& aObservations,
                    std::int64_t aStartedAtUnixMs = kRun,
                    Duration aProbeTime = kProbeTimeout)
{
  const TimePoint start{ 10s };
  CrashProbeSeries series(start, aStartedAtUnixMs);
  Examination examination;
  TimePoint now = start;
  while (examination.conclusion == CrashConclusion::Open) {
    REQUIRE(examination.probes < 100);
    const auto& observation =
      aObservations.at(std::min(examination.probes, aObservations.size() - 1));
    now = std::max(now, series.NextProbeAt()) + aProbeTime;
    examination.conclusion = series.OnProbed(observation, now);
    ++examination.probes;
  }
  CHECK(examination.probes == series.ProbeCount());
  examination.time = now - start;
  return examination;
}

} // namespace

TEST_CASE("A server that refuses a probe has crashed", "[crashes]")
{
  const auto examination = Examine({ kRefused });
  CHECK(examination.conclusion == CrashConclusion::Refused);
  CHECK(IsCrash(examination.conclusion));
  CHECK(examination.probes == 1);
}

TEST_CASE("A server that is silent and refuses a later probe has crashed", "[crashes]")
{
  // Guards against a crash that is missed because its machine answers a moment later.
  for (std::size_t silent = 1; silent < CrashProbeSeries::kMaxProbes; ++silent) {
    std::vector<Probed> observations(silent, kSilent);
    observations.push_back(kRefused);
    CHECK(Examine(observations).conclusion == CrashConclusion::Refused);
  }
}

TEST_CASE("A server that only stays silent has not crashed", "[crashes]")
{
  // Guards against a busy machine on which broken connections quarantine a request.
  const auto examination = Examine({ kSilent });
  CHECK(examination.conclusion == CrashConclusion::Unknown);
  CHECK(!IsCrash(examination.conclusion));
  CHECK(examination.probes == CrashProbeSeries::kMaxProbes);
  CHECK(examination.time <= CrashProbeSeries::kMaxTime + kProbeTimeout);
}

TEST_CASE("Probes that take long do not prolong the examination", "[crashes]")
{
  // Guards against evidence that comes when the runs of the server are forgotten.
  const auto examination = Examine({ kSilent }, kRun, 700ms);
  CHECK(examination.conclusion == CrashConclusion::Unknown);
  CHECK(examination.time <= CrashProbeSeries::kMaxTime + 700ms);
}

TEST_CASE("A server that answers has not crashed, whatever the status", "[crashes]")
{
  for (const auto outcome : { ProbeOutcome::Answered, ProbeOutcome::OtherAnswer }) {
    const Probed answered{ outcome, true, kRun };
    for (const auto& examination :
         { Examine({ answered }), Examine({ kSilent, answered }) }) {
      CHECK(examination.conclusion == CrashConclusion::Answered);
      CHECK(!IsCrash(examination.conclusion));
    }
  }
}

TEST_CASE("A server whose connections end before an answer has not crashed", "[crashes]")
{
  // Guards against a server at its limit of connections that counts as crashed.
  const Probed broken{ ProbeOutcome::Broken, true, kRun };
  CHECK(Examine({ broken }).conclusion == CrashConclusion::Unknown);
  CHECK(Examine({ broken, kRefused }).conclusion == CrashConclusion::Refused);
}

TEST_CASE("A refused probe of a VM that reaches no server is no crash", "[crashes]")
{
  // Guards against a VM that takes its own lost paths for crashed servers.
  CHECK(Examine({ kRefusedWhileCutOff }).conclusion == CrashConclusion::Unknown);
  CHECK(Examine({ kRefusedWhileCutOff, kRefused }).conclusion ==
        CrashConclusion::Refused);
}

TEST_CASE("A server that has registered another run or lost its address has crashed",
          "[crashes]")
{
  // Guards against a crash that is missed because the server is back before a probe.
  const Probed restarted{ ProbeOutcome::Answered, true, kRun + 1 };
  CHECK(Examine({ restarted }).conclusion == CrashConclusion::OtherRun);
  CHECK(Examine({ kSilent, restarted }).conclusion == CrashConclusion::OtherRun);
  const Probed replaced{ ProbeOutcome::OtherServer, true, kRun };
  CHECK(Examine({ replaced }).conclusion == CrashConclusion::OtherServer);
}

TEST_CASE("A registration that does not tell the run is no evidence of a crash",
          "[crashes]")
{
  const Probed unregistered{ ProbeOutcome::Answered, true, 0 };
  CHECK(Examine({ unregistered }).conclusion == CrashConclusion::Answered);
  const Probed registered{ ProbeOutcome::Answered, true, kRun };
  CHECK(Examine({ registered }, 0).conclusion == CrashConclusion::Answered);
}
