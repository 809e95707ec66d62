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

TEST_CASE("A VM that knows no other is its own relay", "[peers]")
{
  // Guards against a single VM that waits for a relay instead of reading the store.
  PeerDirectory alone("vm-1.1", { EndpointOf(1), 1.0 });
  CHECK(alone.IsRelay());
  CHECK(alone.Relays().empty());
  alone.Put("vm-1.1", { EndpointOf(1), 1.0 }, 1);
  CHECK(alone.Peers().empty());
}

TEST_CASE("All VMs agree on the relays and share them evenly", "[peers]")
{
  // Guards against two VMs that each wait for the other, and against one relay that
  // answers most of the fleet.
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

TEST_CASE("Relays that go are replaced, and the others stay", "[peers]")
{
  // Guards against a fleet that keeps asking a VM that has gone.
  auto directory = MakeDirectory(0, 30);
  const auto before = directory.Relays();
  REQUIRE(!before.empty());
  const int removed = before.front().port - 1000;
  directory.Remove(RunIdOf(removed));
  const auto& after = directory.Relays();
  CHECK(std::ranges::find(after, before.front()) == after.end());
  const auto kept = std::ranges::count_if(after, [&before](const Endpoint& aRelay) {
    return std::ranges::find(before, aRelay) != before.end();
  });
  CHECK(kept == static_cast<long>(before.size()) - 1);
}

TEST_CASE("The largest VMs are the relays", "[peers]")
{
  // Guards against a VM with an eighth of a core that answers most of the fleet.
  auto directory = MakeDirectory(0, 30);
  directory.Put("large-1.1", { EndpointOf(101), 0.5 }, 101);
  directory.Put("large-2.1", { EndpointOf(102), 0.5 }, 102);
  CHECK_FALSE(directory.IsRelay());
  const auto& relays = directory.Relays();
  CHECK(std::set<Endpoint>(relays.begin(), relays.end()) ==
        std::set<Endpoint>{ EndpointOf(101), EndpointOf(102) });
}

TEST_CASE("A VM whose process was killed and came back counts once", "[peers]")
{
  // Guards against a fleet that takes half of its relays from processes that are gone:
  // the registration of a killed process lasts until its lease ends.
  auto directory = MakeDirectory(0, 3);
  directory.Put("vm-1.2", { EndpointOf(1), 0.25 }, 10);
  CHECK(directory.Peers().size() == 2);
  CHECK(directory.Peers().contains("vm-1.2"));
  // Pages of a whole reading come in the order of the keys.
  directory.Put(RunIdOf(1), { EndpointOf(1), 0.25 }, 2);
  CHECK(directory.Peers().contains("vm-1.2"));
  directory.Put("vm-0.0", { EndpointOf(0), 0.25 }, 1);
  CHECK(directory.Peers().size() == 2);
  directory.Remove(RunIdOf(1));
  CHECK(directory.Peers().size() == 2);
}

TEST_CASE("A presence is read as it was written, and nothing else is", "[peers]")
{
  // Guards against a key of another version that ends the process or names no address.
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
