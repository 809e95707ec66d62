#include <catch2/catch.hpp>

#include "change/ConfigurationChange.h"

using namespace toucanstand;

namespace {

ConfigurationChange MakeChange(const std::string& aAuthor, ConfigurationEdit aEdit)
{
  return ConfigurationChange({ aAuthor, "nonce-" + aAuthor, "", std::move(aEdit), {} });
}

ConfigurationEdit SetRoutingStrategy(const std::string& aName)
{
  return SetDefault("/routing/strategy", aName);
}

std::string ProposedText(const ChangeAction& aAction)
{
  REQUIRE(std::holds_alternative<SwapConfiguration>(aAction));
  return std::get<SwapConfiguration>(aAction).text;
}

} // namespace

TEST_CASE("A conflict reports the author and revision that are in the store", "[change]")
{
  auto winner = MakeChange("winner", SetRoutingStrategy("round-robin"));
  auto loser = MakeChange("loser", SetRoutingStrategy("two-choices"));
  const auto text = ProposedText(winner.OnRead({ {}, 0 }));
  static_cast<void>(loser.OnRead({ {}, 0 }));
  static_cast<void>(loser.OnSwapAnswered(false));
  const auto outcome = std::get<ChangeOutcome>(loser.OnRead({ text, 9 }));
  CHECK(outcome.result == ChangeResult::Conflict);
  CHECK(outcome.author == "winner");
  CHECK(outcome.revision == 1);
}

TEST_CASE("After a lost reply, the write is repeated or found by its nonce", "[change]")
{
  // Guards against reporting a conflict to the writer whose change is committed, and
  // against giving up while a delayed write may still arrive.
  auto change = MakeChange("a", SetRoutingStrategy("round-robin"));
  const auto text = ProposedText(change.OnRead({ {}, 0 }));
  static_cast<void>(change.OnSwapUnanswered());
  CHECK(ProposedText(change.OnRead({ {}, 0 })) == text);
  static_cast<void>(change.OnSwapAnswered(false));
  const auto outcome = std::get<ChangeOutcome>(change.OnRead({ text, 5 }));
  CHECK(outcome.result == ChangeResult::Committed);
  CHECK(outcome.revision == 1);
}

TEST_CASE("A change whose reply was lost is undetermined after a later change",
          "[change]")
{
  auto first = MakeChange("first", SetRoutingStrategy("round-robin"));
  const auto text = ProposedText(first.OnRead({ {}, 0 }));
  static_cast<void>(first.OnSwapUnanswered());
  auto second = MakeChange("second", SetRoutingStrategy("two-choices"));
  const auto later = ProposedText(second.OnRead({ text, 1 }));
  const auto outcome = std::get<ChangeOutcome>(first.OnRead({ later, 2 }));
  CHECK(outcome.result == ChangeResult::Undetermined);
  CHECK(outcome.author == "second");
}

TEST_CASE("An edit based on an outdated revision is a conflict, without a write",
          "[change]")
{
  auto first = MakeChange("first", SetRoutingStrategy("round-robin"));
  const auto text = ProposedText(first.OnRead({ {}, 0 }));
  ConfigurationChange second({ "b", "n", "", ReplaceConfiguration("{}"), 0 });
  const auto outcome = std::get<ChangeOutcome>(second.OnRead({ text, 1 }));
  CHECK(outcome.result == ChangeResult::Conflict);
  CHECK(outcome.author == "first");
}

TEST_CASE("Edits select list items by name, and exceptions need a reason", "[change]")
{
  auto base = MakeChange("a", ReplaceConfiguration(R"({"defaults":{"contracts":[
    {"name":"chat","pathPrefix":"/chat","pool":"assistant"}]}})"));
  const auto text = ProposedText(base.OnRead({ {}, 0 }));
  const auto applyToBase = [&text](ConfigurationEdit aEdit) {
    return MakeChange("b", std::move(aEdit)).OnRead({ text, 1 });
  };
  const auto edited = ParseConfiguration(
    ProposedText(applyToBase(SetDefault("/contracts/chat/worth", "7"))));
  REQUIRE(edited);
  CHECK(edited->defaults.contracts.front().worth == 7);
  CHECK(edited->revision == 2);

  const Scope scope = *ParseScope("contract/chat");
  const auto added = ParseConfiguration(
    ProposedText(applyToBase(PutException(scope, "test", R"({"worth":3})"))));
  REQUIRE(added);
  CHECK(added->exceptions.size() == 1);
  for (const auto& edit : { PutException(scope, "", R"({"worth":3})"),
                            RemoveException(scope),
                            SetDefault("/contracts/other/worth", "7"),
                            SetDefault("/contracts/chat/worth", "many") }) {
    const auto outcome = std::get<ChangeOutcome>(applyToBase(edit));
    CHECK(outcome.result == ChangeResult::Invalid);
    CHECK_FALSE(outcome.errors.empty());
  }
}
