#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "isolation/EntryQuorum.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a node does while it reaches neither the store nor a majority of the entry VMs.
enum class IsolationPolicy
{
  /// Refuses new work.
  Refuse,
  /// Continues to serve, possibly by an outdated configuration. Must be configured by an
  /// exception that states a reason.
  Continue,
};

/// Name of a policy in the configuration and in state dumps.
[[nodiscard]] const char* Name(IsolationPolicy aPolicy);

/// Whether and why a node may serve.
enum class ServingState
{
  /// In contact with the store or a majority of the entry VMs.
  Serving,
  /// Without contact or unsynchronized, but the policy is IsolationPolicy::Continue.
  ServingIsolated,
  /// Since its start, this node has not confirmed that it has every accepted revision.
  Unsynchronized,
  /// Without contact for longer than the isolation timeout.
  Isolated,
};

/// Name of a state in state dumps and metrics.
[[nodiscard]] const char* Name(ServingState aState);

/// Time without contact to the store or a majority of the entry VMs after which a node
/// refuses new work.
inline constexpr Duration kIsolationTimeout = std::chrono::seconds(8);

/// Decides whether this node may serve, depending on when it was last in contact with
/// the store or with a majority of the entry VMs.
///
/// An answer counts as contact at the time when the request was sent: however late the
/// answer arrives, its content is at least that recent. It counts only once the
/// configuration revision that it names is in force on this node. A node that may serve
/// therefore has every revision that was accepted longer ago than the timeout.
///
/// A restarted node does not know which revision it had confirmed. It is unsynchronized,
/// and other nodes do not count it towards a majority, until it has had contact with the
/// store or with a majority of synchronized *other* VMs. Only contacts with VMs later
/// than the timeout after its start count for this, because AcceptanceTracker may count a
/// confirmation from before the restart for that long.
class IsolationDetector
{
public:
  /// @param aStart when this process started
  IsolationDetector(VmId aSelf, TimePoint aStart, Duration aTimeout = kIsolationTimeout);

  void SetQuorum(EntryQuorum aQuorum);
  void SetPolicy(IsolationPolicy aPolicy);

  /// Sets the configuration revision that is in force on this node; never decreases it.
  void SetRevision(std::int64_t aRevision);

  /// Records that the store answered a read that was sent at @p aSentAt.
  /// @param aRevision revision of the stored configuration; 0 when there is none
  void OnStoreAnswer(TimePoint aSentAt, std::int64_t aRevision);

  /// Records that a VM answered a probe directly. Ignored unless the VM is synchronized
  /// and belongs to the quorum.
  void OnPeerAnswer(const VmId& aVm,
                    TimePoint aSentAt,
                    std::int64_t aRevision,
                    bool aSynchronized);

  /// Whether other nodes may count this node's revision towards a majority.
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }

  /// Whether this node should read the store to stay in contact: when it is
  /// unsynchronized, or when half of the timeout has passed without contact.
  [[nodiscard]] bool NeedsStoreRead(TimePoint aNow) const;

  [[nodiscard]] ServingState State(TimePoint aNow) const;
  [[nodiscard]] bool MayServe(TimePoint aNow) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// Latest contacts with the store or with one VM.
  struct Contact
  {
    /// Latest contact that named a revision in force on this node, or an older one.
    std::optional<TimePoint> upToDateAt;
    /// Latest contact that named a revision newer than the one in force on this node.
    std::optional<TimePoint> aheadAt;
    std::int64_t aheadRevision = 0;
  };

  void RecordContact(Contact& aContact, TimePoint aSentAt, std::int64_t aRevision) const;
  /// Counts the latest contact that named a newer revision, if that is in force now.
  void PromoteIfInForce(Contact& aContact) const;
  void UpdateSynchronized();
  [[nodiscard]] std::size_t PeersInContactSince(TimePoint aTime) const;
  [[nodiscard]] bool HasContactSince(TimePoint aSince) const;

  VmId self;
  TimePoint start;
  Duration timeout;
  EntryQuorum quorum;
  IsolationPolicy policy = IsolationPolicy::Refuse;
  std::int64_t revision = 0;
  bool synchronized = false;
  Contact store;
  std::map<VmId, Contact> peers;
};

} // namespace toucanstand
