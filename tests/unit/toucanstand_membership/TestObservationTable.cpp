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

TEST_CASE("An unanswered poll does not outweigh another observer's fresh report",
          "[observers]")
{
  // Guards against a group that loses permission because one observer is cut off from it.
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

TEST_CASE("The second observer sends only what the first one has not sent", "[observers]")
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
  // It takes over when the first one has gone silent.
  table.RecordReceived(ObservationAt(kStart + 400ms));
  table.RecordOwn(ObservationAt(kStart + 1200ms), kStart + 1200ms);
  CHECK(table.TakeUnsent().size() == 1);
}

TEST_CASE("Two observers that hear each other do not both stay silent", "[observers]")
{
  // Guards against a group that loses permission on all other nodes: two observations
  // that cross on the network each appear newer to their receiver by the time on the
  // way, and the polls that follow must not pass for the other observer's.
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
