#include "CrashDetector.h"

#include <algorithm>
#include <ranges>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "ServingState.h"

namespace toucanstand {

namespace asio = boost::asio;

namespace {

/// Other servers that are asked whether this VM's own paths work. Several of them may
/// have ended for the same reason; they refuse at once.
constexpr std::size_t kMaxOthers = 8;
/// Time after which no other server is asked.
constexpr Duration kMaxTimeForOthers = std::chrono::milliseconds(300);

/// True if the probe got a connection to the server.
bool IsReached(ProbeOutcome aOutcome)
{
  return aOutcome != ProbeOutcome::Refused && aOutcome != ProbeOutcome::Silent;
}

} // namespace

CrashDetector::CrashDetector(ServingState& aState)
  : state(aState)
{
}

void CrashDetector::OnConnectionBroke(const ServerId& aServer, const Endpoint& aEndpoint)
{
  if (this->state.availability.IsEvacuated(aServer)) {
    return;
  }
  const bool isNew =
    this->breaks
      .insert_or_assign(aServer,
                        Break{ BootClock::now(), this->RegisteredStart(aServer) })
      .second;
  if (isNew) {
    asio::co_spawn(this->state.loop, this->Examine(aServer, aEndpoint), asio::detached);
  }
}

Task<> CrashDetector::Examine(ServerId aServer, Endpoint aEndpoint)
{
  bool isDone = false;
  while (!isDone) {
    const Break examined = this->breaks.at(aServer);
    const auto conclusion = co_await this->Probe(aServer, aEndpoint, examined);
    // An answer from before another break says nothing about that one.
    isDone = IsCrash(conclusion) || this->breaks.at(aServer).at == examined.at;
  }
  this->breaks.erase(aServer);
}

Task<CrashConclusion> CrashDetector::Probe(ServerId aServer,
                                           Endpoint aEndpoint,
                                           Break aBreak)
{
  CrashProbeSeries series(aBreak.at, aBreak.startedAtUnixMs);
  CrashProbeSeries::Observation observation;
  auto conclusion = CrashConclusion::Open;
  while (conclusion == CrashConclusion::Open) {
    asio::steady_timer timer(this->state.loop);
    timer.expires_after(
      std::max(series.NextProbeAt() - BootClock::now(), Duration::zero()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (this->state.availability.IsEvacuated(aServer)) {
      conclusion = CrashConclusion::Unknown;
      break;
    }
    observation.outcome = co_await this->state.engineClient.Probe(aServer, aEndpoint);
    observation.reachesOthers = this->state.paths.HasConnectedSince(aBreak.at);
    if (observation.outcome == ProbeOutcome::Refused && !observation.reachesOthers) {
      observation.reachesOthers = co_await this->ReachesAnotherServer(aServer);
      // A partition of this VM may have ended between the two.
      observation.outcome = co_await this->state.engineClient.Probe(aServer, aEndpoint);
    }
    observation.startedAtUnixMs = this->RegisteredStart(aServer);
    conclusion = series.OnProbed(observation, BootClock::now());
  }
  this->Record(aServer, conclusion, series, observation.outcome);
  co_return conclusion;
}

Task<bool> CrashDetector::ReachesAnotherServer(ServerId aExcept)
{
  std::vector<ServerEntry> others;
  for (const auto& entry : this->state.directory.Servers() | std::views::values) {
    if (entry.id != aExcept && !this->state.availability.IsEvacuated(entry.id)) {
      others.push_back(entry);
    }
  }
  std::ranges::shuffle(others, this->state.random.Engine());
  others.resize(std::min(others.size(), kMaxOthers));
  const auto askedAt = BootClock::now();
  for (const auto& other : others) {
    if (BootClock::now() - askedAt >= kMaxTimeForOthers) {
      break;
    }
    if (IsReached(co_await this->state.engineClient.Probe(other.id, other.endpoint))) {
      co_return true;
    }
  }
  co_return false;
}

void CrashDetector::Record(const ServerId& aServer,
                           CrashConclusion aConclusion,
                           const CrashProbeSeries& aSeries,
                           ProbeOutcome aLastOutcome)
{
  this->state.metrics.Count(std::string("crash_examinations_total{conclusion=\"") +
                            Name(aConclusion) + "\"}");
  const auto probes = static_cast<std::int64_t>(aSeries.ProbeCount());
  if (!IsCrash(aConclusion)) {
    this->state.log.Write(LogWeight::Notable,
                          "server_not_crashed",
                          { { "server", aServer.Value() },
                            { "conclusion", Name(aConclusion) },
                            { "last_probe", Name(aLastOutcome) },
                            { "probes", probes } });
    return;
  }
  const auto now = BootClock::now();
  const auto suspects = this->state.quarantine.OnServerCrashed(aServer, now);
  this->state.promptPartQuarantine.OnServerCrashed(aServer, now);
  this->state.log.Write(LogWeight::Notable,
                        "server_crashed",
                        { { "server", aServer.Value() },
                          { "evidence", Name(aConclusion) },
                          { "probes", probes },
                          { "suspects", static_cast<std::int64_t>(suspects.size()) } });
}

std::int64_t CrashDetector::RegisteredStart(const ServerId& aServer) const
{
  const auto* entry = this->state.directory.Find(aServer);
  return entry == nullptr ? 0 : entry->startedAtUnixMs;
}

} // namespace toucanstand
