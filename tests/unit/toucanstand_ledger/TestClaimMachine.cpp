#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "claims/ClaimMachine.h"
#include "random/Random.h"

using namespace toucanstand;

namespace {

ClaimMessage Message(const std::string& aNonce)
{
  return { AccountId("account"), "key", "fingerprint", aNonce };
}

/// One key of the store. Revisions never repeat, also across a deletion.
struct ModelStore
{
  std::optional<std::string> value;
  std::int64_t revision = 0;
  std::int64_t clock = 0;

  StoreResult Apply(const ClaimAction& aAction)
  {
    const bool create = aAction.kind == ClaimActionKind::CreateIfAbsent;
    const bool holds = create ? !this->value.has_value()
                              : this->value && this->revision == aAction.revision;
    if (!holds) {
      return StoreResult::ConditionFailed;
    }
    this->revision = ++this->clock;
    this->value = FormatClaimRecord(aAction.record);
    if (aAction.kind == ClaimActionKind::DeleteIfRevision) {
      this->value.reset();
    }
    return StoreResult::Done;
  }

  [[nodiscard]] std::optional<StoredClaim> Read(bool aOwnerGone) const
  {
    if (!this->value) {
      return std::nullopt;
    }
    return StoredClaim{ ParseClaimRecord(*this->value), this->revision, aOwnerGone };
  }
};

/// The call of one caller at one entry VM, with its claim at the ledger.
struct Call
{
  enum class State
  {
    Waiting,
    Granted,
    Sent,
    Ended,
  };

  Call(std::string aNonce, int aVm)
    : machine(std::make_unique<ClaimMachine>(Message(aNonce), VmId(std::to_string(aVm))))
    , nonce(std::move(aNonce))
  {
  }

  std::unique_ptr<ClaimMachine> machine;
  std::string nonce;
  State state = State::Waiting;
  bool toldNotRun = false;
  bool ran = false;
  /// Sent, and the server may still run it.
  bool mayStillRun = false;
};

/// Several entry VMs with one store. Every message is delivered at a random later step,
/// or never; a store call may take effect long after its caller has stopped waiting.
class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : random(aSeed)
    , lossPercent(this->random.Below(40))
  {
  }

  void Run()
  {
    constexpr std::size_t kSteps = 250;
    constexpr std::size_t kCalls = 8;
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (this->calls.size() < kCalls && this->Chance(10)) {
        this->Open();
      }
      this->Step();
      this->Check();
    }
  }

  /// Asks once more without faults, after everything on the way has arrived.
  ClaimAnswer AskQuietly()
  {
    this->lossPercent = 0;
    while (!this->pending.empty()) {
      this->Deliver(0);
    }
    for (auto& call : this->calls) {
      call.machine.reset();
    }
    this->Open();
    auto& last = this->calls.back();
    while (!this->pending.empty()) {
      this->Deliver(0);
    }
    this->Check();
    return last.state == Call::State::Granted ? ClaimAnswer::Granted : this->lastAnswer;
  }

  [[nodiscard]] std::size_t Executions() const { return this->executions; }
  [[nodiscard]] std::size_t Grants() const { return this->grants; }
  [[nodiscard]] std::size_t StoredAnswers() const { return this->storedAnswers; }
  [[nodiscard]] std::size_t Released() const { return this->released; }

