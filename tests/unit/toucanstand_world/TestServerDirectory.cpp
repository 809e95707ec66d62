#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "serving/ServerDirectory.h"

using namespace toucanstand;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ServerEntry Entry(const char* aId)
{
  ServerEntry entry;
  entry.id = ServerId(aId);
  entry.pool = PoolId("engines");
  entry.startedAtUnixMs = 1;
  return entry;
}

} // namespace

TEST_CASE("Registrations that lapsed during an outage may come back", "[directory]")
{
  // Guards against every server being dropped because the store was away for longer than
  // registrations last.
  ServerDirectory directory;
  directory.Put(Entry("a"));
  directory.Put(Entry("b"));
  directory.OnStoreBack(kStart);
  directory.Remove(ServerId("a"), kStart);
  directory.Remove(ServerId("b"), kStart);
  CHECK(directory.Find(ServerId("a")) != nullptr);

  // Guards against a return that is not passed on to the VMs that heard of the removal.
  CHECK(directory.Put(Entry("a")));
  directory.OnTime(kStart + ServerDirectory::kReturnGrace);
  CHECK(directory.Find(ServerId("a")) != nullptr);
  CHECK(directory.Find(ServerId("b")) == nullptr);

  directory.Remove(ServerId("a"), kStart + ServerDirectory::kReturnGrace);
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE("A server that leaves stays leaving", "[directory]")
{
  // Guards against new requests to a leaving server whose older registration is written
  // late, and against a grace period for a server that said that it goes.
  ServerDirectory directory;
  auto leaving = Entry("a");
  leaving.leaving = true;
  directory.Put(leaving);
  directory.Put(Entry("a"));
  CHECK(directory.Find(ServerId("a"))->leaving);
  directory.OnStoreBack(kStart);
  directory.Remove(ServerId("a"), kStart);
  CHECK(directory.Find(ServerId("a")) == nullptr);

  directory.Put(leaving);
  auto restarted = Entry("a");
  restarted.startedAtUnixMs = 2;
  directory.Put(restarted);
  CHECK(!directory.Find(ServerId("a"))->leaving);
}

TEST_CASE("A run that said that it leaves is leaving whatever the store says",
          "[directory]")
{
  // Guards against new requests to a server whose registration is older than its answer,
  // or lapses and comes back.
  ServerDirectory directory;
  directory.Put(Entry("a"));
  const auto run = directory.RunOf(ServerId("a"));
  const auto revision = directory.Revision();
  CHECK(directory.MarkLeaving(run));
  CHECK(directory.Revision() > revision);
  CHECK_FALSE(directory.MarkLeaving(run));
  directory.Put(Entry("a"));
  CHECK(directory.Find(ServerId("a"))->leaving);
  directory.Remove(ServerId("a"), kStart);
  directory.OnTime(kStart);
  directory.OnTime(kStart + ServerDirectory::kLeavingRetention);
  directory.Put(Entry("a"));
  CHECK(directory.Find(ServerId("a"))->leaving);

  // It is forgotten when its registration has been missing for long.
  directory.Remove(ServerId("a"), kStart);
  directory.OnTime(kStart);
  directory.OnTime(kStart + ServerDirectory::kLeavingRetention +
                   std::chrono::milliseconds(1));
  directory.Put(Entry("a"));
  CHECK(!directory.Find(ServerId("a"))->leaving);
}

TEST_CASE("That a run leaves says nothing of another run or server", "[directory]")
{
  // Guards against a restarted server that gets no requests because an answer of its
  // former run arrives late.
  ServerDirectory directory;
  directory.Put(Entry("a"));
  directory.Put(Entry("b"));
  const auto former = directory.RunOf(ServerId("a"));
  auto restarted = Entry("a");
  restarted.startedAtUnixMs = 2;
  directory.Put(restarted);
  CHECK_FALSE(directory.MarkLeaving(former));
  CHECK(!directory.Find(ServerId("a"))->leaving);
  CHECK(!directory.Find(ServerId("b"))->leaving);

  CHECK(directory.MarkLeaving(directory.RunOf(ServerId("a"))));
  CHECK_FALSE(directory.MarkLeaving(former));
  directory.Put(restarted);
  CHECK(directory.Find(ServerId("a"))->leaving);
  restarted.startedAtUnixMs = 3;
  directory.Put(restarted);
  CHECK(!directory.Find(ServerId("a"))->leaving);
  CHECK_FALSE(directory.MarkLeaving({ ServerId("unknown"), 0 }));
}

TEST_CASE("A heartbeat that changes nothing changes no revision", "[directory]")
{
  ServerDirectory directory;
  directory.Put(Entry("a"));
  const auto revision = directory.Revision();
  CHECK_FALSE(directory.Put(Entry("a")));
  CHECK(directory.Revision() == revision);
  directory.Remove(ServerId("a"), kStart);
  CHECK(directory.Revision() != revision);
  CHECK(directory.Servers().empty());
}

TEST_CASE("Groups are put together from their members' entries", "[directory]")
{
  ServerDirectory directory;
  for (const auto& [id, rank] : { std::pair("b", 1U), std::pair("a", 2U) }) {
    auto entry = Entry(id);
    entry.membership = { GroupId("m-1"), 1, rank, MembershipState::Ready };
    directory.Put(entry);
  }
  auto groups = directory.GroupsOf(PoolId("engines"));
  REQUIRE(groups.size() == 1);
  CHECK(groups.begin()->second.Head() == nullptr);
  CHECK(groups.begin()->second.members.front()->id == ServerId("b"));
  auto head = Entry("c");
  head.membership = { GroupId("m-1"), 1, 0, MembershipState::Open };
  directory.Put(head);
  groups = directory.GroupsOf(PoolId("engines"));
  CHECK(groups.begin()->second.Head()->id == ServerId("c"));
  CHECK(directory.GroupsOf(PoolId("other")).empty());
}

TEST_CASE("An older entry of a restored store does not replace a newer one",
          "[directory]")
{
  ServerDirectory directory;
  auto older = Entry("a");
  older.sequence.number = 4;
  auto newer = older;
  newer.sequence.number = 9;
  newer.membership = GroupMembership{ GroupId("m-1"), 1, 0, MembershipState::Open };
  directory.Put(newer);

  // Guards against a peer that has only the older entry and never gets the newer one.
  CHECK(directory.Put(older));
  CHECK(directory.Find(ServerId("a"))->membership);
  CHECK(directory.Put(newer));
  CHECK_FALSE(directory.Put(newer));

  auto restarted = older;
  restarted.startedAtUnixMs = 2;
  CHECK(directory.Put(restarted));
  CHECK_FALSE(directory.Find(ServerId("a"))->membership);
}

TEST_CASE("A member without a registration is known while its group has others",
          "[directory]")
{
  // Guards against a process that can't tell a partitioned member from one that left.
  const auto member = [](const char* aId, std::size_t aRank) {
    auto entry = Entry(aId);
    entry.membership = GroupMembership{ GroupId("g"), 7, aRank, MembershipState::Ready };
    return entry;
  };
  const auto unregistered = [](const ServerDirectory& aDirectory) {
    std::vector<std::string> ids;
    for (const auto& [id, group] : aDirectory.GroupsOf(PoolId("engines"))) {
      for (const auto* entry : group.unregisteredMembers) {
        ids.push_back(entry->id.Value());
      }
    }
    return ids;
  };
  ServerDirectory directory;
  directory.Put(member("a", 0));
  directory.Put(member("b", 1));
  auto leaving = member("c", 2);
  leaving.leaving = true;
  directory.Put(leaving);
  directory.Remove(ServerId("b"), kStart);
  directory.Remove(ServerId("c"), kStart);
  directory.OnTime(kStart);
  CHECK(unregistered(directory) == std::vector<std::string>{ "b" });
  CHECK(directory.Find(ServerId("b")) == nullptr);

  directory.Put(member("b", 1));
  CHECK(unregistered(directory).empty());
  directory.Remove(ServerId("b"), kStart);
  directory.Put(Entry("a"));
  directory.OnTime(kStart);
  directory.Put(member("a", 0));
  CHECK(unregistered(directory).empty());
}

TEST_CASE("A cold time is passed on and changes nothing else", "[directory]")
{
  // Guards against destinations that are built anew with each heartbeat of a cold server,
  // and against VMs that do not hear of a server that becomes cold.
  ServerDirectory directory;
  auto entry = Entry("a");
  directory.Put(entry);
  CHECK_FALSE(directory.Put(entry));
  const auto revision = directory.Revision();
  for (const int remaining : { 3000, 1800, 600, 0 }) {
    INFO(remaining);
    entry.coldTime.remaining = std::chrono::milliseconds(remaining);
    CHECK(directory.Put(entry));
  }
  CHECK_FALSE(directory.Put(entry));
  CHECK(directory.Revision() == revision);
}
