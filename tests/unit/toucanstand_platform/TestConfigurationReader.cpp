#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/ConfigurationReader.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

json ValidDocument()
{
  return json::parse(R"({"Version":7,
    "Routes":[
      {"Name":"r1","Host":"a.example","PathPrefix":"/x/","Kind":"streaming","TimeoutMs":8000,
       "TargetLatencyMs":500,"Priority":1,"MaxAttempts":2,"Public":false,"CanResume":true,
       "GapTargetMs":300,
       "TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}]},
      {"Name":"r2","Host":"a.example","PathPrefix":"/x/y/","Kind":"unsafe","Service":"s2",
       "TimeoutMs":2000,"TargetLatencyMs":300,"MaxAttempts":1,"Public":true}],
    "Services":[
      {"Name":"s1","MaxConnections":464,"Engine":{"Slots":26,"Stride":5,"step_ms":6.07,
       "per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"chunk":2048,
       "LoadsPerS":4.0,"loads_at_once":6,"usual":{"prompt":1076,"answer":116},"FormMs":300.0,
       "Models":[{"Name":"m0","size":4,"Share":0.67,"pace":1.0,"LoadS":16.0,"WarmS":1.6}]}},
      {"Name":"s2","MaxConnections":96}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
              "IdleTimeoutMs":15000},
    "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":2}]})");
}

platform::ConfigurationFailure ReadFailure(const json& aDocument)
{
  const auto read = platform::ReadConfiguration(aDocument.dump());
  REQUIRE(!read.HasValue());
  return read.LastReason();
}

} // namespace

TEST_CASE("A valid configuration is parsed into the serving configuration", "[platform]")
{
  // Guards against fields that are mixed up or converted with the wrong unit.
  const auto read = platform::ReadConfiguration(ValidDocument().dump());
  REQUIRE(read.HasValue());
  CHECK(read->Version() == 7);
  CHECK(read->RouteCount() == 2);

  // Host names are case-insensitive (RFC 9110, 4.2.3).
  CHECK(read->FindRoute("A.Example", "/x/1") != nullptr);
  const auto* stream = read->FindRoute("a.example", "/x/1");
  REQUIRE(stream != nullptr);
  CHECK(stream->kind == CallKind::Stream);
  CHECK(stream->MayRepeat() == Repeatability::Idempotent);
  CHECK(stream->timeout == std::chrono::seconds(8));
  CHECK(stream->targetLatency == std::chrono::milliseconds(500));
  CHECK(stream->targetPause == std::chrono::milliseconds(300));
  CHECK(stream->mostServers == 2);
  REQUIRE(stream->pools.size() == 2);
  CHECK(stream->pools[0].weight == 90.0);

  const auto* nonIdempotent = read->FindRoute("a.example", "/x/y/1");
  REQUIRE(nonIdempotent != nullptr);
  CHECK(nonIdempotent->name == "r2");
  CHECK(nonIdempotent->MayRepeat() == Repeatability::OnlyOnce);
  CHECK(nonIdempotent->isPublic);
  CHECK(read->FindRoute("a.example", "/x") == nullptr);
  CHECK(read->FindRoute("b.example", "/x/1") == nullptr);

  const auto* pool = read->FindPool(PoolId("s1"));
  REQUIRE(pool != nullptr);
  REQUIRE(pool->engine.has_value());
  CHECK(pool->engine->slots == 26);
  CHECK(pool->engine->promptTokensPerSecond == 46000.0);
  CHECK(pool->engine->stepsPerPass == 5);
  REQUIRE(pool->engine->FindModel("m0") != nullptr);
  CHECK(pool->engine->FindModel("m0")->groupSize == 4);
  CHECK(pool->engine->FindModel("m0")->loadTime == std::chrono::seconds(16));
  CHECK(!read->FindPool(PoolId("s2"))->engine.has_value());

  CHECK(read->NeedsKeys());
  REQUIRE(read->FindKey("k2") != nullptr);
  CHECK(read->FindKey("k2")->account == AccountId("t1"));
  CHECK(read->FindKey("k2")->priority == 2);
  CHECK(read->FindKey("k3") == nullptr);
  CHECK(read->Limits().headerTimeout == std::chrono::seconds(3));
}

TEST_CASE("A configuration without client accounts requires no API key", "[platform]")
{
  auto document = ValidDocument();
  document.erase("Tenants");
  const auto read = platform::ReadConfiguration(document.dump());
  REQUIRE(read.HasValue());
  CHECK(!read->NeedsKeys());
}

