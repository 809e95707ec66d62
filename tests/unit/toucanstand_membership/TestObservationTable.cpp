#include <catch2/catch.hpp>

#include "observers/ObservationTable.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1h };

Observation ObservationAt(TimePoint aAt)
{
  Observation observation;
  observation.server = ServerId("engine");
  observation.reachable = true;
  observation.group = GroupId("group");
  observation.generation = 2;
  observation.observedAt = aAt;
  return observation;
}

} // namespace

TEST_CASE("An unanswered poll does not override a recent observation of another observer",
          "[observers]")
{
  // Guards against a group that loses its permission to serve because one of its
  // observers can't reach it.
  ObservationTable table;
  const ServerId server("engine");
  CHECK(table.RecordReceived(ObservationAt(kStart)));
  CHECK_FALSE(table.RecordPollFailure(server, PollFailure::NoAnswer, kStart + 1s));
  CHECK(table.All().at(server).reachable);
  CHECK(table.RecordPollFailure(server, PollFailure::NoAnswer, kStart + 2s));
  CHECK_FALSE(table.All().at(server).reachable);
  CHECK(table.RecordReceived(ObservationAt(kStart + 3s)));
  CHECK(table.RecordPollFailure(server, PollFailure::Refused, kStart + 4s));
  // A late observation does not replace a newer one.
  CHECK_FALSE(table.RecordReceived(ObservationAt(kStart + 3500ms)));
  CHECK_FALSE(table.All().at(server).reachable);
}

TEST_CASE("The second observer sends only states that the first one has not sent",
          "[observers]")
{
  ObservationTable table;
  table.RecordReceived(ObservationAt(kStart));
  table.RecordOwn(ObservationAt(kStart + 200ms), kStart + 200ms);
  CHECK(table.TakeUnsent().empty());
  auto changed = ObservationAt(kStart + 300ms);
  changed.leaving = true;
  table.RecordOwn(changed, kStart + 300ms);
  CHECK(table.TakeUnsent().size() == 1);
  CHECK(table.TakeUnsent().empty());
  // It sends again when it receives no more observations of the first one.
  table.RecordReceived(ObservationAt(kStart + 400ms));
  table.RecordOwn(ObservationAt(kStart + 1200ms), kStart + 1200ms);
  CHECK(table.TakeUnsent().size() == 1);
}

TEST_CASE("Two observers that receive each other's observations do not both stop sending",
          "[observers]")
{
  // Guards against a group that loses its permission to serve on all other nodes: when
  // two observations cross on the network, each appears newer to its receiver by the
  // network delay. Later polls by the receiver must not count as observations of the
  // other one.
  ObservationTable table;
  table.RecordOwn(ObservationAt(kStart), kStart);
  CHECK(table.TakeUnsent().size() == 1);
  table.RecordReceived(ObservationAt(kStart + 2ms));
  std::size_t sent = 0;
  for (auto now = kStart + 500ms; now <= kStart + 1500ms; now += 500ms) {
    table.RecordOwn(ObservationAt(now), now);
    sent += table.TakeUnsent().size();
  }
  CHECK(sent >= 1);
}
