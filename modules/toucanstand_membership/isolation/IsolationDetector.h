#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "isolation/EntryQuorum.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a node does while it reaches neither the store nor a majority.
enum class IsolationPolicy
{
  Refuse,
  /// Needs an exception with a reason; gives up R8 on the part cut off.
  Continue,
};

/// Name of a policy in configuration and dumps.
[[nodiscard]] const char* Name(IsolationPolicy aPolicy);

/// Whether and why a node may serve.
enum class ServingState
{
  Serving,
  /// Out of contact, but the configuration says to continue.
  ServingIsolated,
  /// Started and not yet certain to hold every accepted revision.
  Unsynchronized,
  /// Out of contact for longer than the limit.
  Isolated,
};

/// Name of a state in dumps and metrics.
[[nodiscard]] const char* Name(ServingState aState);

/// Time without contact after which a node refuses new work.
inline constexpr Duration kIsolationTimeout = std::chrono::seconds(8);

/// Decides whether this node may serve, from when it last reached the store and a
/// majority of the entry VMs (R8).
///
/// A contact counts from the moment the question was sent, because the answer is at least
/// that recent however late it arrives, and only once the revision it named is in force
/// here. A node that may serve therefore holds every revision that was accepted longer
/// than the limit ago.
///
/// A restarted node has forgotten which revision it confirmed. It is unsynchronized, and
/// not counted by others, until it has read the store or a majority of synchronized
/// *other* VMs. It asks those only after the limit has passed since its start, because
/// Acceptance may count a confirmation from before the restart for that long.
class IsolationDetector
{
public:
  /// @param aStart when this process started
  IsolationDetector(VmId aSelf, TimePoint aStart, Duration aTimeout = kIsolationTimeout);

  void SetQuorum(EntryQuorum aQuorum);
  void SetPolicy(IsolationPolicy aPolicy);

  /// The configuration revision now in force here.
  void SetRevision(std::int64_t aRevision);

  /// The store answered a read.
  /// @param aRevision revision of the configuration that it holds; 0 when it has none
  void OnStoreAnswer(TimePoint aSentAt, std::int64_t aRevision);

  /// A VM answered a probe of this node directly.
  void OnPeerAnswer(const VmId& aVm,
                    TimePoint aSentAt,
                    std::int64_t aRevision,
                    bool aSynchronized);

  /// Whether this node's revision counts for the quorums of others.
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }

  /// Whether this node should read the store to stay in contact: it is unsynchronized,
  /// or half of the limit has passed without contact with the store or a majority.
  [[nodiscard]] bool NeedsStoreRead(TimePoint aNow) const;

  [[nodiscard]] ServingState State(TimePoint aNow) const;
  [[nodiscard]] bool MayServe(TimePoint aNow) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// Latest contacts with one counterpart.
  struct Contact
  {
    /// Named a revision that is in force here.
    std::optional<TimePoint> upToDateAt;
    /// Latest contact that named a revision not yet in force here.
    std::optional<TimePoint> aheadAt;
    std::int64_t aheadRevision = 0;
  };

  void RecordContact(Contact& aContact, TimePoint aSentAt, std::int64_t aRevision) const;
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
