#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "limits/RateShares.h"
#include "observation/NewsScope.h"
#include "serving/CallFacts.h"
#include "time/BootClock.h"

namespace toucanstand {

/// The rate limit of a server, as one entry VM reports it to others.
struct ReportedRateLimit
{
  ServerId server;
  /// Requests per second of all VMs together; nothing if the server has lifted its limit.
  std::optional<double> perSecond;
  /// Time since the server stated it.
  Duration age{ 0 };
};

/// Divides the rate limits that servers state among the entry VMs.
///
/// Each VM may send its share of a limit, by its traffic, and save some of it up while it
/// is idle. A limit too low for all VMs is divided among some of them, which every VM
/// computes alike: what all VMs have saved up could otherwise arrive together.
class ServerRateLimits
{
public:
  /// A limited server gets at least this rate from all VMs together: only an answer shows
  /// that its limit has been lifted.
  static constexpr double kMinRate = 0.5;
  /// Requests that all VMs together may save up: a number, and seconds of the limit. The
  /// operators' bound is 5 requests and 2 s above the limit in 4 s; the rest is a reserve
  /// for VMs that do not know of each other.
  static constexpr double kBurstRequests = 2.5;
  static constexpr double kBurstSeconds = 1.5;
  /// A limit that nobody has heard again for this long is dropped.
  static constexpr Duration kLifetime = std::chrono::seconds(10);
  /// Answers on different connections overtake each other by less than this; an answer
  /// without a limit counts only if it is later than the last one with a limit by more.
  static constexpr Duration kReorderingTime = std::chrono::milliseconds(100);
  /// A statement is part of each report to other VMs for this long. Reports are sent at
  /// least once a second.
  static constexpr Duration kNewsLifetime = std::chrono::milliseconds(2500);
  static constexpr std::size_t kMaxServers = 4096;
  static constexpr std::size_t kMaxReportedServers = 256;

  /// An entry VM that shares the limits.
  using Vm = RateShares::Vm;

  /// Sets the entry VMs that share the limits. All VMs must pass the same names, and
  /// about the same weights.
  void SetFleet(Vm aSelf, std::vector<Vm> aOthers);

  /// What a response changed.
  enum class Change
  {
    None,
    Limited,
    Lifted,
  };

  /// Applies what a response of the server says.
  /// @param aIsAnswer the server ran the request and answered it; only such a response
  /// lifts a limit
  Change OnResponse(const ServerId& aServer,
                    const StatedRateLimit& aLimit,
                    bool aIsAnswer,
                    TimePoint aNow);

  /// A request is about to be sent to the server.
  void OnSent(const ServerId& aServer, TimePoint aNow);

  void Merge(const std::vector<ReportedRateLimit>& aReported, TimePoint aNow);

  /// Servers to which this VM must not send a request now.
  [[nodiscard]] std::vector<ServerId> Exhausted(TimePoint aNow) const;

  /// Time until this VM may send a request to the server; zero if it is not limited,
  /// nothing if this VM has no share of its limit.
  [[nodiscard]] std::optional<Duration> TimeUntilNextRequest(const ServerId& aServer,
                                                             TimePoint aNow) const;

  /// Drops limits that have not been stated again. Call about once a second.
  void OnTime(TimePoint aNow);

  /// What servers have stated within kNewsLifetime.
  [[nodiscard]] std::vector<ReportedRateLimit> News(TimePoint aNow,
                                                    NewsScope aScope) const;

  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Limit
  {
    double perSecond = 0;
    bool isLifted = false;
    /// The statement was in a response to this VM.
    bool isOwn = false;
    TimePoint statedAt{};
    /// This VM's share.
    RateShares::Share share;
    /// Requests available at the time of the last update.
    double available = 0;
    TimePoint updatedAt{};
  };

  void Apply(const ServerId& aServer,
             std::optional<double> aPerSecond,
             bool aIsOwn,
             TimePoint aStatedAt,
             TimePoint aNow);
  void ComputeShare(const ServerId& aServer, Limit& aLimit) const;
  [[nodiscard]] static double Available(const Limit& aLimit, TimePoint aNow);
  [[nodiscard]] static bool IsExhausted(const Limit& aLimit, TimePoint aNow);

  RateShares shares;
  std::unordered_map<ServerId, Limit> limits;
};

} // namespace toucanstand
