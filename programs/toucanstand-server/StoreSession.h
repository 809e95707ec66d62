#pragma once

#include <boost/asio/steady_timer.hpp>

#include "ServingState.h"
#include "peers/PeerDirectory.h"
#include "store/ChangeFeed.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Registers this process in the platform's store for its peers to find, and takes part
/// in the election of the group formation leader. Each key has its own lease.
///
/// Leadership only reduces contention and is not needed for safety: orders carry a
/// fencing token, by which engines reject those of an earlier leader.
class StoreSession
{
public:
  /// Prefix of the presence keys of entry VMs, one per run of a process.
  static constexpr std::string_view kPresencePrefix = "toucanstand/vms/";
  /// Key held by the leader, which sends orders to engines.
  static constexpr std::string_view kLeaderKey = "toucanstand/leader";
  /// A failed leader is replaced after this time.
  static constexpr std::chrono::seconds kLeadershipLease{ 2 };
  /// Renewal interval; the lease survives two lost answers.
  static constexpr Duration kLeadershipRenewal = std::chrono::milliseconds(500);
  /// May be long, because peers detect a failed VM by its missing reports. Each renewal
  /// is a write to the store, and there are hundreds of VMs.
  static constexpr std::chrono::seconds kPresenceLease{ 10 };
  /// Renewal interval; the lease survives one failed renewal.
  static constexpr Duration kPresenceRenewal = std::chrono::milliseconds(4000);
  /// Delay before registration or renewal is retried.
  static constexpr Duration kPresenceRetry = std::chrono::milliseconds(1500);
  /// VMs that are not relays wait this long before they campaign, so that not all VMs
  /// write to the store at once. They learn of a new leader within two reads of the
  /// change feed.
  static constexpr Duration kNonRelayElectionDelay = std::chrono::milliseconds(1000);
  /// This process stops acting as the leader this long before its lease could expire, so
  /// that orders in flight arrive before it does.
  static constexpr Duration kLeadershipMargin = std::chrono::milliseconds(300);

  /// Time after startup for reading the existing peers and leader before any campaign.
  static constexpr Duration kInitialReadTime = std::chrono::milliseconds(300);

  /// The references must outlive the session.
  ///
  /// @param aRunId unique id of this run of the process
  StoreSession(ServingState& aState,
               PlatformStore& aStore,
               PeerDirectory& aPeers,
               std::string aRunId);

  /// Runs until the process ends.
  Task<> Run();

  /// Updates the known leader from a changed leader key; ignores other keys.
  void OnSystemKeyChanged(const StoreChange& aChange);

  /// Registers again: the registration and all leases may be lost. Does not lead until
  /// the permission of a leader that does not know of the restoration yet has run out.
  void OnStoreRestored(TimePoint aNow);

  /// Returns the term of this process as the leader; 0 if it does not lead now.
  [[nodiscard]] std::int64_t LeaderTerm(TimePoint aNow) const;

  /// Gives up leadership, so that the next leader has a higher term.
  Task<> StepDown();

  /// Revokes both leases, which removes the registration and the leadership immediately.
  Task<> RevokeLeases();

private:
  Task<> MaintainPresence();
  Task<> Register();
  /// Puts the registration that the store has under this process's new lease.
  Task<Result<StoreRevision, StoreFailure>> ReplaceRegistration(StoreLease aLease);
  Task<> RenewPresence();
  Task<> RenewLeadership();
  Task<> CampaignForLeadership();
  /// Deletes the leader key if no process can hold it: its value is unreadable, or that
  /// of this process without its lease.
  Task<> DeleteLapsedLeadership();
  Task<> Wait(Duration aDuration);

  /// A VM that does not reach the engines gives no orders.
  [[nodiscard]] bool MayCampaign() const;
  /// Value of the leader key while this process leads.
  [[nodiscard]] std::string OwnLeaderValue() const;
  /// True once the store has shown that this process holds the leader's key.
  [[nodiscard]] bool HoldsLeadership() const;
  [[nodiscard]] std::string RegistrationKey() const;
  [[nodiscard]] std::string RegistrationValue() const;

  ServingState& state;
  PlatformStore& store;
  PeerDirectory& peers;
  boost::asio::steady_timer timer;
  std::string runId;
  StoreLease presenceLease = 0;
  /// Time of the next registration or renewal of the presence key.
  TimePoint presenceUpdateDue{};
  StoreLease leadershipLease = 0;
  TimePoint leadershipRenewedAt{};
  /// Last known value of the leader key; empty if there is no leader.
  std::string leaderValue;
  StoreRevision leaderRevision = 0;
  /// The leader key has a value that names no process, and keeps all of them from
  /// leading.
  bool leaderUnreadable = false;
  /// Until then, the leader of the lost history may still hold its permission.
  TimePoint mayLeadAt{};
  bool ended = false;
};

} // namespace toucanstand
