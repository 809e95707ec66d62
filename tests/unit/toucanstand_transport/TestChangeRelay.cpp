#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "random/Random.h"
#include "store/ChangeLog.h"
#include "store/ChangeRelay.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

ChangeAnswer Answer()
{
  ChangeAnswer answer;
  answer.number = 7;
  answer.known = true;
  answer.after = 110;
  answer.changes.at = 120;
  answer.changes.age = 250ms;
  answer.changes.changes = { { "key-a", std::string("\0\xff{}", 4), 118 },
                             { "key-b", std::nullopt, 119 } };
  return answer;
}

Result<ChangeAnswer, DatagramFailure> Decode(std::span<const std::uint8_t> aBytes)
{
  const auto datagram = DecodeDatagram(aBytes);
  if (!datagram) {
    return datagram.LastReason();
  }
  return DecodeChangeAnswer(datagram->fields);
}

const TimePoint kStart{ 1h };

StoreChange Change(StoreRevision aRevision)
{
  return { "key-" + std::to_string(aRevision), "value", aRevision };
}

} // namespace

TEST_CASE("An answer arrives as it was sent", "[relay]")
{
  const auto decoded = Decode(EncodeChangeAnswer(Answer()));
  REQUIRE(decoded.HasValue());
  CHECK(decoded->number == 7);
  CHECK(decoded->known);
  CHECK(decoded->after == 110);
  CHECK(decoded->changes.at == 120);
  CHECK(decoded->changes.age == Duration(250ms));
  REQUIRE(decoded->changes.changes.size() == 2);
  CHECK(decoded->changes.changes[0].value == std::string("\0\xff{}", 4));
  CHECK_FALSE(decoded->changes.changes[1].value.has_value());

  const auto query = DecodeDatagram(EncodeChangeQuery({ 9, 55 }));
  REQUIRE(query.HasValue());
  CHECK(query->kind == DatagramKind::ChangeQuery);
  CHECK(DecodeChangeQuery(query->fields)->after == 55);
}

TEST_CASE("Changes that do not fit into a datagram send the asker to the store",
          "[relay]")
{
  // Guards against a configuration of hundreds of routes that is cut short on the way.
  auto answer = Answer();
  answer.changes.changes[0].value = std::string(kMostAnswerBytes, 'x');
  const auto bytes = EncodeChangeAnswer(answer);
  CHECK(bytes.size() < 200);
  const auto decoded = Decode(bytes);
  REQUIRE(decoded.HasValue());
  CHECK_FALSE(decoded->known);
  CHECK(decoded->changes.changes.empty());
}

TEST_CASE("What fits is told first, and the rest is asked for", "[relay]")
{
  // Guards against VMs that all go to the store because a hundred servers changed at once
  // (Shilapatra grown: 1,600 calls of a day), and against a copy that is taken for up to
  // date with a part of the changes.
  ChangeAnswer answer;
  answer.known = true;
  answer.changes.at = 500;
  constexpr int kChanges = 40;
  for (int number = 0; number < kChanges; ++number) {
    answer.changes.changes.push_back(
      { "key-" + std::to_string(number), std::string(2000, 'x'), 100 + number / 2 });
  }
  StoreRevision at = 0;
  std::size_t told = 0;
  int parts = 0;
  while (at < 500) {
    ChangeAnswer rest = answer;
    std::erase_if(rest.changes.changes,
                  [at](const StoreChange& aChange) { return aChange.revision <= at; });
    const auto decoded = Decode(EncodeChangeAnswer(rest));
    REQUIRE(decoded.HasValue());
    REQUIRE(decoded->known);
    told += decoded->changes.changes.size();
    at = decoded->changes.at;
    CHECK(decoded->changes.hasMore == (at < 500));
    ++parts;
  }
  CHECK(told == kChanges);
  CHECK(parts == 3);
}

TEST_CASE("A damaged answer is refused and never throws", "[relay]")
{
  // Guards against a peer's bytes that end the process.
  const auto bytes = EncodeChangeAnswer(Answer());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(!Decode(std::span(bytes.data(), length)).HasValue());
  }
  Random random(20261204);
  for (int round = 0; round < 20'000; ++round) {
    auto damaged = bytes;
    damaged[random.Below(damaged.size())] = static_cast<std::uint8_t>(random.Below(256));
    (void)Decode(damaged);
  }
}

TEST_CASE("The log tells what changed after a revision or that it can't", "[relay]")
{
  // Guards against a VM that misses a change and believes to be up to date.
  ChangeLog log;
  CHECK_FALSE(log.After(0).has_value());
  log.Note(Change(3), kStart);
  log.Restart(10);
  CHECK_FALSE(log.After(9).has_value());
  REQUIRE(log.After(10).has_value());
  CHECK(log.After(10)->empty());
  log.Note(Change(12), kStart);
  log.Note(Change(15), kStart + 10s);
  CHECK(log.After(10)->size() == 2);
  CHECK(log.After(12)->size() == 1);
  CHECK(log.After(15)->empty());
  CHECK(log.After(99)->empty());
  // The first entry is forgotten, and with it what lies before it.
  log.Note(Change(20), kStart + ChangeLog::kLife + 1s);
  CHECK_FALSE(log.After(10).has_value());
  CHECK_FALSE(log.After(11).has_value());
  CHECK(log.After(12)->size() == 2);
}

TEST_CASE("A change that was undone during a full read of a relay is not missed",
          "[relay]")
{
  // A VM that read the store in between has the value that the relay never saw.
  ChangeLog log;
  log.Restart(100);
  log.Note(Change(110), kStart);
  log.NoteFullRead(110, 150);
  log.Note(Change(150), kStart);
  CHECK(log.After(105)->size() == 2);
  CHECK(log.After(110)->size() == 1);
  CHECK_FALSE(log.After(130).has_value());
  CHECK(log.After(150)->empty());
}

TEST_CASE("Fields that a later build appends to a query or an answer are ignored",
          "[relay]")
{
  // Guards against VMs that all read the store while a fleet is upgraded, because their
  // relay is of a later build.
  using nlohmann::json;
  auto answer = json::from_msgpack(EncodeChangeAnswer(Answer()));
  for (auto& row : answer[2][6]) {
    row.push_back("later");
  }
  answer[2].push_back(json::array({ 1U }));
  const auto decoded = Decode(json::to_msgpack(answer));
  REQUIRE(decoded.HasValue());
  CHECK(EncodeChangeAnswer(*decoded) == EncodeChangeAnswer(Answer()));

  const auto query = DecodeChangeQuery(json::array({ 9U, 55U, "later" }));
  REQUIRE(query.HasValue());
  CHECK(query->after == 55);
}

TEST_CASE("A revision that no store gives is refused", "[relay]")
{
  // Guards against a copy that ignores all later changes after one odd answer of a peer.
  using nlohmann::json;
  const std::uint64_t last =
    (std::uint64_t{ 1 } << 62U) - 1; // 22 bits of the history and 40 of the number.
  for (const std::uint64_t revision :
       { last + 1, std::uint64_t{ 1 } << 63U, ~std::uint64_t{ 0 } }) {
    INFO(revision);
    CHECK(!DecodeChangeQuery(json::array({ 1U, revision })).HasValue());
    CHECK(!DecodeChangeAnswer(
             json::array({ 1U, true, 0U, revision, 0U, false, json::array() }))
             .HasValue());
  }
  CHECK(DecodeChangeQuery(json::array({ 1U, last })).HasValue());
}