TEST_CASE("A configuration with any invalid part is rejected as a whole", "[platform]")
{
  // Guards against a partly applied configuration.
  CHECK(!platform::ReadConfiguration("{").HasValue());
  CHECK(!platform::ReadConfiguration("[]").HasValue());
  auto document = ValidDocument();
  document["Version"] = "7";
  CHECK(ReadFailure(document) == platform::ConfigurationFailure::InvalidVersion);
  document = ValidDocument();
  document["Routes"][1]["Kind"] = "other";
  CHECK(ReadFailure(document) == platform::ConfigurationFailure::InvalidRoute);
  document = ValidDocument();
  document["Routes"][1].erase("Service");
  CHECK(ReadFailure(document) == platform::ConfigurationFailure::InvalidRoute);
  document = ValidDocument();
  document["Services"][0]["Engine"]["read_per_s"] = 0;
  CHECK(ReadFailure(document) == platform::ConfigurationFailure::InvalidService);
  document = ValidDocument();
  document["Tenants"][0]["ApiKeys"] = json::array({ 1 });
  CHECK(ReadFailure(document) == platform::ConfigurationFailure::InvalidApiKeys);
}

TEST_CASE("Delays between zones are read, and malformed ones are left out", "[platform]")
{
  // Guards against zones that count as far apart because of a row that can't be read, and
  // against a configuration that is rejected because of it.
  auto document = ValidDocument();
  const auto read = [&document] {
    auto configuration = platform::ReadConfiguration(document.dump());
    REQUIRE(configuration.HasValue());
    return *configuration;
  };
  CHECK(read().LargestZoneDelay() == Duration::zero());
  CHECK(read().MalformedZoneDelays() == 0);
  auto& delays = document["Services"][0]["Engine"]["delays"];
  delays = json::parse(R"([{"From":"z1","ToVersion":"z1","delay_ms":50},
    {"From":"z1","ToVersion":"z2","delay_ms":1.4},{"From":"z2","ToVersion":"z1","delay_ms":0.5}])");
  CHECK(read().LargestZoneDelay() == std::chrono::microseconds(1400));
  CHECK(!read().Pools().front().engine->zoneDistances.AreFarApart());
  delays[1]["delay_ms"] = 2;
  CHECK(read().Pools().front().engine->zoneDistances.AreFarApart());
  CHECK(read().MalformedZoneDelays() == 0);
  delays = json::parse(R"([7,null,{},{"From":"z1","ToVersion":"z2"},
    {"From":"z1","ToVersion":"z2","delay_ms":-1},{"From":"z1","ToVersion":"z2","delay_ms":"3"},
    {"From":"","ToVersion":"z2","delay_ms":3},{"From":1,"ToVersion":"z2","delay_ms":3},
    {"From":"z1","ToVersion":"z2","delay_ms":10001}])");
  CHECK(read().LargestZoneDelay() == Duration::zero());
  CHECK(read().MalformedZoneDelays() == 9);
  delays = "3.9";
  CHECK(read().MalformedZoneDelays() == 1);
}

TEST_CASE("The terms of cold servers are read, and absurd ones are left out",
          "[platform]")
{
  // Guards against a configuration that is rejected, or servers that get nothing, because
  // of one damaged number.
  const auto read = [](const json& aStart, const json& aRate) {
    auto document = ValidDocument();
    document["Services"][0]["ColdStartS"] = aStart;
    document["Services"][0]["ColdPerS"] = aRate;
    const auto configuration = platform::ReadConfiguration(document.dump());
    REQUIRE(configuration.HasValue());
    CHECK(configuration->FindPool(PoolId("s2"))->coldRequestsPerSecond == 0);
    return *configuration->FindPool(PoolId("s1"));
  };
  const auto pool = read(3.0, 17);
  CHECK(pool.coldStart == std::chrono::seconds(3));
  CHECK(pool.coldRequestsPerSecond == 17);
  CHECK_FALSE(pool.areColdTermsUnreadable);
  CHECK(read(-1, 17).coldStart == Duration::zero());
  CHECK(read(3601, 17).areColdTermsUnreadable);
  CHECK(read(3, "17").coldRequestsPerSecond == 0);
  CHECK(read(3, -17).areColdTermsUnreadable);
  CHECK_FALSE(read(nullptr, nullptr).areColdTermsUnreadable);
}
