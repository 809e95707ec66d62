#include <string>

#include <catch2/catch.hpp>

#include "joins/IdenticalRequests.h"

using namespace toucanstand;

namespace {

JoinDecision Arrive(IdenticalRequests& aJoins,
                    const std::string& aRequest,
                    const std::string& aAccount = "a",
                    AnswerForm aForm = AnswerForm::Streamed,
                    Repeatability aRepeatability = Repeatability::Idempotent)
{
  return aJoins.OnArrival(
    RequestId(aRequest), AccountId(aAccount), 7, aRepeatability, aForm);
}

} // namespace

TEST_CASE("A caller that joins a stream gets it from the beginning", "[joins]")
{
  // Guards against a joined caller missing the tokens before it arrived (R3), and against
  // answers crossing accounts.
  IdenticalRequests joins;
  CHECK_FALSE(Arrive(joins, "r1").run);
  joins.OnEvent(RequestId("r1"), "one");
  joins.OnEvent(RequestId("r1"), "two");
  const auto joined = Arrive(joins, "r2");
  REQUIRE(joined.run == RequestId("r1"));
  CHECK(joined.backlog == std::vector<std::string>{ "one", "two" });
  CHECK(joins.CallersOf(RequestId("r1")).size() == 2);

  CHECK_FALSE(Arrive(joins, "r3", "b").run);
  CHECK_FALSE(Arrive(joins, "r4", "a", AnswerForm::Whole).run);
  CHECK_FALSE(
    Arrive(joins, "r5", "a", AnswerForm::Streamed, Repeatability::OnlyOnce).run);
}

TEST_CASE("A run is cancelled when its last caller leaves", "[joins]")
{
  // Guards against cancelling an answer that another caller waits for, and against
  // running on for nobody (R9).
  IdenticalRequests joins;
  static_cast<void>(Arrive(joins, "r1"));
  static_cast<void>(Arrive(joins, "r2"));
  CHECK_FALSE(joins.OnCallerLeft(RequestId("r1")));
  CHECK(joins.OnCallerLeft(RequestId("r2")));
  CHECK(joins.Runs() == 0);
  CHECK_FALSE(Arrive(joins, "r3").run);
}

TEST_CASE("A stream that is too long to hold can't be joined", "[joins]")
{
  // Guards against unbounded memory and against joining with a cut backlog.
  IdenticalRequests joins;
  static_cast<void>(Arrive(joins, "r1"));
  const std::string event(IdenticalRequests::kMaximumRunBytes / 2 + 1, 'x');
  joins.OnEvent(RequestId("r1"), event);
  joins.OnEvent(RequestId("r1"), event);
  CHECK_FALSE(Arrive(joins, "r2").run);
  CHECK(Arrive(joins, "r3").run == RequestId("r2"));
  CHECK(joins.OnRunEnded(RequestId("r1")) == std::vector{ RequestId("r1") });
  CHECK(joins.OnRunEnded(RequestId("r2")).size() == 2);
}
