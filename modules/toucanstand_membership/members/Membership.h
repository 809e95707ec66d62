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

/// Counters of Membership since its start.
struct MembershipCounters
{
  std::uint64_t probes = 0;
  std::uint64_t indirectProbes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  /// Pauses of this process that were longer than the suspicion timeout.
  std::uint64_t pauses = 0;
  /// Probes and members beyond a limit, and messages with the id of this VM as sender.
  std::uint64_t ignored = 0;
  /// Malformed messages by MessageError.
  std::array<std::uint64_t, kMessageErrorCount> rejected{};
};

/// Detects which entry VMs are alive by the SWIM protocol: it probes members in shuffled
/// order, directly and through other members; a suspected member refutes by a higher
/// incarnation; deltas are piggybacked on the messages.
///
/// Timeouts use a clock that advances by at most one probe interval per event, so that a
/// pause of this process does not expire the probes and suspicions of other members.
class Membership
{
public:
  /// @param aRandom must outlive the object
  Membership(Vm aSelf, MembershipSettings aSettings, Random& aRandom, TimePoint aNow);

  /// Sets the VMs that are probed while they are not known to be alive: the configured
  /// seeds and the platform's list.
  void SetSeeds(std::vector<Vm> aSeeds);

  /// Sets the configuration state that this node sends in each message.
  void SetConfiguration(std::int64_t aRevision, bool aSynchronized);

  /// Announces that this VM leaves. Can't be undone within this incarnation.
  /// @returns messages to some members, so that the announcement is sent even if the
  /// process ends before the next round
  [[nodiscard]] MembershipActions Leave();

  /// Distributes a notice to all nodes.
  /// @returns false when the notice table does not accept it, for example as known
  bool Announce(const Notice& aNotice, TimePoint aNow);

  /// Handles expired timeouts and starts rounds of probes; call several times per probe
  /// timeout.
  [[nodiscard]] MembershipActions Tick(TimePoint aNow);

  /// Handles a message from another node.
  [[nodiscard]] MembershipActions Receive(const MembershipMessage& aMessage,
                                          TimePoint aNow);

  /// Parses and handles a message. A malformed one is counted and otherwise ignored.
  [[nodiscard]] MembershipActions ReceiveText(std::string_view aText, TimePoint aNow);

  [[nodiscard]] const Vm& Self() const { return this->self; }
  [[nodiscard]] Incarnation OwnIncarnation() const { return this->incarnation; }
  [[nodiscard]] bool IsLeaving() const { return this->leaving; }
  [[nodiscard]] const MemberTable& Members() const { return this->members; }
  [[nodiscard]] const NoticeTable& KnownNotices() const { return this->notices; }
  [[nodiscard]] const MembershipCounters& Counters() const { return this->counters; }
  /// Members that are neither dead nor leaving, including this VM unless it is leaving.
  /// Observers are chosen from them.
  [[nodiscard]] std::vector<VmId> ActiveMembers() const;
  [[nodiscard]] nlohmann::json Describe() const;

private:
  /// A probe that was sent and not yet answered.
  struct PendingProbe
  {
    Vm target;
    /// Real time, because a contact counts from when its probe was sent.
    TimePoint sentAt{};
    /// When the indirect probes are sent; protocol time, as is expiresAt.
    TimePoint indirectAt{};
    TimePoint expiresAt{};
    bool indirectSent = false;
    /// Whether the target is suspected when the probe expires: only when a member was
    /// probed in its turn, not for a seed, on request of another node, or at leaving.
    bool suspectOnTimeout = true;
    /// Sender of the ProbeRequest, to which the answer is reported under
    /// requesterSequence; empty for a probe of this node itself.
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
  /// Clock of the timeouts; advances by at most one probe interval per event.
  TimePoint protocolNow;
  TimePoint nextRound;

  MemberTable members;
  GossipQueue<VmId, MemberDelta> deltas{ kMaximumMembers };
  NoticeTable notices;
  /// Last member that was added to a message in turn, besides the queued deltas.
  VmId lastRepeatedMember;
  std::vector<Vm> seeds;
  std::size_t nextSeed = 0;
  /// Whether a probe was answered since the start.
  bool joined = false;
  /// Members still to be probed in this pass, last one first.
  std::vector<VmId> probeOrder;
  std::map<std::uint64_t, PendingProbe> pendingProbes;
  std::uint64_t lastSequence;
  MembershipCounters counters;
};

} // namespace toucanstand
