#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "limits/ColdServers.h"
#include "limits/ServerRateLimits.h"
#include "serving/ServerDirectory.h"
#include "serving/ServerRun.h"
#include "serving/ZoneEvacuations.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Answers when this VM may send a server a request, and if not now, why not.
///
/// It joins what ServerDirectory knows of servers that leave, ZoneEvacuations of zones
/// whose servers get nothing, ColdServers and ServerRateLimits of their limits with the
/// times for which servers want nothing. Ejection is not part of it: it prefers other
/// candidates, and forbids none.
class ServerAvailability
{
public:
  /// Longest time for which a server gets nothing. A server that names a longer one by
  /// mistake is asked again after it; a repair that takes longer replaces the server.
  static constexpr Duration kMaxWait = std::chrono::minutes(10);

  /// Why a server must get no request.
  enum class Obstacle
  {
    None,
    /// It finishes what it has.
    Leaving,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It wants nothing for a time that it named.
    Waiting,
    /// It is cold, or the head of a group with a cold member, and this VM has used up its
    /// share of what such a server tolerates.
    Cold,
    /// This VM has used up its share of the server's rate limit.
    RateLimit,
  };

  [[nodiscard]] static const char* Name(Obstacle aObstacle);

  /// All must outlive this object.
  ServerAvailability(const ServerDirectory& aDirectory,
                     const ServerRateLimits& aRateLimits,
                     const ZoneEvacuations& aEvacuations,
                     const ColdServers& aColdServers);

  /// A run of a server wants nothing for this time. It does not shorten a longer one that
  /// the run named before: both were said, and answers overtake each other.
  /// @returns true if the run had named no time that still lasts
  bool OnWaitStated(const ServerRun& aRun, Duration aTime, TimePoint aNow);

  /// When a request may be sent.
  struct Answer
  {
    Obstacle obstacle = Obstacle::None;
    /// Time until then, zero for now; nothing if none is known.
    std::optional<Duration> wait = Duration::zero();
  };
  [[nodiscard]] Answer WhenMayBeSent(const ServerId& aServer, TimePoint aNow) const;

  /// True while the server wants nothing, orders included.
  [[nodiscard]] bool IsWaiting(const ServerId& aServer, TimePoint aNow) const;

  /// True while the server's zone is evacuated.
  [[nodiscard]] bool IsEvacuated(const ServerId& aServer) const;

  /// Whether anything may be sent to the server, such as an order or a probe.
  [[nodiscard]] bool MayBeContacted(const ServerId& aServer, TimePoint aNow) const
  {
    return !this->IsEvacuated(aServer) && !this->IsWaiting(aServer, aNow);
  }

  /// A server that must get no request now.
  struct SparedServer
  {
    ServerId server;
    Obstacle obstacle = Obstacle::None;
  };
  /// Servers that must get no request now although they are destinations: those that
  /// leave, or whose zone is evacuated, are none.
  [[nodiscard]] std::vector<SparedServer> Spared(TimePoint aNow) const;

  /// Forgets times that have ended and runs that are over. Call about once a second.
  void OnTime(TimePoint aNow);

  /// The servers that want nothing for now.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Wait
  {
    std::int64_t startedAtUnixMs = 0;
    TimePoint until{};
  };

  /// Time for which the present run of a server wants nothing.
  [[nodiscard]] Duration RemainingWait(const ServerId& aServer,
                                       const Wait& aWait,
                                       TimePoint aNow) const;

  const ServerDirectory& directory;
  const ServerRateLimits& rateLimits;
  const ZoneEvacuations& evacuations;
  const ColdServers& coldServers;
  std::unordered_map<ServerId, Wait> waits;
};

} // namespace toucanstand
