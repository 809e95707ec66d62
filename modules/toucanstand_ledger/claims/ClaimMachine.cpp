#include "claims/ClaimMachine.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

ClaimMachine::ClaimMachine(ClaimMessage aRequest, VmId aOwner)
{
  this->own.account = std::move(aRequest.account);
  this->own.key = std::move(aRequest.key);
  this->own.fingerprint = std::move(aRequest.fingerprint);
  this->own.nonce = std::move(aRequest.nonce);
  this->own.owner = std::move(aOwner);
}

ClaimActions ClaimMachine::OnClaimAsked()
{
  if (this->state != State::Idle) {
    return {};
  }
  return this->Create();
}

ClaimActions ClaimMachine::OnCreateReply(StoreResult aResult,
                                         std::int64_t aRevision,
                                         const std::optional<StoredClaim>& aExisting)
{
  if (this->state != State::Creating) {
    return {};
  }
  if (aResult == StoreResult::Done) {
    return this->Grant(aRevision);
  }
  if (aResult == StoreResult::ConditionFailed && aExisting) {
    return this->Resolve(*aExisting);
  }
  this->createUnanswered = this->createUnanswered || aResult == StoreResult::NoReply;
  if (aResult == StoreResult::NotSent && !this->createUnanswered) {
    return this->Refuse();
  }
  return this->HasTries(kClaimTries) ? this->Read(State::ReadingBack) : this->Refuse();
}

ClaimActions ClaimMachine::OnReadReply(StoreResult aResult,
                                       const std::optional<StoredClaim>& aFound)
{
  const bool answered = aResult == StoreResult::Done;
  if (this->state == State::ReadingBack) {
    if (answered) {
      return this->ReadBackReply(aFound);
    }
    return this->HasTries(kClaimTries)
             ? ClaimActions{ { .kind = ClaimActionKind::WaitToRetry } }
             : this->Refuse();
  }
  if (this->state == State::ReadingOutcome) {
    return answered ? this->OutcomeReadReply(aFound) : this->RetryOutcome();
  }
  return {};
}

ClaimActions ClaimMachine::OnReplaceReply(StoreResult aResult)
{
  if (this->state == State::MarkingUnknown) {
    this->state = State::Done;
    return {};
  }
  if (this->state != State::Recording) {
    return {};
  }
  if (aResult == StoreResult::Done) {
    return this->EndOutcome(true);
  }
  if (aResult == StoreResult::NotSent) {
    return this->RetryOutcome();
  }
  return this->HasTries(kOutcomeTries) ? this->Read(State::ReadingOutcome)
                                       : this->EndOutcome(false);
}

ClaimActions ClaimMachine::OnRetryTime()
{
  switch (this->state) {
    case State::ReadingBack:
    case State::ReadingOutcome:
      return this->Read(this->state);
    case State::Recording:
      return this->WriteOutcome();
    default:
      return {};
  }
}

ClaimActions ClaimMachine::OnOutcomeKnown(const OutcomeMessage& aOutcome)
{
  const bool release = aOutcome.outcome == ClaimOutcome::NotRun;
  if (this->state == State::Done || this->state == State::MarkingUnknown) {
    return { { .kind = ClaimActionKind::ReplyOutcome,
               .outcomeReply = { this->own.nonce, release } } };
  }
  if (this->hasOutcome) {
    // The first outcome stands: its write may already have taken effect.
    if (release && this->wanted == Wanted::Release) {
      this->outcomeAsked = true;
      return {};
    }
    return { { .kind = ClaimActionKind::ReplyOutcome,
               .outcomeReply = { this->own.nonce, false } } };
  }
  this->Want(aOutcome);
  if (this->state != State::Granted) {
    return {};
  }
  this->tries = 0;
  return this->WriteOutcome();
}

ClaimActions ClaimMachine::OnOutcomeRecovered(const OutcomeMessage& aOutcome)
{
  if (this->state != State::Idle) {
    return {};
  }
  this->Want(aOutcome);
  return this->Read(State::ReadingOutcome);
}

