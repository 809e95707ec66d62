#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "answers/StreamAssembler.h"
#include "random/Random.h"

using namespace toucanstand;

TEST_CASE("A stream completes only with every token exactly once", "[answers]")
{
  // Guards against lost, duplicate and reordered tokens when engines break off, skip
  // tokens, ignore the resume offset or finish early, and when events of superseded
  // attempts arrive late.
  std::size_t completed = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    const std::uint64_t length = random.Below(30);
    StreamAssembler assembler;
    std::vector<std::uint64_t> emitted;
    for (std::uint32_t attempt = 1; attempt <= 12 && !assembler.IsComplete(); ++attempt) {
      assembler.OnAttemptStarted(attempt);
      const bool ignoresOffset = random.Below(4) == 0;
      const std::uint64_t end = random.Below(2) == 0 ? length : random.Below(length + 1);
      bool faulty = false;
      for (std::uint64_t index = ignoresOffset ? 0 : assembler.ResumeOffset();
           index < end && !faulty;
           index += random.Below(20) == 0 ? 2 : 1) {
        static_cast<void>(assembler.OnToken(attempt - 1, assembler.ResumeOffset()));
        const auto decision = assembler.OnToken(attempt, index);
        faulty = decision == TokenDecision::Gap;
        if (decision == TokenDecision::Emit) {
          emitted.push_back(index);
        }
      }
      static_cast<void>(assembler.OnFinish(attempt - 1));
      REQUIRE_FALSE(assembler.IsComplete());
      if (end == length && !faulty) {
        static_cast<void>(assembler.OnFinish(attempt));
      }
    }
    for (std::size_t index = 0; index < emitted.size(); ++index) {
      REQUIRE(emitted[index] == index);
    }
    // One token may be missing: an engine that skips its last token and then finishes
    // can't be distinguished from one that completed the answer.
    if (assembler.IsComplete()) {
      REQUIRE(emitted.size() + 1 >= length);
      ++completed;
    }
  }
  CHECK(completed > 2000);
}

TEST_CASE("A finish marker before the resume offset doesn't complete the answer",
          "[answers]")
{
  // Guards against mixing two different answers when a second attempt generates a shorter
  // one.
  StreamAssembler assembler;
  assembler.OnAttemptStarted(1);
  for (std::uint64_t index = 0; index < 5; ++index) {
    REQUIRE(assembler.OnToken(1, index) == TokenDecision::Emit);
  }
  assembler.OnAttemptStarted(2);
  CHECK(assembler.OnToken(2, 0) == TokenDecision::Duplicate);
  CHECK(assembler.OnFinish(2) == FinishDecision::Inconsistent);
  CHECK_FALSE(assembler.IsComplete());
}

TEST_CASE("A finish marker after a gap doesn't complete the answer", "[answers]")
{
  StreamAssembler assembler;
  assembler.OnAttemptStarted(1);
  REQUIRE(assembler.OnToken(1, 0) == TokenDecision::Emit);
  CHECK(assembler.OnToken(1, 2) == TokenDecision::Gap);
  CHECK(assembler.OnFinish(1) == FinishDecision::StaleAttempt);
  CHECK(assembler.ResumeOffset() == 1);
}

TEST_CASE("A stream that exceeds the token limit is stopped", "[answers]")
{
  StreamAssembler assembler(2);
  assembler.OnAttemptStarted(1);
  REQUIRE(assembler.OnToken(1, 0) == TokenDecision::Emit);
  REQUIRE(assembler.OnToken(1, 1) == TokenDecision::Emit);
  CHECK(assembler.OnToken(1, 2) == TokenDecision::TooLong);
}
