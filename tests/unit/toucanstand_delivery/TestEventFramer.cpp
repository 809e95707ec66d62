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
  framer.BeginAttempt();
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
  framer.BeginAttempt();
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

namespace {

EventFailure FailureAfter(const std::string& aReceived, const std::string& aResumed)
{
  EventFramer framer;
  REQUIRE(framer.Feed(aReceived).HasValue());
  const auto lastEventId = framer.LastEventId();
  const auto eventCount = framer.EventCount();
  framer.BeginAttempt();
  const auto events = framer.Feed(aResumed);
  REQUIRE(!events.HasValue());
  CHECK(framer.LastEventId() == lastEventId);
  CHECK(framer.EventCount() == eventCount);
  return events.LastReason();
}

const std::string kThreeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

TEST_CASE("Events of a rejected piece do not count as received", "[events]")
{
  // Guards against a gap in the caller's answer: events that were received together with
  // a wrong one were not forwarded, and the answer was resumed after them.
  EventFramer framer;
  REQUIRE(framer.Feed(kThreeEvents).HasValue());
  framer.BeginAttempt();
  REQUIRE(
    !framer.Feed("id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 5\ndata: e\n\n").HasValue());
  CHECK(framer.LastEventId() == "3");
  CHECK(framer.EventCount() == 3);
  framer.BeginAttempt();
  CHECK(*framer.Feed("id: 4\ndata: d\n\n") == "id: 4\ndata: d\n\n");

  EventFramer large;
  const std::string unfinished(EventFramer::kMaxEventBytes + 1, 'x');
  REQUIRE(!large.Feed("id: 1\ndata: a\n\n" + unfinished).HasValue());
  CHECK(!large.LastEventId().has_value());
}

TEST_CASE("What is no continuation of numbered events is rejected", "[events]")
{
  // Guards against an error text, another response's head or wrong events in the middle
  // of the caller's answer.
  using enum EventFailure;
  const std::vector<std::pair<std::string, EventFailure>> wrong = {
    { "{\"error\":1}\n\n", NotAnEvent },
    { "internal error\n\n", NotAnEvent },
    { "HTTP/1.1 500 Internal Server Error\r\n\r\n", NotAnEvent },
    { "id: 4\ndata: pieHTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\n", NotAnEvent },
    { "id: 4\nid: 5\ndata: d\n\n", NotAnEvent },
    { " id: 4\ndata: d\n\n", NotAnEvent },
    { "data: d\n\n", WithoutId },
    { "event: error\ndata: d\n\n", WithoutId },
    { "id:\ndata: d\n\n", WithoutId },
    { "id: 1\ndata: d\n\n", OutOfOrder },
    { "id: 3\ndata: d\n\n", OutOfOrder },
    { "id: -4\ndata: d\n\n", OutOfOrder },
    { "id: 4x\ndata: d\n\n", OutOfOrder },
    { "id: 4.0\ndata: d\n\n", OutOfOrder },
    { "id: 18446744073709551616\ndata: d\n\n", OutOfOrder },
    { "id: 18446744073709551615\ndata: d\n\n", Gap },
    { "id: 5\ndata: d\n\n", Gap },
    { "id: 4\ndata: d\n\nid: 6\ndata: d\n\n", Gap },
    { "data: [DONE]\ndata: d\n\n", WithoutId },
  };
  for (const auto& [bytes, failure] : wrong) {
    INFO(bytes);
    CHECK(FailureAfter(kThreeEvents, bytes) == failure);
  }
  EventFramer resumed("7");
  CHECK(resumed.Feed("id: 9\ndata: a\n\n").LastReason() == Gap);
  EventFramer named("a");
  REQUIRE(named.Feed("id: b\ndata: b\n\n").HasValue());
  CHECK(named.Feed("id: b\ndata: b\n\n").LastReason() == OutOfOrder);
}

TEST_CASE("Ids that were never consecutive only have to rise", "[events]")
{
  // Guards against rejecting a server that numbers its events in another way.
  EventFramer framer;
  CHECK(framer.Feed("id: 5\ndata: a\n\nid: 10\ndata: b\n\n").HasValue());
  framer.BeginAttempt();
  CHECK(framer.Feed("id: 12\ndata: c\n\n").HasValue());
  EventFramer fromZero;
  CHECK(fromZero.Feed("id: 0\ndata: a\n\nid: 1\ndata: b\n\n").HasValue());
  CHECK(!fromZero.Feed("id: 3\ndata: c\n\n").HasValue());
}

TEST_CASE("Comments and the mark of the end need no id", "[events]")
{
  // Guards against answers that are broken off at the mark of their end or at a comment,
  // and against a comment of a server that is to resume the answer.
  EventFramer framer;
  CHECK(framer.Feed(": a\n\nretry: 5\n\n")->empty());
  CHECK(*framer.Feed(": a\n\n" + kThreeEvents + ": b\n\n") == kThreeEvents + ": b\n\n");
  framer.BeginAttempt();
  CHECK(framer.Feed(": engine failed\n\n")->empty());
  CHECK(*framer.Feed("id: 4\ndata: d\n\n: c\n\n") == "id: 4\ndata: d\n\n: c\n\n");
  CHECK(!framer.HasEndMark());
  CHECK(*framer.Feed("data: [DONE]\n\n") == "data: [DONE]\n\n");
  CHECK(framer.HasEndMark());
  CHECK(framer.EventCount() == 4);
  framer.BeginAttempt();
  CHECK(!framer.HasEndMark());
  CHECK(!framer.HasEventsWithoutId());
}

TEST_CASE("Events without ids are passed on where the answer need not be resumed",
          "[events]")
{
  // Guards against an answer that is resumed, although no server can tell where.
  EventFramer framer;
  CHECK(*framer.Feed("data: a\n\n") == "data: a\n\n");
  CHECK(framer.HasEventsWithoutId());
  CHECK(framer.EventCount() == 0);
  EventFramer resumable({}, EventIds::Required);
  CHECK(resumable.Feed("data: a\n\n").LastReason() == EventFailure::WithoutId);
}
