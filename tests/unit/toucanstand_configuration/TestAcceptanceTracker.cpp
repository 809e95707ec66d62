#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

#include "acceptance/AcceptanceTracker.h"
#include "change/ConfigurationChange.h"
#include "random/Random.h"
#include "replica/ConfigurationReplica.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 250ms;

/// Simulates nodes, operators and a store with random faults, on simulated time.
class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : random(aSeed)
  {
    const auto count = 3 + this->random.Below(4);
    this->restartChance = this->Chance(0.5) ? 0.02 : 0.15;
    this->storeRecoveryChance = this->Chance(0.5) ? 0.03 : 0.004;
    for (std::size_t index = 0; index < count; ++index) {
      this->vms.emplace_back("vm-" + std::to_string(index));
      this->links.emplace_back(count, true);
    }
    this->nodes.resize(count);
    this->storeLinks.assign(count, true);
    for (std::size_t index = 0; index < count; ++index) {
      this->RestartNode(index);
    }
  }

  void Run(Duration aTime)
  {
    for (const auto end = this->now + aTime; this->now < end; this->now += kStep) {
      this->InjectFaults();
      this->Deliver();
      for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (this->nodes[index]->pausedUntil <= this->now) {
          this->StepNode(index);
        }
      }
    }
    // Deliver all delayed writes, to find changes that take effect although they were
    // reported as not committed.
    this->now += 1h;
    this->Deliver();
    for (const auto& nonce : this->failedChanges) {
      this->failedChangeCommitted =
        this->failedChangeCommitted || this->committedChanges.contains(nonce);
    }
  }

  bool servedStaleRevision = false;
  bool revisionDecreased = false;
  /// Whether a write was committed with a revision other than the next one, or a change
  /// was reported as committed that was not, or not with that revision.
  bool wrongCommit = false;
  bool failedChangeCommitted = false;
  int accepted = 0;
  int committed = 0;

