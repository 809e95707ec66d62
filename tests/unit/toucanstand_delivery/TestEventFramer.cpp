#include <catch2/catch.hpp>

#include "answers/EventFramer.h"

using namespace toucanstand;

TEST_CASE("Only complete events are returned for any chunk size", "[events]")
{
  // Guards against forwarding part of an event, which a resumed answer would then repeat
  // or complete with wrong bytes.
  const std::string stream =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    EventFramer framer;
    std::string out;
    for (std::size_t start = 0; start < stream.size(); start += step) {
      const auto events = framer.Feed(std::string_view(stream).substr(start, step));
      REQUIRE(events.HasValue());
      out += *events;
    }
    CHECK(out == stream);
    CHECK(framer.EventCount() == 3);
    CHECK(framer.LastEventId() == "3");
    CHECK(!framer.HasPartialEvent());
  }
}

TEST_CASE("An incomplete event is dropped before the answer is resumed", "[events]")
{
  EventFramer framer;
  CHECK(*framer.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(framer.HasPartialEvent());
  framer.DropPartialEvent();
  CHECK(!framer.HasPartialEvent());
  CHECK(*framer.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(framer.LastEventId() == "2");
}

TEST_CASE("Repeated events are an error", "[events]")
{
  // Guards against duplicate events from a server that ignores the last event id and
  // starts over.
  EventFramer framer;
  REQUIRE(framer.Feed("id: 5\ndata: a\n\n").HasValue());
  framer.DropPartialEvent();
  const auto again = framer.Feed("id: 5\ndata: a\n\n");
  REQUIRE(!again.HasValue());
  CHECK(again.LastReason() == EventFailure::OutOfOrder);

  EventFramer resumed("7");
  CHECK(!resumed.Feed("id: 7\ndata: a\n\n").HasValue());
}

TEST_CASE("An event that exceeds the size limit is an error", "[events]")
{
  EventFramer framer;
  const auto large = framer.Feed(std::string(EventFramer::kMaxEventBytes + 1, 'x'));
  REQUIRE(!large.HasValue());
  CHECK(large.LastReason() == EventFailure::TooLarge);
}
