#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "ServingState.h"
#include "store/ChangeLog.h"
#include "store/ChangeRelay.h"
#include "store/StoreMirror.h"

namespace toucanstand {

/// Takes what lies in the platform's store over into the state of the process.
class StoreSynchronizer
{
public:
  /// Receives changes of the system's own keys.
  using SystemKeyListener = std::function<void(const StoreChange&)>;

  /// Keys that the system writes begin with this.
  static constexpr std::string_view kSystemKeyPrefix = "toucanstand/";

  /// @param aFeed must outlive the link
  StoreSynchronizer(ServingState& aState, ChangeFeed& aFeed);

  /// Receives what the peers should hear without asking.
  using PushListener = std::function<void(const ChangeAnswer&)>;

  void SetSystemKeyListener(SystemKeyListener aListener)
  {
    this->systemKeyListener = std::move(aListener);
  }
  void SetPushListener(PushListener aListener)
  {
    this->pushListener = std::move(aListener);
  }

  /// A relay reads the store more often than the others ask a relay.
  void SetIsRelay(bool aIsRelay);

  /// Takes over what a relay told unasked.
  void ApplyPushedChanges(const ChangeAnswer& aPushed);

  Task<> Run() { return this->mirror.Run(); }

  /// True once every key has been read.
  [[nodiscard]] bool IsComplete() const { return this->mirror.IsComplete(); }

  /// Start of the last call that brought the copy of the store up to date.
  [[nodiscard]] TimePoint UpToDateAt() const { return this->mirror.UpToDateAt(); }

  /// Tells a peer what changed since a revision, if this copy of the store reaches back
  /// that far.
  [[nodiscard]] ChangeAnswer AnswerQuery(const ChangeQuery& aQuery, TimePoint aNow) const;

private:
  /// Takes a change over and notes it for the peers if it says something new.
  void ApplyChange(const StoreChange& aChange);
  /// @returns false for a version that is in force
  bool ApplyConfiguration(const std::string& aText);
  /// @returns false for a heartbeat that repeats what is known
  bool ApplyServerEntry(const ServerId& aServer, const StoreChange& aChange);
  void ApplySystemKey(const StoreChange& aChange);
  void OnReadAll(const std::vector<std::string>& aKeys);
  void PushChanges();
  void OnStoreLost(StoreFailure aFailure);
  void OnStoreRegained(Duration aOutage);

  ServingState& state;
  SystemKeyListener systemKeyListener;
  PushListener pushListener;
  std::set<std::string> knownKeys;
  /// What the answer that is being taken over says anew.
  std::vector<StoreChange> changesToPush;
  ChangeLog changeLog;
  /// Revisions up to which news were told the last time and the time before. News start
  /// at the earlier one, so that one lost datagram leaves no gap.
  StoreRevision pushedUpTo = 0;
  StoreRevision previouslyPushedUpTo = 0;
  StoreMirror mirror;
};

} // namespace toucanstand
