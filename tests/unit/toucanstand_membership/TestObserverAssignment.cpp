#include <catch2/catch.hpp>

#include "observers/ObserverAssignment.h"

using namespace toucanstand;

TEST_CASE("The failure of an observer changes only the observers of its own targets",
          "[observers]")
{
  // Guards against an assignment in which each failure changes the observers of most
  // targets.
  std::vector<VmId> alive;
  alive.reserve(9);
  for (int number = 0; number < 9; ++number) {
    alive.emplace_back("vm-" + std::to_string(number));
  }
  const ObserverAssignment before(alive);
  const auto lost = alive.back();
  alive.pop_back();
  const ObserverAssignment after(alive);
  for (int number = 0; number < 200; ++number) {
    const auto target = "group-" + std::to_string(number);
    const auto observers = before.ObserversOf(target);
    REQUIRE(observers.size() == kObserversPerTarget);
    CHECK(observers[0] != observers[1]);
    if (!before.Observes(lost, target)) {
      CHECK(after.ObserversOf(target) == observers);
    }
  }
  CHECK(ObserverAssignment({ VmId("only") }).ObserversOf("group").size() == 1);
}
