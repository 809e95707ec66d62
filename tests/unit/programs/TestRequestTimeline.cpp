#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "RequestTimeline.h"
#include "random/Random.h"

using namespace toucanstand;

namespace {

std::string MakeLogLine(std::int64_t aMs,
                        const std::string& aVm,
                        const std::string& aEvent,
                        const std::string& aFields)
{
  return "  12.5 " + aVm + " {\"unix_ms\":" + std::to_string(aMs) + ",\"vm\":\"" + aVm +
         "\",\"event\":\"" + aEvent + "\"," + aFields + "}";
}

/// Log lines of two VMs about a request whose first group loses a member.
std::vector<std::string> LostMemberLogLines()
{
  return {
    MakeLogLine(1000,
                "vm-2",
                "engine_order",
                R"("kind":"join","server":"e-2","group":"m-1","reply":"begun")"),
    MakeLogLine(5200,
                "vm-1",
                "attempt_end",
                R"("request":"r-1","group":"m-1","server":"e-1","predicted_ms":180,)"
                R"("reading":0,"writing":3,"events":0,"end":"silent_connection")"),
    MakeLogLine(5100, "vm-2", "member_examined", R"("server":"e-2","answers":false)"),
    MakeLogLine(5300,
                "vm-2",
                "engine_order",
                R"("kind":"leave","server":"e-1","group":"m-1","reply":"done")"),
    MakeLogLine(6000,
                "vm-1",
                "attempt_end",
                R"("request":"r-1","group":"m-7","server":"e-9","predicted_ms":190,)"
                R"("reading":1,"writing":2,"events":27,"end":"answered")"),
    MakeLogLine(
      6001,
      "vm-1",
      "request_end",
      R"("request":"r-1","route":"chat","configuration":7,"outcome":"answered",)"
      R"("status":200,"reason":"","attempts":2,"first_ms":1400,"took_ms":2000)"),
  };
}

RequestTimeline TimelineOf(const std::vector<std::string>& aLines, const std::string& aId)
{
  RequestTimeline timeline(aId);
  std::ranges::for_each(aLines,
                        [&timeline](const auto& aLine) { timeline.AddLine(aLine); });
  return timeline;
}

} // namespace

TEST_CASE("A request timeline is in time order whatever the order of the log lines",
          "[explain]")
{
  auto lines = LostMemberLogLines();
  Random random(4);
  for (int round = 0; round < 20; ++round) {
    std::ranges::shuffle(lines, random.Engine());
    const auto timeline = TimelineOf(lines, "r-1");
    const auto entries = timeline.Entries();
    REQUIRE(entries.size() == 4);
    CHECK(std::ranges::is_sorted(
      entries, {}, [](const auto& aEntry) { return aEntry.line.unixMs; }));
    CHECK(entries.front().text.find("silent_connection") != std::string::npos);
    CHECK(entries.back().text.find("status 200 after 2000 ms") != std::string::npos);
    CHECK(timeline.ExplainOutcome() ==
          "group m-1 failed it (silent_connection), a member of that group was lost");
  }
}

TEST_CASE("The timeline of a refused request contains the latest group plan before it",
          "[explain]")
{
  const auto timeline = TimelineOf(
    { MakeLogLine(900, "vm-3", "group_plan", R"("plan":"m: 3 of at most 8")"),
      MakeLogLine(990, "vm-3", "group_plan", R"("plan":"m: 2 of at most 8")"),
      MakeLogLine(1010,
                  "vm-1",
                  "placement_refused",
                  R"("request":"r-2","reason":"overloaded","groups":2,"soonest_ms":700,)"
                  R"("limit_ms":425,"prompt_tokens":1400,"retry_after_ms":275)"),
      MakeLogLine(5000, "vm-3", "group_plan", R"("plan":"m: 8 of at most 8")") },
    "r-2");
  const auto entries = timeline.Entries();
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].text == "groups at that time: m: 2 of at most 8");
  CHECK(timeline.ExplainOutcome() ==
        "the groups of its model could not serve it in the time wanted");
}