private:
  struct Node
  {
    Node(const VmId& aVm, TimePoint aNow, const std::vector<VmId>& aVms)
      : isolation(aVm, aNow)
    {
      this->isolation.SetQuorum({ aVms, {} });
      this->acceptance.SetQuorum({ aVms, {} });
    }

    ConfigurationReplica replica;
    IsolationDetector isolation;
    AcceptanceTracker acceptance;
    TimePoint pausedUntil{};
    std::int64_t highestRevision = 0;
  };
  using Event = std::function<void()>;

  void RestartNode(std::size_t aIndex)
  {
    this->nodes[aIndex] = std::make_shared<Node>(this->vms[aIndex], this->now, this->vms);
  }

  bool Chance(double aProbability) { return this->random.Fraction() < aProbability; }

  /// Schedules an event after a random delay. Sometimes it is lost or runs twice.
  void ScheduleUnreliably(const Event& aEvent)
  {
    for (int copy = 0; copy < 2; ++copy) {
      if (this->Chance(copy == 0 ? 0.9 : 0.1)) {
        const auto limit = this->Chance(0.05) ? 12000 : 300;
        this->events.emplace(
          this->now + std::chrono::milliseconds(this->random.Below(limit)), aEvent);
      }
    }
  }

  void Deliver()
  {
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const auto event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
  }

  void InjectFaults()
  {
    const auto index = this->random.Below(this->nodes.size());
    if (this->Chance(this->restartChance)) {
      this->RestartNode(index);
    }
    if (this->Chance(0.02)) {
      this->nodes[index]->pausedUntil =
        this->now + std::chrono::milliseconds(this->random.Below(15000));
    }
    if (this->Chance(0.05)) {
      this->RandomizeLinks();
    }
    if (this->Chance(this->storeUp ? 0.03 : this->storeRecoveryChance)) {
      this->storeUp = !this->storeUp;
    }
    if (this->Chance(0.1)) {
      this->StartOperator();
    }
  }

  void RandomizeLinks()
  {
    const double reachable = this->Chance(0.5) ? 0.6 : 1.0;
    for (std::size_t from = 0; from < this->vms.size(); ++from) {
      this->storeLinks[from] = this->Chance(0.6);
      for (std::size_t to = 0; to < this->vms.size(); ++to) {
        this->links[from][to] = this->Chance(reachable);
      }
    }
  }

  void StepNode(std::size_t aIndex)
  {
    auto& node = *this->nodes[aIndex];
    if (this->Chance(0.3)) {
      this->QueryStore(aIndex);
    }
    this->QueryPeer(aIndex, this->random.Below(this->vms.size()));
    node.acceptance.AddConfirmation(
      this->vms[aIndex], this->now, node.replica.Revision());
    if (node.acceptance.Update(this->now) == AcceptanceState::Accepted &&
        this->acceptedAt.emplace(node.acceptance.Revision(), this->now).second) {
      ++this->accepted;
    }
    this->CheckInvariants(node);
  }

  void CheckInvariants(Node& aNode)
  {
    const auto revision = aNode.replica.Revision();
    this->revisionDecreased = this->revisionDecreased || revision < aNode.highestRevision;
    aNode.highestRevision = revision;
    if (!aNode.isolation.MayServe(this->now)) {
      return;
    }
    for (const auto& [acceptedRevision, time] : this->acceptedAt) {
      this->servedStaleRevision =
        this->servedStaleRevision ||
        (acceptedRevision > revision && this->now - time > kIsolationTimeout);
    }
  }

  void OfferText(Node& aNode, const std::optional<std::string>& aText)
  {
    if (!aText || aNode.replica.Offer(*aText, this->now) != OfferOutcome::Adopted) {
      return;
    }
    aNode.isolation.SetRevision(aNode.replica.Revision());
    aNode.acceptance.TrackRevision(aNode.replica.Revision());
  }

  void QueryStore(std::size_t aIndex)
  {
    if (!this->storeLinks[aIndex]) {
      return;
    }
    const auto node = this->nodes[aIndex];
    this->ScheduleUnreliably([this, node, aIndex, askedAt = this->now] {
      if (!this->storeUp) {
        return;
      }
      const auto value = this->stored;
      const auto revision = this->storedRevision;
      this->ScheduleUnreliably([this, node, aIndex, askedAt, value, revision] {
        if (node == this->nodes[aIndex] && node->pausedUntil <= this->now) {
          this->OfferText(*node, value.text);
          node->isolation.OnStoreAnswer(askedAt, revision);
        }
      });
    });
  }

  void QueryPeer(std::size_t aFrom, std::size_t aTo)
  {
    if (aFrom == aTo || !this->links[aFrom][aTo]) {
      return;
    }
    const auto node = this->nodes[aFrom];
    this->ScheduleUnreliably([this, node, aFrom, aTo, askedAt = this->now] {
      const auto& peer = *this->nodes[aTo];
      if (peer.pausedUntil > this->now || !this->links[aTo][aFrom]) {
        return;
      }
      const auto revision = peer.replica.Revision();
      const bool synchronized = peer.isolation.IsSynchronized();
      std::optional<std::string> text;
      if (revision > 0) {
        text = peer.replica.Current()->text;
      }
      this->ScheduleUnreliably([=, this] {
        if (node != this->nodes[aFrom] || node->pausedUntil > this->now) {
          return;
        }
        // In half of the cases, the document itself arrives only with a later answer.
        if (revision > node->replica.Revision() && this->Chance(0.5)) {
          this->OfferText(*node, text);
        }
        node->isolation.OnPeerAnswer(this->vms[aTo], askedAt, revision, synchronized);
        node->acceptance.AddConfirmation(this->vms[aTo], askedAt, revision);
      });
    });
  }

  void StartOperator()
  {
    const auto name = "operator-" + std::to_string(++this->operatorCount);
    const auto change = std::make_shared<ConfigurationChange>(ChangeRequest{
      name,
      name,
      "",
      SetDefault("/admission/long/queueLimit", std::to_string(this->random.Below(100))),
      {} });
    this->PerformAction(change, name, change->Start());
  }

  using ChangePointer = std::shared_ptr<ConfigurationChange>;

  void PerformAction(const ChangePointer& aChange,
                     const std::string& aNonce,
                     const ChangeAction& aAction)
  {
    if (const auto* outcome = std::get_if<ChangeOutcome>(&aAction)) {
      this->RecordOutcome(aNonce, *outcome);
      return;
    }
    // The operator cannot tell a lost request from a lost reply. A request without an
    // answer may still take effect later.
    const bool answered = this->storeUp && this->Chance(0.7);
    const bool executed = answered || this->Chance(0.5);
    const bool delayed = !answered && this->Chance(0.5);
    const auto wait = std::chrono::milliseconds(this->random.Below(500));
    if (const auto* swap = std::get_if<SwapConfiguration>(&aAction)) {
      const auto at = this->now + (delayed ? wait + 2s : wait);
      if (executed && !answered) {
        this->events.emplace(at, [this, swap = *swap] { this->Write(swap); });
      }
      this->events.emplace(this->now + wait, [=, this, swap = *swap] {
        this->PerformAction(aChange,
                            aNonce,
                            answered ? aChange->OnSwapAnswered(this->Write(swap))
                                     : aChange->OnSwapUnanswered());
      });
      return;
    }
    this->events.emplace(this->now + wait, [=, this] {
      this->PerformAction(aChange,
                          aNonce,
                          answered ? aChange->OnRead(this->stored)
                                   : aChange->OnReadFailed());
    });
  }

  bool Write(const SwapConfiguration& aSwap)
  {
    if (aSwap.modRevision != this->stored.modRevision) {
      return false;
    }
    const auto document = ParseConfiguration(aSwap.text);
    this->wrongCommit =
      this->wrongCommit || document->revision != this->storedRevision + 1;
    this->stored = { aSwap.text, this->stored.modRevision + 1 };
    this->storedRevision = document->revision;
    this->committedChanges.emplace(document->nonce, document->revision);
    return true;
  }

  void RecordOutcome(const std::string& aNonce, const ChangeOutcome& aOutcome)
  {
    if (aOutcome.result == ChangeResult::Committed) {
      ++this->committed;
      this->wrongCommit = this->wrongCommit || !this->committedChanges.contains(aNonce) ||
                          this->committedChanges.at(aNonce) != aOutcome.revision;
    } else if (aOutcome.result != ChangeResult::Undetermined) {
      this->failedChanges.insert(aNonce);
    }
  }

  Random random;
  /// Probabilities per step. With many restarts during a long outage of the store, only
  /// the other nodes can provide a quorum.
  double restartChance = 0.02;
  double storeRecoveryChance = 0.03;
  TimePoint now{ 1h };
  std::vector<VmId> vms;
  std::vector<std::shared_ptr<Node>> nodes;
  std::vector<std::vector<bool>> links;
  std::vector<bool> storeLinks;
  bool storeUp = true;
  StoredConfiguration stored;
  std::int64_t storedRevision = 0;
  std::multimap<TimePoint, Event> events;
  std::map<std::string, std::int64_t> committedChanges;
  /// Nonces of the changes that were reported as not committed.
  std::set<std::string> failedChanges;
  std::map<std::int64_t, TimePoint> acceptedAt;
  int operatorCount = 0;
};

} // namespace

