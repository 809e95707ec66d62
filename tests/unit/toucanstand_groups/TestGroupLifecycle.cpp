#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "formation/GroupLifecycle.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const PoolId kPool("engines");
const DomainId kDomain("domain");
const std::string kModel = "m0";
constexpr Duration kTick = 200ms;

/// A group of two engines that serves.
class ServingGroupRig
{
public:
  ServingGroupRig()
  {
    this->cost.models = { ModelTerms{ .name = kModel, .groupSize = 2 },
                          ModelTerms{ .name = "m1", .groupSize = 2 } };
    this->lifecycle.StartTerm(1);
    this->Register(MembershipState::Open);
    this->Advance(kTick);
  }

  /// Takes the model out of the configuration, as a new version does.
  void RemoveModel() { this->cost.models.erase(this->cost.models.begin()); }

  /// Lets the registration of a member lapse, as when it is cut off from the store.
  void Unregister(std::size_t aRank)
  {
    this->directory.Remove(MemberId(aRank), this->now);
  }

  /// Registers the members, of which the one with aLeavingRank leaves.
  void Register(MembershipState aHeadState,
                std::optional<std::size_t> aLeavingRank = std::nullopt)
  {
    this->RegisterGroup(this->group, "engine-", aHeadState, aLeavingRank);
  }

  /// Adds another group of the model, which serves.
  void AddGroup()
  {
    this->RegisterGroup(
      GroupIdFor(kModel, 2), "other-", MembershipState::Open, std::nullopt);
    this->Advance(kTick);
  }

  void RegisterGroup(const GroupId& aGroup,
                     const std::string& aPrefix,
                     MembershipState aHeadState,
                     std::optional<std::size_t> aLeavingRank)
  {
    for (std::size_t rank = 0; rank < 2; ++rank) {
      auto entry = this->MakeEntry(rank);
      entry.leaving = rank == aLeavingRank;
      entry.id = ServerId(aPrefix + std::to_string(rank));
      entry.membership = GroupMembership{
        aGroup, 1, rank, rank == 0 ? aHeadState : MembershipState::Ready
      };
      this->directory.Put(entry);
    }
  }

  /// Evacuates the zone of the group or takes it back.
  void Evacuate(bool aIsEvacuated)
  {
    this->inputs.isEvacuatedZone = [aIsEvacuated](const ZoneId& /*aZone*/) {
      return aIsEvacuated;
    };
  }

  /// Lets the time pass. @returns the orders to leave that were given
  std::size_t Advance(Duration aTime)
  {
    std::size_t leaves = 0;
    const auto end = this->now + aTime;
    while (this->now < end) {
      this->now += kTick;
      this->lifecycle.Step(this->inputs, this->directory.GroupsOf(kPool), this->now);
      const auto orders = this->lifecycle.TakeOrders();
      leaves += Count(orders, OrderKind::Leave);
      this->closes += Count(orders, OrderKind::Close);
      this->opens += Count(orders, OrderKind::Open);
      this->joins += Count(orders, OrderKind::Join);
    }
    return leaves;
  }

  /// Forms a group of two free engines.
  void FormSecondGroup()
  {
    for (const std::size_t rank : { 2, 3 }) {
      this->directory.Put(this->MakeEntry(rank));
    }
    this->lifecycle.Form(
      kModel,
      { this->directory.Find(MemberId(2)), this->directory.Find(MemberId(3)) },
      this->now);
  }

  /// Registers the free engines in a group that is not the one which they are to form.
  void RegisterFormerGroup(MembershipState aHeadState)
  {
    for (const std::size_t rank : { 2, 3 }) {
      auto entry = this->MakeEntry(rank);
      entry.membership =
        GroupMembership{ GroupIdFor(kModel, 9),
                         9,
                         rank - 2,
                         rank == 2 ? aHeadState : MembershipState::Ready };
      this->directory.Put(entry);
    }
  }

  /// Registers the members of that group as ready.
  void RegisterSecondGroup()
  {
    const auto& [id, record] =
      *std::ranges::find_if(this->lifecycle.Groups(), [](const auto& aGroup) {
        return aGroup.second.generation > 1;
      });
    for (const std::size_t rank : { 2, 3 }) {
      auto entry = this->MakeEntry(rank);
      entry.membership =
        GroupMembership{ id, record.generation, rank - 2, MembershipState::Ready };
      this->directory.Put(entry);
    }
  }

  static ServerId MemberId(std::size_t aRank)
  {
    return ServerId("engine-" + std::to_string(aRank));
  }