TEST_CASE("The timeline of a request that yielded names the priority it yielded to",
          "[explain]")
{
  // Guards against a refusal by a limit that the operator finds in no route.
  const auto timeline =
    TimelineOf({ MakeLogLine(1010,
                             "vm-1",
                             "placement_refused",
                             R"("request":"r-2","reason":"overloaded","priority":2,)"
                             R"("yields_to":1,"groups":2,"soonest_ms":400,)"
                             R"("limit_ms":297,"retry_after_ms":103)") },
               "r-2");
  REQUIRE(timeline.Entries().size() == 1);
  CHECK(timeline.Entries()[0].text.find(
          "the limit was 297 ms (of priority 2, yielding to priority 1)") !=
        std::string::npos);
  CHECK(timeline.ExplainOutcome() ==
        "it yielded to requests of priority 1 for its model");
}

TEST_CASE("The timeline of a request says which servers were not sent it", "[explain]")
{
  // Guards against a refusal whose cause, the answer of a server to another request,
  // can't be found by the request's id.
  const auto timeline = TimelineOf(
    { MakeLogLine(900, "vm-1", "server_wait_stated", R"("server":"s-1","wait_ms":3000)"),
      MakeLogLine(950,
                  "vm-1",
                  "attempt_end",
                  R"("request":"r-4","server":"s-1","end":"refused_as_not_run")"),
      MakeLogLine(1010,
                  "vm-1",
                  "route_refused",
                  R"("request":"r-3","pool":"stock","reason":"all-excluded","leaving":1,)"
                  R"("spared":"s-1:retry_after","retry_after_ms":2890)") },
    "r-3");
  REQUIRE(timeline.Entries().size() == 1);
  CHECK(
    timeline.Entries()[0].text ==
    "no server of stock could be chosen (all-excluded): 1 leave, retry advised in 2890 "
    "ms or slightly later, no requests then to s-1:retry_after");
  CHECK(timeline.ExplainOutcome() ==
        "no server of stock could be sent it, no requests then to s-1:retry_after");
}

TEST_CASE("Truncated and damaged lines are counted and add no entries", "[explain]")
{
  // Guards against entries built from a partial line when a log collector truncates
  // lines.
  const auto completeLine = LostMemberLogLines().back();
  RequestTimeline timeline("r-1");
  std::size_t damagedLines = 0;
  for (std::size_t length = completeLine.find('{') + 1; length < completeLine.size();
       ++length) {
    timeline.AddLine(completeLine.substr(0, length));
    ++damagedLines;
  }
  timeline.AddLine("listening on 127.0.0.1");
  timeline.AddLine("");
  CHECK(timeline.DamagedLines() == damagedLines);
  CHECK(timeline.IsEmpty());
  timeline.AddLine(std::string(1U << 20U, '{'));
  CHECK(timeline.DamagedLines() == damagedLines + 1);
}

TEST_CASE("A forged request id adds no entry to the timeline of another request",
          "[explain]")
{
  // Guards against a caller that sends a request id containing a log line or the id of
  // another caller's request.
  const auto timelineOfForgedIds = TimelineOf(
    { MakeLogLine(1,
                  "vm-1",
                  "request_end",
                  R"("request":"r-1\",\"status\":200,\"x\":\"","status":503)"),
      MakeLogLine(2, "vm-1", "request_end", R"("request":"r-1 ","status":503)"),
      MakeLogLine(
        3, "vm-1", "request_end", R"("account":"r-1","request":"r-2","status":503)") },
    "r-1");
  CHECK(timelineOfForgedIds.IsEmpty());
}

TEST_CASE("Text from a log line is printable and limited in length", "[explain]")
{
  // Guards against control characters and megabytes of text on an operator's terminal.
  const auto timeline = TimelineOf(
    { MakeLogLine(1,
                  "vm-1",
                  "request_rejected",
                  R"("request":"r-1","status":400,"reason":"\u001b[2J\u0007 bad")") },
    "r-1");
  CHECK(timeline.Entries().front().text ==
        "rejected with status 400, not run: ?[2J? bad");
  CHECK(Printable(std::string(5000, 'x')).size() < 200);
}