ClaimActions ClaimMachine::OnOwnerGone()
{
  if (this->hasOutcome || this->state == State::Idle || this->state == State::Done ||
      this->state == State::MarkingUnknown) {
    return {};
  }
  this->hasOutcome = true;
  this->replied = true;
  if (this->state != State::Granted) {
    // Without a grant the call can't have been sent.
    this->wanted = Wanted::Release;
    return {};
  }
  this->own.state = ClaimState::Unknown;
  this->tries = 0;
  return this->WriteOutcome();
}

nlohmann::json ClaimMachine::Describe() const
{
  // In the order of the enumeration.
  constexpr std::array kNames = {
    "idle",      "creating",        "reading_back",    "granted",
    "recording", "reading_outcome", "marking_unknown", "done"
  };
  return { { "state", kNames.at(static_cast<std::size_t>(this->state)) },
           { "account", this->own.account.Value() },
           { "nonce", this->own.nonce },
           { "revision", this->revision },
           { "tries", this->tries } };
}

ClaimActions ClaimMachine::Create()
{
  this->state = State::Creating;
  ClaimRecord claimed = this->own;
  claimed.state = ClaimState::Claimed;
  return { { .kind = ClaimActionKind::CreateIfAbsent, .record = std::move(claimed) } };
}

ClaimActions ClaimMachine::Read(State aState)
{
  this->state = aState;
  return { { .kind = ClaimActionKind::ReadRecord } };
}

ClaimActions ClaimMachine::Grant(std::int64_t aRevision)
{
  this->revision = aRevision;
  this->tries = 0;
  if (this->hasOutcome) {
    return this->WriteOutcome();
  }
  this->state = State::Granted;
  this->replied = true;
  return { { .kind = ClaimActionKind::Reply,
             .reply = { this->own.nonce, ClaimAnswer::Granted, 0, {}, false } } };
}

ClaimActions ClaimMachine::Resolve(const StoredClaim& aExisting)
{
  // The own nonce in a record that this machine did not try to create comes from a
  // repeated claim message: the call may have been granted before.
  const bool createdHere = this->createUnanswered && this->IsOwn(aExisting);
  const bool open = createdHere && aExisting.record->state != ClaimState::Finished;
  return open ? this->Grant(aExisting.revision) : this->Judge(aExisting);
}

ClaimActions ClaimMachine::Judge(const StoredClaim& aExisting)
{
  const auto& record = aExisting.record;
  // A malformed record, or one of another call with the same hash, may stand for a call
  // that ran.
  if (!record || record->account != this->own.account || record->key != this->own.key) {
    return this->EndClaim(ClaimAnswer::OutcomeUnknown);
  }
  if (record->fingerprint != this->own.fingerprint) {
    return this->EndClaim(ClaimAnswer::KeyReused);
  }
  if (record->state == ClaimState::Unknown) {
    return this->EndClaim(ClaimAnswer::OutcomeUnknown);
  }
  if (record->state == ClaimState::Finished) {
    auto actions = this->EndClaim(ClaimAnswer::StoredAnswer);
    for (auto& action : actions) {
      action.reply.status = record->status;
      action.reply.body = record->body;
      action.reply.bodyOmitted = record->bodyOmitted;
    }
    return actions;
  }
  if (!aExisting.ownerGone) {
    return this->EndClaim(ClaimAnswer::InProgress);
  }
  auto actions = this->EndClaim(ClaimAnswer::OutcomeUnknown);
  this->state = State::MarkingUnknown;
  ClaimRecord unknown = *record;
  unknown.state = ClaimState::Unknown;
  actions.push_back({ .kind = ClaimActionKind::ReplaceIfRevision,
                      .record = std::move(unknown),
                      .revision = aExisting.revision });
  return actions;
}

ClaimActions ClaimMachine::ReadBackReply(const std::optional<StoredClaim>& aFound)
{
  if (aFound) {
    return this->Resolve(*aFound);
  }
  // The unanswered create may still arrive. Creating again with the same nonce is safe:
  // only one of the two takes effect, and either one is the own record.
  return this->HasTries(kClaimTries) ? this->Create() : this->Refuse();
}