private:
  enum class Leg
  {
    ToStore,
    FromStore,
    ToEntry,
    Timer,
    OutcomeToLedger,
  };

  struct Pending
  {
    Leg leg = Leg::ToStore;
    std::size_t call = 0;
    ClaimAction action{};
    StoreResult result = StoreResult::Done;
    std::optional<StoredClaim> found{};
    OutcomeMessage outcome{};
  };

  bool Chance(std::uint64_t aPercent) { return this->random.Below(100) < aPercent; }

  void Open()
  {
    this->calls.emplace_back("nonce-" + std::to_string(this->calls.size()),
                             static_cast<int>(this->random.Below(3)));
    const std::size_t index = this->calls.size() - 1;
    this->Take(index, this->calls[index].machine->OnClaimAsked());
  }

  void Step()
  {
    if (!this->pending.empty() && this->Chance(70)) {
      this->Deliver(this->random.Below(this->pending.size()));
    }
    if (!this->calls.empty()) {
      this->MoveEntry(this->random.Below(this->calls.size()));
    }
  }

  void MoveEntry(std::size_t aIndex)
  {
    Call& call = this->calls[aIndex];
    if (call.mayStillRun && this->Chance(50)) {
      this->Execute(call);
    }
    if (this->Chance(2)) {
      call.machine.reset(); // The ledger process crashes.
    } else if (this->Chance(2) && call.machine) {
      this->Take(aIndex, call.machine->OnOwnerGone()); // A wrong suspicion.
    } else if (this->Chance(2)) {
      call.state = Call::State::Ended; // The entry process crashes.
    } else if (call.state == Call::State::Waiting && this->Chance(5)) {
      call.toldNotRun = true;
      this->End(aIndex, ClaimOutcome::NotRun);
    } else if (call.state == Call::State::Granted && this->Chance(30)) {
      call.state = Call::State::Sent;
      call.mayStillRun = true;
    } else if (call.state == Call::State::Sent && this->Chance(30)) {
      this->EndSent(aIndex);
    }
  }

  void EndSent(std::size_t aIndex)
  {
    Call& call = this->calls[aIndex];
    if (call.ran && this->Chance(70)) {
      this->End(aIndex, ClaimOutcome::Answered);
      return;
    }
    if (!call.ran && this->Chance(60)) {
      call.mayStillRun = false; // The server refuses it as not run.
      call.toldNotRun = true;
      this->End(aIndex, ClaimOutcome::NotRun);
      return;
    }
    this->End(aIndex, ClaimOutcome::Unknown);
  }

  void End(std::size_t aIndex, ClaimOutcome aOutcome)
  {
    Call& call = this->calls[aIndex];
    call.state = Call::State::Ended;
    const bool answered = aOutcome == ClaimOutcome::Answered;
    this->pending.push_back(
      { .leg = Leg::OutcomeToLedger,
        .call = aIndex,
        .outcome = { call.nonce, aOutcome, answered ? 201 : 0, call.nonce } });
  }

  void Execute(Call& aCall)
  {
    aCall.mayStillRun = false;
    aCall.ran = true;
    ++this->executions;
    this->ranNonce = aCall.nonce;
  }

  void Deliver(std::size_t aPosition)
  {
    const Pending item = this->pending[aPosition];
    this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(aPosition));
    ClaimMachine* machine = this->calls[item.call].machine.get();
    const bool lost = this->Chance(this->lossPercent);
    if (item.leg == Leg::ToStore) {
      this->ReachStore(item, lost);
    } else if (item.leg == Leg::ToEntry && !lost) {
      this->ReachEntry(item);
    } else if (item.leg == Leg::OutcomeToLedger && !lost && machine != nullptr) {
      this->Take(item.call, machine->OnOutcomeKnown(item.outcome));
    } else if (item.leg == Leg::OutcomeToLedger && !lost) {
      auto& restarted = this->calls[item.call].machine;
      auto request = Message(item.outcome.nonce);
      request.fingerprint.clear();
      restarted = std::make_unique<ClaimMachine>(request, VmId("restarted"));
      this->Take(item.call, restarted->OnOutcomeRecovered(item.outcome));
    } else if (item.leg == Leg::Timer && machine != nullptr) {
      this->Take(item.call, machine->OnRetryTime());
    } else if (item.leg == Leg::FromStore && machine != nullptr) {
      this->FinishStoreCall(item.call,
                            item.action.kind,
                            lost ? StoreResult::NoReply : item.result,
                            item.found);
    }
  }

  void ReachStore(const Pending& aItem, bool aLost)
  {
    if (aLost && this->Chance(30)) {
      this->FinishStoreCall(
        aItem.call, aItem.action.kind, StoreResult::NotSent, std::nullopt);
      return;
    }
    if (aLost && this->Chance(50)) {
      // Its reply is delivered too: harder than a client that drops late replies. The
      // ledger stops waiting, and the call reaches the store at a later step.
      this->pending.push_back(aItem);
      this->FinishStoreCall(
        aItem.call, aItem.action.kind, StoreResult::NoReply, std::nullopt);
      return;
    }
    Pending reply = aItem;
    reply.leg = Leg::FromStore;
    const bool read = aItem.action.kind == ClaimActionKind::ReadRecord;
    reply.result = read ? StoreResult::Done : this->store.Apply(aItem.action);
    reply.found = this->store.Read(this->Chance(20));
    const bool deleted = aItem.action.kind == ClaimActionKind::DeleteIfRevision;
    this->released += deleted && reply.result == StoreResult::Done ? 1 : 0;
    this->pending.push_back(reply);
  }

  void FinishStoreCall(std::size_t aIndex,
                       ClaimActionKind aKind,
                       StoreResult aResult,
                       const std::optional<StoredClaim>& aFound)
  {
    ClaimMachine* machine = this->calls[aIndex].machine.get();
    if (machine == nullptr) {
      return;
    }
    if (aKind == ClaimActionKind::CreateIfAbsent) {
      this->Take(aIndex,
                 machine->OnCreateReply(aResult, aFound ? aFound->revision : 0, aFound));
    } else if (aKind == ClaimActionKind::ReadRecord) {
      this->Take(aIndex, machine->OnReadReply(aResult, aFound));
    } else {
      this->Take(aIndex, machine->OnReplaceReply(aResult));
    }
  }

  void ReachEntry(const Pending& aItem)
  {
    Call& call = this->calls[aItem.call];
    if (call.state != Call::State::Waiting) {
      return; // The entry stopped waiting: a late grant is dropped.
    }
    const ClaimReplyMessage& reply = aItem.action.reply;
    this->lastAnswer = reply.answer;
    if (reply.answer == ClaimAnswer::Granted) {
      call.state = Call::State::Granted;
      ++this->grants;
      return;
    }
    call.state = Call::State::Ended;
    call.toldNotRun = reply.answer == ClaimAnswer::StoreDown;
    if (reply.answer == ClaimAnswer::StoredAnswer) {
      ++this->storedAnswers;
      REQUIRE(reply.body == this->ranNonce);
    }
  }

  void Take(std::size_t aIndex, const ClaimActions& aActions)
  {
    for (const auto& action : aActions) {
      Leg leg = Leg::ToStore;
      if (action.kind == ClaimActionKind::Reply) {
        leg = Leg::ToEntry;
      } else if (action.kind == ClaimActionKind::WaitToRetry) {
        leg = Leg::Timer;
      } else if (action.kind == ClaimActionKind::ReplyOutcome) {
        continue;
      }
      this->pending.push_back({ .leg = leg, .call = aIndex, .action = action });
    }
  }

  void Check() const
  {
    REQUIRE(this->executions <= 1);
    for (const auto& call : this->calls) {
      REQUIRE_FALSE((call.toldNotRun && call.ran));
    }
  }

  Random random;
  std::uint64_t lossPercent;
  ModelStore store;
  std::vector<Call> calls;
  std::vector<Pending> pending;
  std::size_t executions = 0;
  std::size_t grants = 0;
  std::size_t storedAnswers = 0;
  std::size_t released = 0;
  std::string ranNonce;
  ClaimAnswer lastAnswer = ClaimAnswer::StoreDown;
};

} // namespace

