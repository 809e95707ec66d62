#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "peers/PeerDirectory.h"

using namespace toucanstand;

namespace {

std::string RunIdOf(int aNumber)
{
  return "vm-" + std::to_string(aNumber) + ".1";
}

Endpoint EndpointOf(int aNumber)
{
  return { "10.0.0.1", static_cast<std::uint16_t>(1000 + aNumber) };
}

PeerDirectory MakeDirectory(int aOwn, int aVms)
{
  PeerDirectory directory(RunIdOf(aOwn), { EndpointOf(aOwn), 0.25 });
  for (int number = 0; number < aVms; ++number) {
    directory.Put(RunIdOf(number), { EndpointOf(number), 0.25 }, number + 1);
  }
  return directory;
}

} // namespace

TEST_CASE("A VM without known peers is a relay", "[peers]")
{
  // Guards against a single VM that waits for a relay and never reads the store.
  PeerDirectory alone("vm-1.1", { EndpointOf(1), 1.0 });
  CHECK(alone.IsRelay());
  CHECK(alone.Relays().empty());
  alone.Put("vm-1.1", { EndpointOf(1), 1.0 }, 1);
  CHECK(alone.Peers().empty());
}

TEST_CASE("All VMs compute the same relays and distribute their queries over them",
          "[peers]")
{
  // Guards against two VMs that each regard the other as a relay and wait for it, and
  // against one relay that gets most of the queries.
  constexpr int kVms = 87;
  std::set<int> relays;
  std::map<Endpoint, int> firstChoices;
  for (int own = 0; own < kVms; ++own) {
    auto directory = MakeDirectory(own, kVms);
    if (directory.IsRelay()) {
      relays.insert(own);
    } else {
      ++firstChoices[directory.Relays().front()];
    }
  }
  CHECK(relays.size() == 4);
  CHECK(firstChoices.size() == 4);
  for (const auto& [endpoint, count] : firstChoices) {
    CHECK(relays.contains(endpoint.port - 1000));
    CHECK(count < 2 * static_cast<int>(PeerDirectory::kVmsPerRelay));
  }
}

TEST_CASE("A removed relay is replaced and the other relays are kept", "[peers]")
{
  // Guards against VMs that keep sending queries to a VM that was removed.
  auto directory = MakeDirectory(0, 30);
  const auto before = directory.Relays();
  REQUIRE(!before.empty());
  const int removed = before.front().port - 1000;
  directory.Remove(RunIdOf(removed), TimePoint{});
  const auto& after = directory.Relays();
  CHECK(std::ranges::find(after, before.front()) == after.end());
  const auto kept = std::ranges::count_if(after, [&before](const Endpoint& aRelay) {
    return std::ranges::find(before, aRelay) != before.end();
  });
  CHECK(kept == static_cast<long>(before.size()) - 1);
}

TEST_CASE("The VMs with the largest CPU shares are the relays", "[peers]")
{
  // Guards against a VM with 1/8 of a core that answers most of the queries.
  auto directory = MakeDirectory(0, 30);
  directory.Put("large-1.1", { EndpointOf(101), 0.5 }, 101);
  directory.Put("large-2.1", { EndpointOf(102), 0.5 }, 102);
  CHECK_FALSE(directory.IsRelay());
  const auto& relays = directory.Relays();
  CHECK(std::set<Endpoint>(relays.begin(), relays.end()) ==
        std::set<Endpoint>{ EndpointOf(101), EndpointOf(102) });
}

TEST_CASE("A VM whose process was killed and restarted is counted once", "[peers]")
{
  // Guards against choosing half of the relays from killed processes: the registration of
  // a killed process remains in the store until its lease expires.
  auto directory = MakeDirectory(0, 3);
  directory.Put("vm-1.2", { EndpointOf(1), 0.25 }, 10);
  CHECK(directory.Peers().size() == 2);
  CHECK(directory.Peers().contains("vm-1.2"));
  // A full read of the store returns registrations in the order of their keys, so the one
  // of the killed process may come after the current one.
  directory.Put(RunIdOf(1), { EndpointOf(1), 0.25 }, 2);
  CHECK(directory.Peers().contains("vm-1.2"));
  directory.Put("vm-0.0", { EndpointOf(0), 0.25 }, 1);
  CHECK(directory.Peers().size() == 2);
  directory.Remove(RunIdOf(1), TimePoint{});
  CHECK(directory.Peers().size() == 2);
}

TEST_CASE("A formatted presence can be parsed, and malformed text is rejected", "[peers]")
{
  // Guards against a value written by another version that crashes the process or is read
  // as a peer without a valid address.
  const Presence presence{ EndpointOf(1), 0.125 };
  const auto read = Presence::Parse(presence.Text());
  REQUIRE(read.has_value());
  CHECK(read->endpoint == presence.endpoint);
  CHECK(read->cpuShare == 0.125);
  for (const char* text : { "",
                            "10.0.0.1:7",
                            "10.0.0.1:7 ",
                            "10.0.0.1:7 x",
                            "x 0.5",
                            "10.0.0.1:7 -1",
                            "10.0.0.1:7 0.5 1",
                            "10.0.0.1:7 inf" }) {
    INFO(text);
    CHECK_FALSE(Presence::Parse(text).has_value());
  }
}

TEST_CASE("VMs whose registrations the store lost are missed only after a grace period",
          "[peers]")
{
  // Guards against every VM claiming all of the limits that the VMs divide among them.
  constexpr TimePoint kStart{ std::chrono::hours(1) };
  auto directory = MakeDirectory(0, 3);
  directory.OnStoreBack(kStart);
  directory.Remove(RunIdOf(1), kStart);
  directory.Remove(RunIdOf(2), kStart);
  CHECK(directory.Peers().size() == 2);
  directory.Put(RunIdOf(1), { EndpointOf(1), 0.25 }, 1);
  directory.OnTime(kStart + PeerDirectory::kReturnGrace);
  CHECK(directory.Peers().size() == 1);
  CHECK(directory.Peers().contains(RunIdOf(1)));
}

TEST_CASE("A registration that no VM can have is malformed", "[peers]")
{
  // Guards against datagrams to this machine or to nowhere, and against a VM that counts
  // as larger than all others together.
  for (const auto* text : { "",
                            "10.0.0.1:80",
                            "10.0.0.1:0 1.0",
                            "0.0.0.0:80 1.0",
                            "10.0.0.1:65536 1.0",
                            "10.0.0.1:80 0",
                            "10.0.0.1:80 -1",
                            "10.0.0.1:80 nan",
                            "10.0.0.1:80 inf",
                            "10.0.0.1:80 1e400",
                            "10.0.0.1:80 1e300",
                            "10.0.0.1:80 1.0 " }) {
    INFO(text);
    CHECK(!Presence::Parse(text).has_value());
  }
  CHECK(Presence::Parse("10.0.0.1:80 0.250").has_value());
}
