#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "dissemination/GossipQueue.h"
#include "dissemination/NoticeTable.h"
#include "members/MemberTable.h"
#include "members/MembershipAction.h"
#include "members/MembershipSettings.h"
#include "messages/MembershipMessageText.h"
#include "random/Random.h"

namespace toucanstand {

/// Counters of Membership.
struct MembershipCounters
{
  std::uint64_t probes = 0;
  std::uint64_t indirectProbes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  /// Requests and members beyond a bound.
  std::uint64_t ignored = 0;
  /// Malformed messages by MessageError.
  std::array<std::uint64_t, kMessageErrorCount> rejected{};
};

/// Which entry VMs are alive, by the SWIM protocol: probes in shuffled order, indirect
/// probes, suspicion that a higher incarnation refutes, deltas piggybacked on probes.
///
/// Timeouts are measured on a clock that advances by at most one probe interval per
/// event. A pause of this process therefore does not count as silence of the others.
class Membership
{
public:
  /// @param aRandom must outlive the object
  Membership(Vm aSelf, MembershipSettings aSettings, Random& aRandom, TimePoint aNow);

  /// VMs to contact besides the known members: the seeds and the platform's list.
  void SetSeeds(std::vector<Vm> aSeeds);

  /// What this node says about its configuration in each message.
  void SetConfiguration(std::int64_t aRevision, bool aSynchronized);

  /// Announces that this VM leaves. Can't be undone within this incarnation.
  /// @returns messages that tell some members at once, for a process about to end
  [[nodiscard]] MembershipActions Leave();

  /// Spreads a notice. @returns false when it was known.
  bool Announce(const Notice& aNotice, TimePoint aNow);

  /// Advances the protocol; to be called several times per probe timeout.
  [[nodiscard]] MembershipActions Tick(TimePoint aNow);

  /// Handles a message from another node.
  [[nodiscard]] MembershipActions Receive(const MembershipMessage& aMessage,
                                          TimePoint aNow);

  /// Parses and handles a message; a malformed one is counted and changes nothing else.
  [[nodiscard]] MembershipActions ReceiveText(std::string_view aText, TimePoint aNow);

  [[nodiscard]] const Vm& Self() const { return this->self; }
  [[nodiscard]] Incarnation OwnIncarnation() const { return this->incarnation; }
  [[nodiscard]] bool IsLeaving() const { return this->leaving; }
  [[nodiscard]] const MemberTable& Members() const { return this->members; }
  [[nodiscard]] const NoticeTable& KnownNotices() const { return this->notices; }
  [[nodiscard]] const MembershipCounters& Counters() const { return this->counters; }
  /// Live members that do not leave, this node included unless it leaves: those among
  /// which observers are chosen.
  [[nodiscard]] std::vector<VmId> ActiveMembers() const;
  [[nodiscard]] nlohmann::json Describe() const;

private:
  /// A probe that waits for its answer.
  struct PendingProbe
  {
    Vm target;
    /// Real time, for the age of the answer.
    TimePoint sentAt{};
    /// Protocol time.
    TimePoint indirectAt{};
    TimePoint expiresAt{};
    bool indirectSent = false;
    /// A member that fails to answer is suspected; a contact or relayed target is not.
    bool suspectOnTimeout = true;
    /// Where and under which number to report the answer of a relayed probe.
    std::optional<Endpoint> requester;
    std::uint64_t requesterSequence = 0;
  };

  void AdvanceTime(TimePoint aNow);
  void HandlePause();
  void ExpireProbes(MembershipActions& aActions);
  void SendIndirectProbes(std::uint64_t aSequence,
                          const PendingProbe& aProbe,
                          MembershipActions& aActions);
  void ExpireMembers(MembershipActions& aActions);
  void StartRound(MembershipActions& aActions);
  [[nodiscard]] std::size_t ProbesPerRound() const;
  [[nodiscard]] std::optional<VmId> NextTarget();
  void ProbeSeed(MembershipActions& aActions);
  void SendProbe(PendingProbe aProbe, bool aJoin, MembershipActions& aActions);
  void HandleContent(const Probe& aProbe, MembershipActions& aActions);
  void HandleContent(const ProbeAck& aAck, MembershipActions& aActions);
  void HandleContent(const ProbeRequest& aRequest, MembershipActions& aActions);
  void ApplyHeader(const MessageHeader& aHeader, MembershipActions& aActions);
  void ApplyDelta(const MemberDelta& aDelta, MembershipActions& aActions);
  void ApplyDeltaAboutSelf(const MemberDelta& aDelta);
  void Refute(Incarnation aSeenIncarnation);
  [[nodiscard]] MessageHeader MakeHeader(const VmId& aReceiver);
  void AppendAllMembers(std::vector<MemberDelta>& aDeltas) const;
  [[nodiscard]] MemberDelta OwnDelta() const;
  [[nodiscard]] TimePoint SuspicionDeadline() const;

  Vm self;
  MembershipSettings settings;
  Random& random;
  Incarnation incarnation = 1;
  bool leaving = false;
  std::int64_t revision = 0;
  bool synchronized = false;

  TimePoint realNow;
  /// Advances by at most one probe interval per event.
  TimePoint protocolNow;
  TimePoint nextRound;

  MemberTable members;
  GossipQueue<VmId, MemberDelta> deltas{ kMaximumMembers };
  NoticeTable notices;
  /// Member that was last repeated on a message.
  VmId lastRepeatedMember;
  std::vector<Vm> seeds;
  std::size_t nextSeed = 0;
  bool joined = false;
  std::vector<VmId> probeOrder;
  std::map<std::uint64_t, PendingProbe> pendingProbes;
  std::uint64_t lastSequence;
  MembershipCounters counters;
};

} // namespace toucanstand
