#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "claims/ClaimRecord.h"
#include "messages/ClaimMessages.h"

namespace toucanstand {

/// What the ledger does next for a claim.
enum class ClaimActionKind
{
  /// Read the record; answer with OnReadReply().
  ReadRecord,
  /// Write the record if the key is absent; answer with OnCreateReply().
  CreateIfAbsent,
  /// Write the record if the key has the revision; answer with OnReplaceReply().
  ReplaceIfRevision,
  /// Delete the key if it has the revision; answer with OnReplaceReply().
  DeleteIfRevision,
  /// Wait before the next store call; answer with OnRetryTime().
  WaitToRetry,
  /// Send `claim-reply`.
  Reply,
  /// Send `outcome-reply`.
  ReplyOutcome,
};

/// One action. Only the fields of its kind are set.
struct ClaimAction
{
  ClaimActionKind kind = ClaimActionKind::ReadRecord;
  ClaimRecord record{};
  std::int64_t revision = 0;
  ClaimReplyMessage reply{};
  OutcomeReplyMessage outcomeReply{};
};

using ClaimActions = std::vector<ClaimAction>;

/// How a store call ended.
enum class StoreResult
{
  /// A conditional write took effect, or a read was answered.
  Done,
  /// The condition of a write does not hold. It did not take effect.
  ConditionFailed,
  /// No reply: it may have taken effect, or may still do so later.
  NoReply,
  /// It was refused before it was started, for example because the store is down or the
  /// limit on store calls is reached.
  NotSent,
};

/// A record as the store holds it.
struct StoredClaim
{
  /// Nothing when the value is malformed.
  std::optional<ClaimRecord> record;
  /// Modification revision of the key.
  std::int64_t revision = 0;
  /// The owner is known to be gone, so nobody will record an outcome.
  bool ownerGone = false;
};

/// Decides about one claim, from the question of the entry to the recorded outcome.
///
/// The claim is granted only after the store confirmed its creation or a read returned
/// the own nonce. A record that is present, of whatever content, never leads to a grant
/// for another nonce; so a key is granted again only after its record was deleted, and
/// that happens only for a claim whose outcome is proven to be not run.
class ClaimMachine
{
public:
  /// Store calls for one question before it is refused.
  static constexpr std::size_t kClaimTries = 4;
  /// Store calls for recording an outcome before it is given up.
  static constexpr std::size_t kOutcomeTries = 20;

  ClaimMachine(ClaimMessage aRequest, VmId aOwner);

  /// The entry asks for the claim.
  [[nodiscard]] ClaimActions OnClaimAsked();

  /// @param aExisting the record that is present, when the condition failed.
  [[nodiscard]] ClaimActions OnCreateReply(StoreResult aResult,
                                           std::int64_t aRevision,
                                           const std::optional<StoredClaim>& aExisting);

  /// @param aFound nothing when the key is absent.
  [[nodiscard]] ClaimActions OnReadReply(StoreResult aResult,
                                         const std::optional<StoredClaim>& aFound);

  /// Reply to ReplaceIfRevision or DeleteIfRevision.
  [[nodiscard]] ClaimActions OnReplaceReply(StoreResult aResult);

  [[nodiscard]] ClaimActions OnRetryTime();

  /// The entry reports what the call came to, or that it no longer wants the claim.
  [[nodiscard]] ClaimActions OnOutcomeKnown(const OutcomeMessage& aOutcome);

  /// The entry reports the outcome of a claim that an earlier run of the ledger granted;
  /// for a new machine whose request lacks the fingerprint.
  [[nodiscard]] ClaimActions OnOutcomeRecovered(const OutcomeMessage& aOutcome);

  /// The entry that holds the grant is gone, or its longest time has passed.
  [[nodiscard]] ClaimActions OnOwnerGone();

  /// True when nothing is left to do; the machine can be dropped.
  [[nodiscard]] bool IsDone() const { return this->state == State::Done; }
  /// True when the call may be running.
  [[nodiscard]] bool IsGranted() const { return this->state == State::Granted; }
  [[nodiscard]] const std::string& Nonce() const { return this->own.nonce; }
  [[nodiscard]] const ClaimRecord& Record() const { return this->own; }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  enum class State
  {
    Idle,
    /// A create is under way.
    Creating,
    /// Finds out whether a create without reply took effect.
    ReadingBack,
    Granted,
    /// Writes `wanted`.
    Recording,
    /// Finds out whether the write of the outcome took effect.
    ReadingOutcome,
    /// Marks another owner's claim as unknown; the entry has its answer already.
    MarkingUnknown,
    Done,
  };

  /// What the record is to become.
  enum class Wanted
  {
    Outcome,
    /// Delete it: the call was not run.
    Release,
  };

  [[nodiscard]] ClaimActions Create();
  [[nodiscard]] ClaimActions Read(State aState);
  [[nodiscard]] ClaimActions Grant(std::int64_t aRevision);
  [[nodiscard]] ClaimActions Resolve(const StoredClaim& aExisting);
  [[nodiscard]] ClaimActions Judge(const StoredClaim& aExisting);
  [[nodiscard]] ClaimActions ReadBackReply(const std::optional<StoredClaim>& aFound);
  [[nodiscard]] ClaimActions OutcomeReadReply(const std::optional<StoredClaim>& aFound);
  [[nodiscard]] ClaimActions Refuse();
  [[nodiscard]] ClaimActions WriteOutcome();
  [[nodiscard]] ClaimActions RetryOutcome();
  [[nodiscard]] ClaimActions EndOutcome(bool aRecorded);
  [[nodiscard]] ClaimActions EndClaim(ClaimAnswer aAnswer);
  /// Sets what the record is to become.
  void Want(const OutcomeMessage& aOutcome);
  [[nodiscard]] bool IsOwn(const StoredClaim& aClaim) const;
  [[nodiscard]] bool HasTries(std::size_t aLimit);

  /// The own record, in the state that is wanted.
  ClaimRecord own;
  State state = State::Idle;
  Wanted wanted = Wanted::Outcome;
  std::int64_t revision = 0;
  std::size_t tries = 0;
  /// A create was sent and never answered, so the record may appear at any time.
  bool createUnanswered = false;
  /// The entry was told the answer, or doesn't want one.
  bool replied = false;
  /// The entry waits for `outcome-reply`.
  bool outcomeAsked = false;
  bool hasOutcome = false;
};

} // namespace toucanstand
