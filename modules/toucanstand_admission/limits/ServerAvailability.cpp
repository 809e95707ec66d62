#include "limits/ServerAvailability.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* ServerAvailability::Name(Obstacle aObstacle)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "none",        "leaving", "evacuated",
                                  "retry_after", "cold",    "rate_limit" };
  return kNames.at(static_cast<std::size_t>(aObstacle));
}

ServerAvailability::ServerAvailability(const ServerDirectory& aDirectory,
                                       const ServerRateLimits& aRateLimits,
                                       const ZoneEvacuations& aEvacuations,
                                       const ColdServers& aColdServers)
  : directory(aDirectory)
  , rateLimits(aRateLimits)
  , evacuations(aEvacuations)
  , coldServers(aColdServers)
{
}

bool ServerAvailability::OnWaitStated(const ServerRun& aRun,
                                      Duration aTime,
                                      TimePoint aNow)
{
  const auto* entry = this->directory.Find(aRun.server);
  const bool isOver = entry != nullptr && entry->startedAtUnixMs != aRun.startedAtUnixMs;
  if (isOver || aTime <= Duration::zero()) {
    return false;
  }
  auto& wait = this->waits[aRun.server];
  const bool isNew = wait.startedAtUnixMs != aRun.startedAtUnixMs || wait.until <= aNow;
  const auto until = aNow + std::min(aTime, kMaxWait);
  wait.until = isNew ? until : std::max(wait.until, until);
  wait.startedAtUnixMs = aRun.startedAtUnixMs;
  return isNew;
}

Duration ServerAvailability::RemainingWait(const ServerId& aServer,
                                           const Wait& aWait,
                                           TimePoint aNow) const
{
  const auto* entry = this->directory.Find(aServer);
  const bool isOver = entry != nullptr && entry->startedAtUnixMs != aWait.startedAtUnixMs;
  return isOver ? Duration::zero() : std::max(aWait.until - aNow, Duration::zero());
}

bool ServerAvailability::IsWaiting(const ServerId& aServer, TimePoint aNow) const
{
  const auto found = this->waits.find(aServer);
  return found != this->waits.end() &&
         this->RemainingWait(aServer, found->second, aNow) > Duration::zero();
}

bool ServerAvailability::IsEvacuated(const ServerId& aServer) const
{
  const auto* entry = this->directory.Find(aServer);
  return entry != nullptr && this->evacuations.IsEvacuated(entry->zone);
}

ServerAvailability::Answer ServerAvailability::WhenMayBeSent(const ServerId& aServer,
                                                             TimePoint aNow) const
{
  const auto* entry = this->directory.Find(aServer);
  if (entry != nullptr && entry->leaving) {
    return { Obstacle::Leaving, std::nullopt };
  }
  if (this->IsEvacuated(aServer)) {
    return { Obstacle::Evacuated, std::nullopt };
  }
  const auto cold = this->coldServers.TimeUntilNextRequest(aServer, aNow);
  const auto limited = this->rateLimits.TimeUntilNextRequest(aServer, aNow);
  const auto found = this->waits.find(aServer);
  const auto waiting = found == this->waits.end()
                         ? Duration::zero()
                         : this->RemainingWait(aServer, found->second, aNow);
  const auto wait =
    limited ? std::optional(std::max({ *limited, cold, waiting })) : std::nullopt;
  if (waiting > Duration::zero()) {
    return { Obstacle::Waiting, wait };
  }
  if (cold > Duration::zero()) {
    return { Obstacle::Cold, wait };
  }
  return { limited == Duration::zero() ? Obstacle::None : Obstacle::RateLimit, limited };
}

std::vector<ServerAvailability::SparedServer> ServerAvailability::Spared(
  TimePoint aNow) const
{
  std::vector<SparedServer> spared;
  for (const auto& [server, wait] : this->waits) {
    if (this->RemainingWait(server, wait, aNow) > Duration::zero()) {
      spared.push_back({ server, Obstacle::Waiting });
    }
  }
  for (auto& server : this->coldServers.Exhausted(aNow)) {
    if (!this->IsWaiting(server, aNow)) {
      spared.push_back({ std::move(server), Obstacle::Cold });
    }
  }
  for (auto& server : this->rateLimits.Exhausted(aNow)) {
    const bool isCold =
      this->coldServers.TimeUntilNextRequest(server, aNow) > Duration::zero();
    if (!isCold && !this->IsWaiting(server, aNow)) {
      spared.push_back({ std::move(server), Obstacle::RateLimit });
    }
  }
  return spared;
}

void ServerAvailability::OnTime(TimePoint aNow)
{
  std::erase_if(this->waits, [&](const auto& aEntry) {
    return this->RemainingWait(aEntry.first, aEntry.second, aNow) <= Duration::zero();
  });
}

nlohmann::json ServerAvailability::Describe(TimePoint aNow) const
{
  auto document = nlohmann::json::array();
  for (const auto& [server, wait] : this->waits) {
    document.push_back(
      { { "server", server.Value() },
        { "wait_ms", ToMilliseconds(this->RemainingWait(server, wait, aNow)).count() } });
  }
  return document;
}

} // namespace toucanstand