ClaimActions ClaimMachine::OutcomeReadReply(const std::optional<StoredClaim>& aFound)
{
  if (aFound && this->IsOwn(*aFound)) {
    // A machine that recovers an outcome doesn't know them.
    this->own.fingerprint = aFound->record->fingerprint;
    this->own.owner = aFound->record->owner;
    if (this->wanted == Wanted::Outcome && aFound->record == this->own) {
      return this->EndOutcome(true);
    }
    if (aFound->record->state == ClaimState::Finished) {
      // A stored answer stays, whatever an outcome that was sent twice says.
      return this->EndOutcome(false);
    }
    this->revision = aFound->revision;
    return this->WriteOutcome();
  }
  const bool released = this->wanted == Wanted::Release;
  const bool mayStillAppear = !aFound && this->revision == 0 && this->tries < kClaimTries;
  if (released && mayStillAppear) {
    return this->RetryOutcome();
  }
  return this->EndOutcome(released);
}

ClaimActions ClaimMachine::Refuse()
{
  if (!this->createUnanswered) {
    return this->EndClaim(ClaimAnswer::StoreDown);
  }
  // The entry won't send the call, but the record may exist or appear: remove it, so that
  // the caller can try again.
  auto actions = this->EndClaim(ClaimAnswer::StoreDown);
  this->state = State::ReadingOutcome;
  this->replied = true;
  this->hasOutcome = true;
  this->outcomeAsked = false;
  this->wanted = Wanted::Release;
  this->tries = 0;
  actions.push_back({ .kind = ClaimActionKind::WaitToRetry });
  return actions;
}

ClaimActions ClaimMachine::WriteOutcome()
{
  if (!this->HasTries(kOutcomeTries)) {
    return this->EndOutcome(false);
  }
  this->state = State::Recording;
  if (this->wanted == Wanted::Release) {
    return { { .kind = ClaimActionKind::DeleteIfRevision, .revision = this->revision } };
  }
  return { { .kind = ClaimActionKind::ReplaceIfRevision,
             .record = this->own,
             .revision = this->revision } };
}

ClaimActions ClaimMachine::RetryOutcome()
{
  return this->HasTries(kOutcomeTries)
           ? ClaimActions{ { .kind = ClaimActionKind::WaitToRetry } }
           : this->EndOutcome(false);
}

ClaimActions ClaimMachine::EndOutcome(bool aRecorded)
{
  this->state = State::Done;
  if (!this->outcomeAsked) {
    return {};
  }
  return { { .kind = ClaimActionKind::ReplyOutcome,
             .outcomeReply = { this->own.nonce, aRecorded } } };
}

ClaimActions ClaimMachine::EndClaim(ClaimAnswer aAnswer)
{
  this->state = State::Done;
  ClaimActions actions;
  if (!this->replied) {
    actions.push_back({ .kind = ClaimActionKind::Reply,
                        .reply = { this->own.nonce, aAnswer, 0, {}, false } });
  }
  if (this->outcomeAsked) {
    actions.push_back(
      { .kind = ClaimActionKind::ReplyOutcome,
        .outcomeReply = { this->own.nonce, this->wanted == Wanted::Release } });
  }
  return actions;
}

void ClaimMachine::Want(const OutcomeMessage& aOutcome)
{
  this->hasOutcome = true;
  this->outcomeAsked = true;
  this->replied = true;
  if (aOutcome.outcome == ClaimOutcome::NotRun) {
    this->wanted = Wanted::Release;
  } else if (aOutcome.outcome == ClaimOutcome::Answered) {
    this->own.Finish(aOutcome.status, aOutcome.body);
  } else {
    this->own.state = ClaimState::Unknown;
  }
}

bool ClaimMachine::IsOwn(const StoredClaim& aClaim) const
{
  return aClaim.record && aClaim.record->nonce == this->own.nonce;
}

bool ClaimMachine::HasTries(std::size_t aLimit)
{
  return ++this->tries <= aLimit;
}

} // namespace toucanstand