  /// Whether the lease holder reaches the members of the group.
  void Reach(bool aIsReached)
  {
    for (const std::size_t rank : { 0, 1 }) {
      aIsReached ? this->lifecycle.OnResponsive(MemberId(rank))
                 : this->lifecycle.OnUnresponsive(MemberId(rank));
    }
  }

  /// A member answers that it has carried out an order.
  void ReplyTo(OrderKind aKind, std::size_t aRank)
  {
    EngineOrder order;
    order.server = MemberId(aRank);
    order.kind = aKind;
    order.group = this->group;
    order.generation = 1;
    this->lifecycle.OnReply(order, EngineOrderReply::Done, this->now);
  }

  /// Members of the group that may join another one.
  [[nodiscard]] std::size_t CountFreeMembers() const
  {
    const std::array ranks = { 0, 1 };
    return static_cast<std::size_t>(
      std::ranges::count_if(ranks, [this](std::size_t aRank) {
        return this->lifecycle.IsFree(*this->directory.Find(MemberId(aRank)));
      }));
  }

  /// Orders that were given.
  std::size_t closes = 0;
  std::size_t opens = 0;
  std::size_t joins = 0;
  EngineCostModel cost;
  ServerDirectory directory;
  FormationInputs inputs{ this->directory, this->cost, {}, true, 5s, 8s, false };
  GroupLifecycle lifecycle;
  GroupId group = GroupIdFor(kModel, 1);
  TimePoint now{ 1h };
  std::int64_t sequence = 0;

private:
  /// A registration without membership.
  ServerEntry MakeEntry(std::size_t aNumber)
  {
    ServerEntry entry;
    entry.id = MemberId(aNumber);
    entry.pool = kPool;
    entry.domain = kDomain;
    entry.startedAtUnixMs = 1;
    entry.sequence = { ++this->sequence };
    return entry;
  }

  static std::size_t Count(const std::vector<EngineOrder>& aOrders, OrderKind aKind)
  {
    return static_cast<std::size_t>(
      std::ranges::count(aOrders, aKind, &EngineOrder::kind));
  }
};

} // namespace

TEST_CASE("A group that is reassigned finishes its longest request", "[groups]")
{
  // Guards against streams of sound engines that an order to leave cuts.
  ServingGroupRig rig;
  rig.lifecycle.Reassign(rig.group, "m1", kDomain, 8s, rig.now);
  rig.Register(MembershipState::Closing);
  CHECK(rig.Advance(8s - kTick) == 0);
  CHECK(rig.Advance(1s) > 0);
}

TEST_CASE("A reassigned group that has finished leaves at once", "[groups]")
{
  // Guards against engines that stay idle until the longest request would have ended.
  ServingGroupRig rig;
  rig.lifecycle.Reassign(rig.group, "m1", kDomain, 8s, rig.now);
  rig.Register(MembershipState::Closing);
  CHECK(rig.Advance(1s) == 0);
  rig.Register(MembershipState::Ready);
  CHECK(rig.Advance(kTick) > 0);
}

TEST_CASE("A new leader lets a group finish whose model was removed", "[groups]")
{
  // Guards against streams that were accepted before the version and are cut by an order.
  ServingGroupRig rig;
  rig.RemoveModel();
  rig.lifecycle.StartTerm(2);
  CHECK(rig.Advance(8s) == 0);
  CHECK(rig.closes > 0);
  CHECK(rig.Advance(2s) > 0);
}

TEST_CASE("A group whose head is not registered finishes its longest request", "[groups]")
{
  // Guards against streams of a sound head that an order to leave cuts 1.5 s after the
  // store has removed its registration: an engine that is cut off from the store serves.
  ServingGroupRig rig;
  rig.Unregister(0);
  CHECK(rig.Advance(8s) == 0);
  CHECK(rig.closes > 0);
  CHECK(rig.Advance(1s) > 0);
}

TEST_CASE("A group with a leaving member finishes its longest request", "[groups]")
{
  // Guards against streams that an order to leave cuts while the leaving member stays: it
  // does so as long as the head has work.
  const std::size_t leaving = GENERATE(0U, 1U);
  ServingGroupRig rig;
  rig.Register(MembershipState::Open, leaving);
  CHECK(rig.Advance(8s) == 0);
  CHECK(rig.closes > 0);
  CHECK(rig.Advance(1s) > 0);
}

