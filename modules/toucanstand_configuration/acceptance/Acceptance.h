#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "isolation/EntryQuorum.h"
#include "isolation/IsolationDetector.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Whether a committed revision has been confirmed by a majority.
enum class AcceptanceState
{
  Pending,
  Accepted,
};

/// Name of a state in dumps and messages.
[[nodiscard]] const char* Name(AcceptanceState aState);

/// Counts which entry VMs confirm that a committed revision is in force.
///
/// Only confirmations of the last kIsolationTimeout count together. A VM that restarts
/// forgets what it confirmed, and takes part in quorums again only after that time.
/// @see Isolation
class Acceptance
{
public:
  explicit Acceptance(Duration aWindow = kIsolationTimeout);

  void SetQuorum(EntryQuorum aQuorum);

  /// Follows a committed revision; a lower one than before is ignored.
  void Begin(std::int64_t aRevision);

  /// A VM has the given revision in force.
  /// @param aAskedAt when the question was sent that it answers
  void Confirm(const VmId& aVm, TimePoint aAskedAt, std::int64_t aRevision);

  /// Counts again; once accepted, a revision stays accepted.
  AcceptanceState Update(TimePoint aNow);

  [[nodiscard]] std::int64_t Revision() const { return this->revision; }
  [[nodiscard]] AcceptanceState State() const { return this->state; }
  /// VMs of the quorum whose recent confirmation is missing.
  [[nodiscard]] std::vector<VmId> Missing(TimePoint aNow) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  [[nodiscard]] bool HasConfirmed(const VmId& aVm, TimePoint aNow) const;

  Duration window;
  EntryQuorum quorum;
  std::int64_t revision = 0;
  AcceptanceState state = AcceptanceState::Pending;
  /// Latest confirmation of the revision, by VM.
  std::map<VmId, TimePoint> confirmations;
};

} // namespace toucanstand
