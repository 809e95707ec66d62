#include <set>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/TokenFunction.h"

using namespace toucanstand;
using nlohmann::json;

TEST_CASE("Tokens differ between prompts and positions", "[tokens]")
{
  // Guards against answers that a load generator could not tell from those to other
  // requests, or from ones with a token missing.
  std::set<std::string> texts;
  for (std::uint64_t index = 0; index < 100; ++index) {
    texts.insert(TokenText("user: a\n", index));
    texts.insert(TokenText("user: b\n", index));
  }
  CHECK(texts.size() == 200);
  CHECK(AnswerText("p", 3) == TokenText("p", 0) + TokenText("p", 1) + TokenText("p", 2));
}

TEST_CASE("Only the messages of a body decide its prompt", "[tokens]")
{
  // Guards against answers that change when a proxy rewrites `stream` or key order.
  const auto first =
    json::parse(R"({"stream":true,"messages":[{"role":"user","content":"x"}]})");
  const auto second =
    json::parse(R"({"messages":[{"content":"x","role":"user"}],"max_tokens":3})");
  CHECK(PromptOf(first) == PromptOf(second));
  CHECK(PrefixFingerprint(first) == PrefixFingerprint(second));
  CHECK(PromptOf(json::parse(R"({"messages":[7,{"role":1}]})")) == ": \n");
}