TEST_CASE("A keyed call runs at most once under lost replies, crashes and pauses",
          "[claims]")
{
  // Guards against a second execution and against "not run" for a call that ran (R4, R5),
  // with late writes, wrong suspicions of the owner and late grants.
  std::size_t executions = 0;
  std::size_t grants = 0;
  std::size_t storedAnswers = 0;
  std::size_t released = 0;
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed);
    simulation.Run();
    const ClaimAnswer last = simulation.AskQuietly();
    REQUIRE((last != ClaimAnswer::Granted || simulation.Executions() == 0));
    executions += simulation.Executions();
    grants += simulation.Grants();
    storedAnswers += simulation.StoredAnswers();
    released += simulation.Released();
  }
  // The simulation must reach the interesting cases, or it would prove nothing.
  CHECK(executions > 1000);
  CHECK(grants > executions + 500);
  CHECK(storedAnswers > 500);
  CHECK(released > 500);
}

TEST_CASE("A create whose reply was lost is granted after its own nonce is read",
          "[claims]")
{
  // Guards against refusing a claim that is durable, which blocks the key (R64).
  ModelStore store;
  ClaimMachine machine(Message("n1"), VmId("vm-1"));
  const auto create = machine.OnClaimAsked();
  REQUIRE(store.Apply(create.front()) == StoreResult::Done);
  const auto read = machine.OnCreateReply(StoreResult::NoReply, 0, std::nullopt);
  REQUIRE(read.front().kind == ClaimActionKind::ReadRecord);
  const auto reply = machine.OnReadReply(StoreResult::Done, store.Read(false));
  CHECK(reply.front().reply.answer == ClaimAnswer::Granted);
}

TEST_CASE(
  "A claim refused after an unanswered create removes a record that appears later",
  "[claims]")
{
  // Guards against a key that answers "in progress" for the whole retention period
  // because of a create that took effect after the refusal.
  ModelStore store;
  ClaimMachine machine(Message("n1"), VmId("vm-1"));
  const auto create = machine.OnClaimAsked();
  auto actions = machine.OnCreateReply(StoreResult::NoReply, 0, std::nullopt);
  while (actions.front().kind != ClaimActionKind::Reply) {
    actions = actions.front().kind == ClaimActionKind::ReadRecord
                ? machine.OnReadReply(StoreResult::Done, std::nullopt)
                : machine.OnCreateReply(StoreResult::NotSent, 0, std::nullopt);
  }
  REQUIRE(actions.front().reply.answer == ClaimAnswer::StoreDown);
  REQUIRE(store.Apply(create.front()) == StoreResult::Done);
  REQUIRE(machine.OnRetryTime().front().kind == ClaimActionKind::ReadRecord);
  const auto removal = machine.OnReadReply(StoreResult::Done, store.Read(false));
  REQUIRE(removal.front().kind == ClaimActionKind::DeleteIfRevision);
  REQUIRE(store.Apply(removal.front()) == StoreResult::Done);
  CHECK(machine.OnReplaceReply(StoreResult::Done).empty());
  CHECK(machine.IsDone());
}

