#pragma once

#include <boost/asio/steady_timer.hpp>

#include "ServingState.h"
#include "peers/PeerDirectory.h"
#include "store/ChangeFeed.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Presence of this process in the platform's store: a registration for its peers and, if
/// it wins it, the leadership of group formation, each under a lease of its own.
///
/// Leadership only chooses who acts, so that few contend; engines reject the orders of an
/// earlier leader by their fence.
class StoreSession
{
public:
  /// Presence of entry VMs, one key a run of a process.
  static constexpr std::string_view kPresencePrefix = "toucanstand/vms/";
  /// Held by the process that gives engines their orders.
  static constexpr std::string_view kLeaderKey = "toucanstand/leader";
  /// A leader that died is replaced after this.
  static constexpr std::chrono::seconds kLeadershipLease{ 2 };
  /// The leader renews early enough for two lost answers.
  static constexpr Duration kLeadershipRenewal = std::chrono::milliseconds(500);
  /// Peers find out about a VM that died by its silence; its registration may outlive it.
  /// Each renewal is a write to the store, and there are hundreds of VMs.
  static constexpr std::chrono::seconds kPresenceLease{ 10 };
  /// Leaves time for one renewal that fails.
  static constexpr Duration kPresenceRenewal = std::chrono::milliseconds(4000);
  /// Between two tries to register or to renew a registration.
  static constexpr Duration kPresenceRetry = std::chrono::milliseconds(1500);
  /// VMs that are no relays leave the leadership to those for this long, so that not all
  /// write to the store at once. They hear of a new leader within two readings.
  static constexpr Duration kNonRelayElectionDelay = std::chrono::milliseconds(1000);
  /// Leadership is given up this long before the lease could end, so that orders on their
  /// way arrive within it.
  static constexpr Duration kLeadershipMargin = std::chrono::milliseconds(300);

  /// Time in which a process that starts reads who else lives and leads.
  static constexpr Duration kInitialReadTime = std::chrono::milliseconds(300);

  /// All must outlive the session. @param aRunId names this run of this process among all
  StoreSession(ServingState& aState,
               PlatformStore& aStore,
               PeerDirectory& aPeers,
               std::string aRunId);

  /// Runs until the process ends.
  Task<> Run();

  /// A key of the system changed.
  void OnSystemKeyChanged(const StoreChange& aChange);

  /// The term of the leadership; 0 unless this process leads now.
  [[nodiscard]] std::int64_t LeaderTerm(TimePoint aNow) const;

  /// Gives the leadership up, so that the next leader has a higher term.
  Task<> StepDown();

  /// Ends the lease: registration and leadership end at once.
  Task<> RevokeLeases();

private:
  Task<> MaintainPresence();
  Task<> Register();
  Task<> RenewPresence();
  Task<> RenewLeadership();
  Task<> CampaignForLeadership();
  Task<> Wait(Duration aDuration);

  /// What the leader's key holds while this process leads.
  [[nodiscard]] std::string OwnLeaderValue() const;
  /// True once the store has shown that this process holds the leader's key.
  [[nodiscard]] bool HoldsLeadership() const;

  ServingState& state;
  PlatformStore& store;
  PeerDirectory& peers;
  boost::asio::steady_timer timer;
  std::string runId;
  StoreLease presenceLease = 0;
  TimePoint presenceActionDue{};
  StoreLease leadershipLease = 0;
  TimePoint leadershipRenewedAt{};
  /// The leader as the store has it; empty when there is none.
  std::string leaderValue;
  StoreRevision leaderRevision = 0;
  bool ended = false;
};

} // namespace toucanstand
