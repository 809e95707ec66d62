#pragma once

#include <map>

#include <boost/asio/steady_timer.hpp>

#include "ServingState.h"
#include "peers/PeerDirectory.h"
#include "store/ChangeFeed.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Keeps the quarantined prompt parts in the platform's store, for VMs that start later
/// or do not receive the reports of their peers.
///
/// The keys have no lease: leases may expire while the store is down, and the end of a
/// lease would end the quarantine. Any VM deletes the key of a part whose quarantine has
/// ended. An operator ends a quarantine by deleting its key.
class PromptPartRecords
{
public:
  /// Prefix of the keys; the part's id follows in hexadecimal digits.
  static constexpr std::string_view kKeyPrefix = "toucanstand/crashing-prompt-parts/";
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
  /// A VM that is not a relay writes a record only if nobody has done so for this long.
  static constexpr Duration kNonRelayDelay = std::chrono::milliseconds(1000);
  /// Pause after a call to the store that failed.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(1000);

  /// The references must outlive the records.
  PromptPartRecords(ServingState& aState, PlatformStore& aStore, PeerDirectory& aPeers);

  /// Runs until the process ends.
  Task<> Run();

  /// Applies the changed record of a part; ignores other keys.
  void OnSystemKeyChanged(const StoreChange& aChange);

private:
  Task<> WriteMissing(TimePoint aNow);
  Task<> DeleteEnded(TimePoint aNow);
  Task<> Wait(Duration aDuration);

  ServingState& state;
  PlatformStore& store;
  PeerDirectory& peers;
  boost::asio::steady_timer timer;
  /// Revisions of the records in the store.
  std::map<PromptPartId, StoreRevision> stored;
  /// Quarantined parts without a record, with the time of the write that is due.
  std::map<PromptPartId, TimePoint> writesDue;
};

} // namespace toucanstand
