#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "ServingState.h"
#include "platform/ServerEntryReader.h"
#include "store/ChangeLog.h"
#include "store/ChangeRelay.h"
#include "store/StoreMirror.h"

namespace toucanstand {

/// Applies the contents and changes of the platform's store to the ServingState, and
/// keeps a log of changes to answer queries of peers.
class StoreSynchronizer
{
public:
  /// Called for changes of keys under kSystemKeyPrefix.
  using SystemKeyListener = std::function<void(const StoreChange&)>;

  /// Prefix of the keys that this system writes to the store.
  static constexpr std::string_view kSystemKeyPrefix = "toucanstand/";

  /// @param aFeed must outlive the synchronizer
  StoreSynchronizer(ServingState& aState, ChangeFeed& aFeed);

  /// Called when the store was restored from an older copy.
  using RestorationListener = std::function<void(TimePoint aNow)>;

  /// Called with changes to push to the peers that follow the store through this VM.
  using PushListener = std::function<void(const ChangeAnswer&)>;

  void SetSystemKeyListener(SystemKeyListener aListener)
  {
    this->systemKeyListener = std::move(aListener);
  }
  void SetRestorationListener(RestorationListener aListener)
  {
    this->restorationListener = std::move(aListener);
  }
  void SetPushListener(PushListener aListener)
  {
    this->pushListener = std::move(aListener);
  }

  /// Sets the polling interval: a relay reads the store more often than other VMs query a
  /// relay.
  void SetIsRelay(bool aIsRelay);

  /// Applies changes that a relay pushed.
  void ApplyPushedChanges(const ChangeAnswer& aPushed);

  Task<> Run() { return this->mirror.Run(); }

  /// True once every key has been read.
  [[nodiscard]] bool IsComplete() const { return this->mirror.IsComplete(); }

  /// Revision of the store that the local copy has reached.
  [[nodiscard]] StoreRevision Revision() const { return this->mirror.At(); }

  /// Returns the time as of which the local copy of the store is known to be complete:
  /// the start of the last read of the store, by this VM or its relay, that brought it up
  /// to date.
  [[nodiscard]] TimePoint UpToDateAt() const { return this->mirror.UpToDateAt(); }

  /// Returns the changes since a revision; `known` is false if the change log does not
  /// reach back that far.
  [[nodiscard]] ChangeAnswer AnswerQuery(const ChangeQuery& aQuery, TimePoint aNow) const;

private:
  /// Applies a change and queues it for the peers unless it repeats what the store had.
  void ApplyChange(const StoreChange& aChange);
  /// @returns false if this write was applied before
  bool ApplyConfiguration(const std::string& aText, StoreRevision aRevision);
  /// @returns false for a heartbeat that changes nothing
  bool ApplyServerEntry(const ServerId& aServer, const StoreChange& aChange);
  /// Applies that the operator evacuated a zone or took it back.
  /// @returns false if that was known
  bool ApplyEvacuation(const StoreChange& aChange);
  /// A registration may make its server cold.
  void ApplyColdTime(const ServerEntry& aEntry, TimePoint aNow);
  /// The servers of a zone that is taken back may have become cold.
  void ReturnZone(const ZoneId& aZone, TimePoint aNow);
  /// Logs an evacuation that the operator may not have meant: of a zone without servers,
  /// or of all zones.
  void CheckEvacuation(const ZoneId& aZone);
  /// Counts and logs a registration that names no server to use.
  void CountUnreadableEntry(const StoreChange& aChange,
                            platform::ServerEntryFailure aFailure);
  void ApplySystemKey(const StoreChange& aChange);
  void OnReadAll(const std::vector<std::string>& aKeys, StoreRevision aPrevious);
  void PushChanges();
  void OnStoreLost(StoreFailure aFailure);
  void OnStoreRegained(Duration aOutage);
  void OnStoreRestored(StoreHistory aHistory);

  ServingState& state;
  SystemKeyListener systemKeyListener;
  PushListener pushListener;
  RestorationListener restorationListener;
  std::set<std::string> knownKeys;
  /// New changes from the answer that is being applied.
  std::vector<StoreChange> changesToPush;
  ChangeLog changeLog;
  /// Revision of the last configuration that the store had.
  StoreRevision configurationRevision = 0;
  /// Revisions reached by the last push and by the one before. Each push starts at the
  /// earlier of the two, so that one lost datagram leaves no gap.
  StoreRevision pushedUpTo = 0;
  StoreRevision previouslyPushedUpTo = 0;
  StoreMirror mirror;
};

} // namespace toucanstand
