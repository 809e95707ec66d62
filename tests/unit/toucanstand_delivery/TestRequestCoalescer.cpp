#include <string>

#include <catch2/catch.hpp>

#include "joins/RequestCoalescer.h"

using namespace toucanstand;

namespace {

JoinDecision Arrive(RequestCoalescer& aCoalescer,
                    const std::string& aRequest,
                    const std::string& aAccount = "a",
                    AnswerForm aForm = AnswerForm::Streamed,
                    Repeatability aRepeatability = Repeatability::Idempotent)
{
  return aCoalescer.OnArrival(
    RequestId(aRequest), AccountId(aAccount), 7, aRepeatability, aForm);
}

} // namespace

TEST_CASE("A caller that joins a streamed run gets all its events", "[joins]")
{
  // Guards against a joining caller that misses the tokens sent before it arrived, and
  // against sharing an answer between accounts.
  RequestCoalescer coalescer;
  CHECK_FALSE(Arrive(coalescer, "r1").run);
  coalescer.OnEvent(RequestId("r1"), "one");
  coalescer.OnEvent(RequestId("r1"), "two");
  const auto joined = Arrive(coalescer, "r2");
  REQUIRE(joined.run == RequestId("r1"));
  CHECK(joined.backlog == std::vector<std::string>{ "one", "two" });
  CHECK(coalescer.CallersOf(RequestId("r1")).size() == 2);

  CHECK_FALSE(Arrive(coalescer, "r3", "b").run);
  CHECK_FALSE(Arrive(coalescer, "r4", "a", AnswerForm::Whole).run);
  CHECK_FALSE(
    Arrive(coalescer, "r5", "a", AnswerForm::Streamed, Repeatability::OnlyOnce).run);
}

TEST_CASE("A run is cancelled when its last caller leaves", "[joins]")
{
  // Guards against cancelling a run that another caller still waits for, and against
  // wasting engine time on a run without callers.
  RequestCoalescer coalescer;
  static_cast<void>(Arrive(coalescer, "r1"));
  static_cast<void>(Arrive(coalescer, "r2"));
  CHECK_FALSE(coalescer.OnCallerLeft(RequestId("r1")));
  CHECK(coalescer.OnCallerLeft(RequestId("r2")));
  CHECK(coalescer.RunCount() == 0);
  CHECK_FALSE(Arrive(coalescer, "r3").run);
}

TEST_CASE("A stream that exceeds the buffer limit can't be joined", "[joins]")
{
  // Guards against unbounded memory, and against giving a joining caller a truncated
  // backlog.
  RequestCoalescer coalescer;
  static_cast<void>(Arrive(coalescer, "r1"));
  const std::string event(RequestCoalescer::kMaxHeldBytesPerRun / 2 + 1, 'x');
  coalescer.OnEvent(RequestId("r1"), event);
  coalescer.OnEvent(RequestId("r1"), event);
  CHECK_FALSE(Arrive(coalescer, "r2").run);
  CHECK(Arrive(coalescer, "r3").run == RequestId("r2"));
  CHECK(coalescer.OnRunEnded(RequestId("r1")) == std::vector{ RequestId("r1") });
  CHECK(coalescer.OnRunEnded(RequestId("r2")).size() == 2);
}