TEST_CASE("A claim that the entry no longer wants is removed once it is created",
          "[claims]")
{
  // Guards against a key that stays claimed although its caller was told "not run".
  ClaimMachine machine(Message("n1"), VmId("vm-1"));
  static_cast<void>(machine.OnClaimAsked());
  REQUIRE(machine.OnOutcomeKnown({ "n1", ClaimOutcome::NotRun, 0, "" }).empty());
  const auto removal = machine.OnCreateReply(StoreResult::Done, 5, std::nullopt);
  REQUIRE(removal.size() == 1);
  CHECK(removal.front().kind == ClaimActionKind::DeleteIfRevision);
  CHECK(removal.front().revision == 5);
  CHECK(machine.OnReplaceReply(StoreResult::Done).front().outcomeReply.recorded);
}

TEST_CASE("A restarted ledger records the outcome of a claim it doesn't know", "[claims]")
{
  // Guards against "outcome unknown" for an answer that the entry has, and against
  // replacing the record of another claim.
  ModelStore store;
  ClaimMachine first(Message("n1"), VmId("vm-1"));
  REQUIRE(store.Apply(first.OnClaimAsked().front()) == StoreResult::Done);
  const auto recover = [&store](const std::string& aNonce) {
    ClaimMachine machine({ AccountId("account"), "key", "", aNonce }, VmId("vm-1"));
    const OutcomeMessage outcome{ aNonce, ClaimOutcome::Answered, 201, "done" };
    REQUIRE(machine.OnOutcomeRecovered(outcome).front().kind ==
            ClaimActionKind::ReadRecord);
    return machine.OnReadReply(StoreResult::Done, store.Read(false)).front();
  };
  CHECK(recover("another").kind == ClaimActionKind::ReplyOutcome);
  REQUIRE(store.Apply(recover("n1")) == StoreResult::Done);
  CHECK(store.Read(false)->record->body == "done");
  CHECK(store.Read(false)->record->fingerprint == "fingerprint");

  ClaimMachine repeated({ AccountId("account"), "key", "", "n1" }, VmId("vm-1"));
  static_cast<void>(repeated.OnOutcomeRecovered({ "n1", ClaimOutcome::NotRun, 0, "" }));
  const auto kept = repeated.OnReadReply(StoreResult::Done, store.Read(false));
  CHECK(kept.front().kind == ClaimActionKind::ReplyOutcome);
}

TEST_CASE("A repeated claim message with the same nonce is not granted again", "[claims]")
{
  // Guards against two grants for one claim when a message is delivered twice.
  ModelStore store;
  ClaimMachine first(Message("n1"), VmId("vm-1"));
  REQUIRE(store.Apply(first.OnClaimAsked().front()) == StoreResult::Done);
  ClaimMachine second(Message("n1"), VmId("vm-1"));
  REQUIRE(store.Apply(second.OnClaimAsked().front()) == StoreResult::ConditionFailed);
  const auto reply =
    second.OnCreateReply(StoreResult::ConditionFailed, 0, store.Read(false));
  CHECK(reply.front().reply.answer == ClaimAnswer::InProgress);
}

TEST_CASE("The answer to a repeated key depends on what its record says", "[claims]")
{
  // Guards against answering from the wrong state; none of these may be a grant.
  ClaimRecord record;
  record.account = AccountId("account");
  record.key = "key";
  record.fingerprint = "fingerprint";
  record.nonce = "other";
  const auto answer = [&record](bool aOwnerGone, bool aReadable = true) {
    ClaimMachine machine(Message("n1"), VmId("vm-1"));
    static_cast<void>(machine.OnClaimAsked());
    const StoredClaim stored{ aReadable ? std::optional(record) : std::nullopt,
                              7,
                              aOwnerGone };
    return machine.OnCreateReply(StoreResult::ConditionFailed, 0, stored).front().reply;
  };
  CHECK(answer(false).answer == ClaimAnswer::InProgress);
  CHECK(answer(true).answer == ClaimAnswer::OutcomeUnknown);
  CHECK(answer(false, false).answer == ClaimAnswer::OutcomeUnknown);
  record.Finish(201, "done");
  CHECK(answer(true).answer == ClaimAnswer::StoredAnswer);
  CHECK(answer(true).body == "done");
  record.fingerprint = "another body";
  CHECK(answer(false).answer == ClaimAnswer::KeyReused);
}