TEST_CASE("A group with a leaving member that has finished leaves at once", "[groups]")
{
  // Guards against sound members that stay idle until the longest request would have
  // ended.
  ServingGroupRig rig;
  rig.Register(MembershipState::Open, 1);
  CHECK(rig.Advance(1s) == 0);
  rig.Register(MembershipState::Ready, 1);
  CHECK(rig.Advance(kTick) > 0);
}

TEST_CASE("Requests of a group that loses a member are moved where that is possible",
          "[groups]")
{
  // Guards against engines that wait for streams which could go on elsewhere, and against
  // streams that are cut as they can't, or as no other group of the model serves.
  const bool canMove = GENERATE(true, false);
  const bool hasOtherGroup = GENERATE(true, false);
  ServingGroupRig rig;
  rig.inputs.canMoveRequests = canMove;
  if (hasOtherGroup) {
    rig.AddGroup();
  }
  rig.Register(MembershipState::Open, 1);
  CHECK(rig.Advance(GroupLifecycle::kMoveDelay - kTick) == 0);
  const auto leaves = rig.Advance(8s - GroupLifecycle::kMoveDelay);
  CHECK((leaves > 0) == (canMove && hasOtherGroup));
}

TEST_CASE("A group that was closing when its zone was evacuated finishes its requests",
          "[groups]")
{
  // Guards against streams that an order to leave cuts right after the zone is taken
  // back: the head has not got the order to close, so it accepts requests again.
  ServingGroupRig rig;
  rig.Unregister(0);
  rig.Advance(kTick);
  REQUIRE(rig.closes > 0);
  rig.Evacuate(true);
  rig.Register(MembershipState::Open);
  rig.closes = 0;
  CHECK(rig.Advance(20s) == 0);
  CHECK(rig.closes == 0);
  rig.Evacuate(false);
  CHECK(rig.Advance(8s) == 0);
  CHECK(rig.closes > 0);
  CHECK(rig.Advance(1s) > 0);
}

TEST_CASE("A group that formed when its zone was evacuated opens after it", "[groups]")
{
  // Guards against members that are ready and have to leave when the zone is taken back,
  // because the time of the evacuation counts as time of the formation.
  ServingGroupRig rig;
  rig.FormSecondGroup();
  rig.Evacuate(true);
  rig.Advance(60s);
  rig.RegisterSecondGroup();
  rig.Evacuate(false);
  CHECK(rig.Advance(1s) == 0);
  CHECK(rig.opens > 0);
}

TEST_CASE("The members of a group whose head has not left are not given to another group",
          "[groups]")
{
  // Guards against a group that the lease holder alone does not reach: its head serves
  // all the while, and its members join other groups as soon as they answer again.
  ServingGroupRig rig;
  rig.Reach(false);
  rig.Advance(8s);
  std::size_t freeMembers = 0;
  for (const auto end = rig.now + 10s; rig.now < end;) {
    rig.Advance(kTick);
    rig.Reach(true);
    freeMembers += rig.CountFreeMembers();
    rig.Reach(false);
  }
  CHECK(freeMembers == 0);
  rig.Reach(true);
  CHECK(rig.Advance(GroupLifecycle::kRegistrationLag + 2 * kTick) > 0);
  rig.ReplyTo(OrderKind::Leave, 0);
  CHECK(rig.CountFreeMembers() == 2);
}

TEST_CASE("A new leader opens a group once its members reject orders of the former one",
          "[groups]")
{
  // Guards against an order of the former leader to join another group that a member
  // carries out late, when the head serves, and against a group that is never opened.
  ServingGroupRig rig;
  rig.Register(MembershipState::Ready);
  rig.lifecycle.StartTerm(2);
  rig.Advance(2s);
  CHECK(rig.opens == 0);
  CHECK(rig.joins > 0);
  rig.ReplyTo(OrderKind::Join, 1);
  rig.Advance(kTick);
  CHECK(rig.opens == 1);
}

TEST_CASE("An order to join is not repeated while the former group of the engine serves",
          "[groups]")
{
  // Guards against a repeated order that takes engines from a head which has begun to
  // serve since the first one, and against engines that never join after it.
  const auto state = GENERATE(MembershipState::Open, MembershipState::Closing);
  ServingGroupRig rig;
  rig.FormSecondGroup();
  rig.Advance(kTick);
  rig.RegisterFormerGroup(state);
  rig.joins = 0;
  rig.Advance(2s);
  CHECK(rig.joins == 0);
  rig.RegisterFormerGroup(MembershipState::Broken);
  rig.Advance(2s);
  CHECK(rig.joins > 0);
}
