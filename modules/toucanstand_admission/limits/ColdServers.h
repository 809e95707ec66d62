#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "limits/RateShares.h"
#include "serving/ServerDirectory.h"
#include "serving/ServerEntry.h"
#include "serving/ServingConfiguration.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Which servers are cold, and how many requests this VM may send to each of them.
///
/// All VMs together stay within a bound in every second, also VMs that start, are killed,
/// frozen or partitioned: a VM uses a share only if it has held it in every view of the
/// fleet for kHandover, and if it knows the fleet as of kHandover ago at most.
class ColdServers
{
public:
  /// Time for which a VM has to hold a share before it uses it, and for which a VM that
  /// lost the store keeps its share. Longer than the age of a copy of the store that
  /// counts as recent (2 s), and about as long as an engine stays cold.
  static constexpr Duration kHandover = std::chrono::seconds(3);
  /// Age that a registration may have when it is read.
  static constexpr Duration kRegistrationAge = std::chrono::seconds(2);
  /// Part of the bound that is not divided, for requests of VMs that do not know that a
  /// server is cold, and for requests that are delayed on their way.
  static constexpr double kReserve = 0.2;
  /// A cold server may get one request in this time, however low its bound is.
  static constexpr Duration kMaxRequestInterval = std::chrono::seconds(2);
  /// Time for which a VM whose registration has vanished counts as one that is cut off
  /// and sends a cold server as much as a warm one. Partitions seldom last longer.
  static constexpr Duration kAbsenceRetention = std::chrono::minutes(1);
  /// Least time for which the run of a server without a registration is remembered.
  static constexpr Duration kRunRetention = std::chrono::minutes(10);

  /// In any second a cold server gets at most its rate times `overshoot` plus `slack`.
  struct Tolerance
  {
    double overshoot = 1;
    double slack = 0;
  };

  /// @param aDirectory must outlive this object
  ColdServers(const ServerDirectory& aDirectory, Tolerance aTolerance);

  /// Sets the rates of cold servers. Servers of pools without one are never cold.
  void SetPools(const std::vector<ServingPool>& aPools);

  /// A copy of the registrations of the entry VMs.
  struct FleetView
  {
    std::string self;
    std::vector<std::string> others;
    /// The copy contains this VM's own registration.
    bool isRegistered = false;
    /// Time as of which the copy was complete.
    TimePoint completeAt{};
  };
  /// Call several times a second.
  void SetFleet(FleetView aView, TimePoint aNow);

  /// A registration was read, also one that was read before.
  /// @returns true if the server becomes cold
  bool OnRegistration(const ServerEntry& aEntry, TimePoint aNow);

  /// The evacuation of a zone has ended.
  /// @returns the number of its servers that count as cold
  std::size_t OnZoneReturned(const ZoneId& aZone, TimePoint aNow);

  /// Determines the servers that are bound: cold ones, and heads of groups with a cold
  /// member. Call it after the above, after the directory changed and several times a
  /// second.
  void Update(TimePoint aNow);

  /// A request is about to be sent to the server.
  /// @returns true if the server is bound
  bool OnSent(const ServerId& aServer, TimePoint aNow);

  /// Servers to which this VM must not send a request now.
  [[nodiscard]] std::vector<ServerId> Exhausted(TimePoint aNow) const;

  /// Time until this VM may send the server a request: at its next share or, if it has
  /// none, when the server is no longer cold.
  [[nodiscard]] Duration TimeUntilNextRequest(const ServerId& aServer,
                                              TimePoint aNow) const;

  /// Time for which a server itself stays cold; zero if it is not.
  [[nodiscard]] Duration RemainingTime(const ServerId& aServer, TimePoint aNow) const;

  /// The servers that are bound, with this VM's share.
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// What is known of a server's run.
  struct Run
  {
    std::int64_t startedAtUnixMs = 0;
    std::int64_t sequence = 0;
    TimePoint lastSeenAt{};
    /// Ends of the cold times by its start, by its statements and by its zone's return.
    TimePoint startUntil{};
    TimePoint statedUntil{};
    TimePoint zoneUntil{};
    /// From then on, a statement is later than the return of the zone.
    TimePoint zoneStatementsFrom{};

    [[nodiscard]] TimePoint ColdUntil() const;
  };

  struct Terms
  {
    Duration start{ 0 };
    double perSecond = 0;

    bool operator==(const Terms&) const = default;
  };

  struct Account
  {
    Terms terms;
    TimePoint until{};
    /// As the fleet's views divide the rate, and what this VM may use of it now.
    RateShares::Share divided;
    RateShares::Share share;
    /// Value of viewsNumber when the rate was divided.
    std::uint64_t viewsNumber = 0;
    /// Requests available at the time of the last update.
    double available = 0;
    TimePoint updatedAt{};
  };

  /// The fleet as this VM knew it for a time.
  struct View
  {
    TimePoint from{};
    RateShares shares;
  };

  [[nodiscard]] const Terms* FindTerms(const PoolId& aPool) const;
  [[nodiscard]] const Account* FindBound(const ServerId& aServer, TimePoint aNow) const;
  [[nodiscard]] RateShares::Share ComputeShare(const ServerId& aServer,
                                               const Terms& aTerms) const;
  [[nodiscard]] double Available(const Account& aAccount, TimePoint aNow) const;
  [[nodiscard]] bool KnowsFleet(TimePoint aNow) const;
  /// Notes which VMs of the known fleet are missing in the next one.
  void RecordAbsences(const std::vector<std::string>& aOthers, TimePoint aNow);
  /// Part of the rate that the known VMs may use.
  [[nodiscard]] double PresentPart() const;
  void RemoveOldViews();
  void ForgetRuns(TimePoint aNow);

  const ServerDirectory& directory;
  Tolerance tolerance;
  std::map<PoolId, Terms> pools;
  std::unordered_map<ServerId, Run> runs;
  /// By server that receives the requests.
  std::unordered_map<ServerId, Account> accounts;
  FleetView fleet;
  /// The oldest first; empty while this VM is not registered.
  std::deque<View> views;
  /// When the registrations of VMs vanished that have not come back.
  std::map<std::string, TimePoint> absences;
  /// Changes with the views and absences.
  std::uint64_t viewsNumber = 1;
  bool hasSent = false;
  TimePoint forgetRunsAt{};
};

} // namespace toucanstand
