#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>

#include "members/Membership.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

Vm MakeVm(int aNumber)
{
  return { VmId("vm-" + std::to_string(aNumber)),
           ZoneId("zone"),
           { "127.0.0.1", static_cast<std::uint16_t>(1000 + aNumber) } };
}

/// Simulates nodes and a network that loses, duplicates and delays messages.
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, int aNodes)
    : random(aSeed)
  {
    for (int number = 0; number < aNodes; ++number) {
      this->vms.push_back(MakeVm(number));
    }
    this->nodes.resize(this->vms.size());
    this->paused.resize(this->vms.size());
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
      this->Start(index);
    }
  }

  void Start(std::size_t aIndex)
  {
    // A restarted node has lost its state, so it may see a leaving member as not leaving
    // at first.
    std::erase_if(this->leavingSeen, [aIndex](const auto& aSeen) {
      return std::get<0>(aSeen.first) == aIndex;
    });
    this->nodes[aIndex] = std::make_unique<Membership>(
      this->vms[aIndex], this->settings, this->random, this->now);
    this->nodes[aIndex]->SetSeeds({ this->vms[0], this->vms[1] });
  }

  void Run(Duration aTime)
  {
    for (const auto end = this->now + aTime; this->now < end; this->now += 50ms) {
      this->Deliver();
      for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (this->nodes[index] && !this->paused[index]) {
          this->Handle(index, this->nodes[index]->Tick(this->now));
        }
      }
    }
  }

  [[nodiscard]] bool AllAgree() const
  {
    const auto running = static_cast<std::size_t>(std::ranges::count_if(
      this->nodes, [](const auto& aNode) { return aNode != nullptr; }));
    return std::ranges::all_of(this->nodes, [&](const auto& aNode) {
      return !aNode || aNode->Members().AliveCount() + 1 == running;
    });
  }

  Random random;
  MembershipSettings settings;
  TimePoint now{ 1h };
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<Membership>> nodes;
  std::vector<bool> paused;
  double loss = 0;
  /// Whether the network drops all messages from, and all messages to, node 0.
  bool cutFromFirst = false;
  bool cutToFirst = false;
  bool leavingReverted = false;
  int deathsSeen = 0;

private:
  struct MessageInTransit
  {
    TimePoint at;
    std::size_t to;
    MembershipMessage message;
  };

  void Handle(std::size_t aFrom, const MembershipActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<SendMessage>(&action)) {
        this->Send(aFrom, static_cast<std::size_t>(send->to.port - 1000), send->message);
      } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
        this->Check(aFrom, changed->member);
      }
    }
  }

  void Send(std::size_t aFrom, std::size_t aTo, const MembershipMessage& aMessage)
  {
    if ((this->cutFromFirst && aFrom == 0) || (this->cutToFirst && aTo == 0)) {
      return;
    }
    for (int copy = 0; copy < 2; ++copy) {
      if (this->random.Fraction() < (copy == 0 ? this->loss : 1 - this->loss)) {
        continue;
      }
      const auto delay = this->loss == 0 ? 1 : this->random.Below(400);
      this->messagesInTransit.push_back(
        { this->now + std::chrono::milliseconds(delay), aTo, aMessage });
    }
  }

  void Deliver()
  {
    std::deque<MessageInTransit> waiting;
    std::swap(waiting, this->messagesInTransit);
    for (auto& flight : waiting) {
      if (flight.at > this->now || this->paused[flight.to]) {
        this->messagesInTransit.push_back(std::move(flight));
      } else if (this->nodes[flight.to]) {
        this->Handle(flight.to,
                     this->nodes[flight.to]->Receive(flight.message, this->now));
      }
    }
  }

  void Check(std::size_t aAt, const MemberDelta& aMember)
  {
    this->deathsSeen += aMember.state == MemberState::Dead ? 1 : 0;
    auto& hasLeft = this->leavingSeen[{ aAt, aMember.vm.id, aMember.incarnation }];
    this->leavingReverted = this->leavingReverted || (hasLeft && !aMember.leaving);
    hasLeft = hasLeft || aMember.leaving;
  }

  std::deque<MessageInTransit> messagesInTransit;
  std::map<std::tuple<std::size_t, VmId, Incarnation>, bool> leavingSeen;
};

} // namespace