TEST_CASE(
  "After a revision is accepted, a node serves older ones only up to a time limit",
  "[acceptance]")
{
  // Guards against quorums that don't intersect because of late answers or confirmations
  // from before a restart, against going back to an older revision, and against two
  // committed changes with the same revision.
  int accepted = 0;
  int committed = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed);
    simulation.Run(60s);
    REQUIRE_FALSE(simulation.servedStaleRevision);
    REQUIRE_FALSE(simulation.revisionDecreased);
    REQUIRE_FALSE(simulation.wrongCommit);
    REQUIRE_FALSE(simulation.failedChangeCommitted);
    accepted += simulation.accepted;
    committed += simulation.committed;
  }
  // Ensures that the simulation reaches the states that are to be tested.
  CHECK(accepted > 2000);
  CHECK(committed > 2000);
}

TEST_CASE("A change stays pending until a majority confirms within the window",
          "[acceptance]")
{
  const TimePoint start{ 1h };
  const std::vector<VmId> vms = { VmId("a"), VmId("b"), VmId("c") };
  AcceptanceTracker acceptance;
  acceptance.SetQuorum({ vms, {} });
  acceptance.TrackRevision(3);
  acceptance.AddConfirmation(VmId("a"), start, 3);
  acceptance.AddConfirmation(VmId("b"), start, 2);
  acceptance.AddConfirmation(VmId("other"), start, 3);
  CHECK(acceptance.Update(start) == AcceptanceState::Pending);
  acceptance.AddConfirmation(VmId("b"), start + 9s, 3);
  CHECK(acceptance.Update(start + 9s) == AcceptanceState::Pending);
  acceptance.AddConfirmation(VmId("c"), start + 9s, 4);
  CHECK(acceptance.Update(start + 9s) == AcceptanceState::Accepted);
  CHECK(acceptance.UnconfirmedVms(start + 9s) == std::vector<VmId>{ VmId("a") });
}
