#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "peers/PeerDirectory.h"

using namespace toucanstand;

namespace {

std::string RunName(int aNumber)
{
  return "vm-" + std::to_string(aNumber) + ".1";
}

Endpoint EndpointOf(int aNumber)
{
  return { "10.0.0.1", static_cast<std::uint16_t>(1000 + aNumber) };
}

PeerDirectory DirectoryOf(int aOwn, int aVms)
{
  PeerDirectory directory(RunName(aOwn));
  for (int number = 0; number < aVms; ++number) {
    directory.Put(RunName(number), EndpointOf(number));
  }
  return directory;
}

} // namespace

TEST_CASE("A VM that knows no other is its own relay", "[peers]")
{
  // Guards against a single VM that waits for a relay instead of reading the store.
  PeerDirectory alone("vm-1.1");
  CHECK(alone.IsRelay());
  CHECK(alone.Relays().empty());
  alone.Put("vm-1.1", EndpointOf(1));
  CHECK(alone.Others().empty());
}

TEST_CASE("All VMs agree on the relays and share them evenly", "[peers]")
{
  // Guards against two VMs that each wait for the other, and against one relay that
  // answers most of the fleet.
  constexpr int kVms = 87;
  std::set<int> relays;
  std::map<Endpoint, int> firstChoices;
  for (int own = 0; own < kVms; ++own) {
    auto directory = DirectoryOf(own, kVms);
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
  auto directory = DirectoryOf(0, 30);
  const auto before = directory.Relays();
  REQUIRE(!before.empty());
  const int gone = before.front().port - 1000;
  directory.Remove(RunName(gone));
  const auto& after = directory.Relays();
  CHECK(std::ranges::find(after, before.front()) == after.end());
  const auto kept = std::ranges::count_if(after, [&before](const Endpoint& aRelay) {
    return std::ranges::find(before, aRelay) != before.end();
  });
  CHECK(kept == static_cast<long>(before.size()) - 1);
}