TEST_CASE("Members discover each other, remove a crashed one and add it after a restart",
          "[membership]")
{
  Fleet fleet(1, 9);
  fleet.Run(6s);
  REQUIRE(fleet.AllAgree());
  fleet.nodes[4].reset();
  fleet.Run(10s);
  REQUIRE(fleet.AllAgree());
  // The restarted node starts with incarnation 1 again and must refute that it is dead.
  fleet.Start(4);
  fleet.Run(6s);
  CHECK(fleet.AllAgree());
}

TEST_CASE("A process that was paused does not declare other members dead for the pause",
          "[membership]")
{
  // Guards against counting the time of the pause as time without answers of all other
  // members.
  Fleet fleet(2, 9);
  fleet.Run(6s);
  const auto before = fleet.nodes[3]->OwnIncarnation();
  // The pause starts while probes are unanswered and a suspicion is about to expire.
  fleet.nodes[8].reset();
  fleet.Run(3s);
  fleet.paused[3] = true;
  fleet.Run(60s);
  fleet.paused[3] = false;
  fleet.Run(10s);
  CHECK(fleet.nodes[3]->Counters().deaths <= 1);
  CHECK(fleet.nodes[3]->Counters().pauses == 1);
  CHECK(fleet.nodes[3]->OwnIncarnation() > before);
  CHECK(fleet.AllAgree());
}

TEST_CASE("Repeated pauses below the suspicion timeout do not declare a member dead",
          "[membership]")
{
  Random random(6);
  TimePoint now{ 1h };
  Membership membership(MakeVm(0), {}, random, now);
  const Probe probe{ { MakeVm(1), 1, false, 0, true, {}, {} }, 1, false };
  CHECK(membership.Receive(probe, now).size() == 3);
  for (int pause = 0; pause < 4; ++pause) {
    static_cast<void>(membership.Tick(now += 2900ms));
  }
  CHECK(membership.Counters().suspicions == 1);
  CHECK(membership.Counters().deaths == 0);
}

TEST_CASE("Members agree again after a partition in one or both directions ends",
          "[membership]")
{
  // Guards against two sides that regard each other as dead for good, because all deltas
  // have already been sent their limited number of times.
  Fleet fleet(3, 7);
  fleet.Run(6s);
  fleet.cutFromFirst = GENERATE(true, false);
  fleet.cutToFirst = GENERATE(true, false);
  const bool cut = fleet.cutFromFirst || fleet.cutToFirst;
  fleet.Run(80s);
  CHECK(fleet.AllAgree() != cut);
  fleet.cutFromFirst = fleet.cutToFirst = false;
  fleet.Run(15s);
  CHECK(fleet.AllAgree());
}

TEST_CASE("Leaving is not reverted within an incarnation, and members agree after faults",
          "[membership]")
{
  // Guards against an old delta that overrides a newer one when messages are lost,
  // duplicated or delayed and processes are restarted or paused.
  for (std::uint64_t seed = 1; seed <= 600; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(seed, 5);
    fleet.loss = 0.2;
    for (int step = 0; step < 12; ++step) {
      const auto index = static_cast<std::size_t>(fleet.random.Below(5));
      switch (fleet.random.Below(5)) {
        case 0:
          fleet.nodes[index].reset();
          break;
        case 1:
          fleet.paused[index] = !fleet.paused[index];
          break;
        case 2:
          if (fleet.nodes[index]) {
            static_cast<void>(fleet.nodes[index]->Leave());
          }
          break;
        default:
          fleet.Start(index);
      }
      fleet.Run(std::chrono::milliseconds(fleet.random.Below(4000)));
    }
    fleet.loss = 0;
    for (std::size_t index = 0; index < 5; ++index) {
      fleet.paused[index] = false;
      if (!fleet.nodes[index]) {
        fleet.Start(index);
      }
    }
    fleet.Run(20s);
    REQUIRE_FALSE(fleet.leavingReverted);
    REQUIRE(fleet.AllAgree());
  }
}

