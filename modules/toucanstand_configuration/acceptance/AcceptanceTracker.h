#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "isolation/EntryQuorum.h"
#include "isolation/IsolationDetector.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Whether a majority of the entry VMs has confirmed a committed revision.
enum class AcceptanceState
{
  Pending,
  Accepted,
};

/// Name of a state in dumps and messages.
[[nodiscard]] const char* Name(AcceptanceState aState);

/// Counts the entry VMs that have confirmed a committed revision to be in force.
///
/// Only confirmations within the last kIsolationTimeout count. A VM that restarts loses
/// the revision that it had confirmed. It is counted in quorums again only after that
/// time, when its earlier confirmations have expired.
/// @see IsolationDetector
class AcceptanceTracker
{
public:
  explicit AcceptanceTracker(Duration aConfirmationWindow = kIsolationTimeout);

  void SetQuorum(EntryQuorum aQuorum);

  /// Starts to count confirmations of a committed revision. Ignored unless the revision
  /// is higher than the current one.
  void TrackRevision(std::int64_t aRevision);

  /// Records that a VM has the given revision in force. A higher revision also confirms
  /// the tracked one. Ignored for VMs outside of the quorum.
  /// @param aAskedAt when the query was sent that the VM answered
  void AddConfirmation(const VmId& aVm, TimePoint aAskedAt, std::int64_t aRevision);

  /// Recomputes the state. Once accepted, a revision stays accepted.
  AcceptanceState Update(TimePoint aNow);

  [[nodiscard]] std::int64_t Revision() const { return this->revision; }
  [[nodiscard]] AcceptanceState State() const { return this->state; }
  /// VMs of the quorum without a recent confirmation.
  [[nodiscard]] std::vector<VmId> UnconfirmedVms(TimePoint aNow) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  [[nodiscard]] bool HasRecentConfirmation(const VmId& aVm, TimePoint aNow) const;

  Duration confirmationWindow;
  EntryQuorum quorum;
  std::int64_t revision = 0;
  AcceptanceState state = AcceptanceState::Pending;
  /// Time of the latest confirmation of the revision, by VM.
  std::map<VmId, TimePoint> confirmations;
};

} // namespace toucanstand
