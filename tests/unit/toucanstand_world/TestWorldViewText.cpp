#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "observation/WorldViewText.h"

using namespace toucanstand;
using namespace std::chrono_literals;

TEST_CASE(
  "A world view keeps its ages over a message, whatever the receiver's clock says",
  "[world]")
{
  const TimePoint sent{ 1000s };
  const TimePoint received{ 5s + 24h };
  WorldView view;
  view.mayServe = true;
  view.configurationRevision = 9;
  Candidate candidate;
  candidate.id = "g-1";
  candidate.endpoint = { "127.0.0.1", 9100 };
  candidate.members = { ServerId("a"), ServerId("b") };
  candidate.load.receivedAt = sent - 700ms;
  candidate.load.cachedPrefixes = { 0xfedcba9876543210ULL };
  candidate.usableUntil = sent + 1300ms;
  view.candidates.push_back(candidate);
  view.quarantine.push_back({ 0xffffffffffffffffULL, sent + 60s });

  const auto copy = WorldViewFromJson(WorldViewToJson(view, sent), received);
  REQUIRE(copy);
  REQUIRE(copy->candidates.size() == 1);
  CHECK(copy->candidates[0].load.receivedAt == received - 700ms);
  CHECK(copy->candidates[0].usableUntil == received + 1300ms);
  CHECK(copy->candidates[0].load.cachedPrefixes == candidate.load.cachedPrefixes);
  CHECK(copy->quarantine[0].fingerprint == 0xffffffffffffffffULL);
}

TEST_CASE("A permission that lapsed before sending does not come back to life", "[world]")
{
  const TimePoint sent{ 1000s };
  WorldView view;
  Candidate candidate;
  candidate.endpoint = { "127.0.0.1", 9100 };
  candidate.usableUntil = sent - 1s;
  view.candidates.push_back(candidate);
  const auto copy = WorldViewFromJson(WorldViewToJson(view, sent), sent);
  REQUIRE(copy);
  CHECK(copy->candidates[0].usableUntil == sent);
}

TEST_CASE("Malformed observations are rejected as a whole", "[world]")
{
  Observation observation;
  observation.server = ServerId("a");
  auto body = ObservationToJson(observation, TimePoint{ 10s });
  REQUIRE(ObservationFromJson(body, TimePoint{ 10s }));
  body["generation"] = -1;
  CHECK_FALSE(ObservationFromJson(body, TimePoint{ 10s }));
  body["generation"] = 1;
  body["surplus"] = 1;
  CHECK_FALSE(ObservationFromJson(body, TimePoint{ 10s }));
}