TEST_CASE("An answer to a probe of an earlier run does not count as contact",
          "[membership]")
{
  // Guards against a restarted node that takes the late answer to a probe of its earlier
  // run for the answer to a current probe.
  const TimePoint now{ 1h };
  const auto firstProbeOf = [&now](Membership& aMembership) {
    aMembership.SetSeeds({ MakeVm(1) });
    const auto actions = aMembership.Tick(now);
    REQUIRE(actions.size() == 1);
    return std::get<Probe>(std::get<SendMessage>(actions.front()).message);
  };
  Random firstRandom(1);
  Random secondRandom(2);
  Membership first(MakeVm(0), {}, firstRandom, now);
  Membership second(MakeVm(0), {}, secondRandom, now);
  const auto earlierProbe = firstProbeOf(first);
  const auto currentProbe = firstProbeOf(second);
  const auto hasContact = [&](std::uint64_t aSequence) {
    const ProbeAck ack{ { MakeVm(1), 1, false, 0, true, {}, {} },
                        aSequence,
                        VmId("vm-1") };
    return std::ranges::any_of(second.Receive(ack, now), [](const auto& aAction) {
      const auto* received = std::get_if<PeerMessageReceived>(&aAction);
      return received != nullptr && received->probeSentAt.has_value();
    });
  };
  CHECK_FALSE(hasContact(earlierProbe.sequence));
  CHECK(hasContact(currentProbe.sequence));
  CHECK_FALSE(hasContact(currentProbe.sequence));
}

TEST_CASE("A notice reaches every node within 5 s", "[membership]")
{
  Fleet fleet(4, 9);
  fleet.Run(6s);
  const Notice notice{ NoticeKind::LeavingServer, "engine-1", 10min };
  CHECK(fleet.nodes[2]->Announce(notice, fleet.now));
  CHECK_FALSE(fleet.nodes[2]->Announce(notice, fleet.now));
  // All nodes must stop sending new work to a leaving server within 5 s.
  fleet.Run(5s);
  for (const auto& node : fleet.nodes) {
    CHECK(node->KnownNotices().Active(NoticeKind::LeavingServer, fleet.now).size() == 1);
  }
}

TEST_CASE("Malformed messages are counted and otherwise ignored", "[membership]")
{
  Random random(5);
  Membership membership(MakeVm(0), {}, random, TimePoint(1h));
  MemberDelta delta{ MakeVm(2), 3, MemberState::Suspect, true };
  const Probe probe{ { MakeVm(1), 2, false, 5, true, { delta }, {} }, 7, true };
  const auto text = FormatMembershipMessage(probe);
  REQUIRE(*ParseMembershipMessage(text) == MembershipMessage(probe));

  auto otherVersion = text;
  otherVersion.replace(otherVersion.find("\"version\":1"), 11, "\"version\":2");
  auto extraField = text;
  extraField.insert(1, R"("surplus":1,)");
  for (const auto& malformed : { text.substr(1),
                                 std::string(600000, '['),
                                 std::string(kMaximumMembershipBytes + 1, ' '),
                                 otherVersion,
                                 extraField }) {
    CHECK(membership.ReceiveText(malformed, TimePoint(1h)).empty());
  }
  CHECK(membership.Members().AliveCount() == 0);
  const auto& rejected = membership.Counters().rejected;
  CHECK(rejected == std::array<std::uint64_t, kMessageErrorCount>{ 1, 2, 1, 0, 1 });
}
