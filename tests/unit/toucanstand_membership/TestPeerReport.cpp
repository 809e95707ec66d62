#include <array>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peers/PeerReport.h"
#include "peers/PeerReportAggregator.h"
#include "random/Random.h"

using namespace toucanstand;

namespace {

PeerReport MakeReport()
{
  PeerReport report;
  report.sender = VmId("vm-1");
  report.runNumber = 0xFFFFFFFFFFFFFFFFULL;
  report.sequence = 7;
  report.loads = { { "m0-12", 2, 1500.4, 11 } };
  report.suspectedGroups = { "m1-3" };
  report.quarantinedFingerprints = { 42 };
  report.demand = { { "m0", 3.25 } };
  report.learnedOverheads = { { "m0", { 0.12, 5 } } };
  report.crashes = { { "server-1", 0.25, { 0xab, 0xFFFFFFFFFFFFFFFFULL } } };
  report.survivals = { { 0xab, 1.5 } };
  report.quarantinedParts = { 0xcd };
  report.rateLimits = { { "server-1", 3.4, 0.5 }, { "server-2", std::nullopt, 1.0 } };
  return report;
}

Result<PeerReport, DatagramFailure> Decode(std::span<const std::uint8_t> aBytes)
{
  const auto datagram = DecodeDatagram(aBytes);
  if (!datagram) {
    return datagram.LastReason();
  }
  return DecodePeerReport(datagram->fields);
}

} // namespace

TEST_CASE("A report is decoded as it was encoded", "[peers]")
{
  const auto decoded = Decode(EncodePeerReport(MakeReport()));
  REQUIRE(decoded.HasValue());
  CHECK(decoded->sender == VmId("vm-1"));
  CHECK(decoded->runNumber == 0xFFFFFFFFFFFFFFFFULL);
  CHECK(decoded->sequence == 7);
  REQUIRE(decoded->loads.size() == 1);
  CHECK(decoded->loads[0].prefillTokens == 1500);
  CHECK(decoded->suspectedGroups == std::vector<std::string>{ "m1-3" });
  CHECK(decoded->quarantinedFingerprints == std::vector<std::uint64_t>{ 42 });
  CHECK(decoded->demand.at("m0") == 3.25);
  CHECK(decoded->learnedOverheads.at("m0").seconds == 0.12);
  REQUIRE(decoded->crashes.size() == 1);
  CHECK(decoded->crashes[0].server == "server-1");
  CHECK(decoded->crashes[0].ageSeconds == 0.25);
  CHECK(decoded->crashes[0].parts ==
        std::vector<PromptPartId>{ 0xab, 0xFFFFFFFFFFFFFFFFULL });
  REQUIRE(decoded->survivals.size() == 1);
  CHECK(decoded->survivals[0].part == 0xab);
  CHECK(decoded->survivals[0].ageSeconds == 1.5);
  REQUIRE(decoded->rateLimits.size() == 2);
  CHECK(decoded->rateLimits[0].server == "server-1");
  CHECK(decoded->rateLimits[0].perSecond == 3.4);
  CHECK(decoded->rateLimits[0].ageSeconds == 0.5);
  CHECK(!decoded->rateLimits[1].perSecond);
  CHECK(decoded->quarantinedParts == std::vector<PromptPartId>{ 0xcd });
}

TEST_CASE("A damaged report is rejected without an exception", "[peers]")
{
  // Guards against a datagram that is truncated or has changed bytes and that crashes the
  // process or is read as a negative load.
  const auto bytes = EncodePeerReport(MakeReport());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(!Decode(std::span(bytes.data(), length)).HasValue());
  }
  Random random(20261204);
  for (int round = 0; round < 20'000; ++round) {
    auto damaged = bytes;
    damaged[random.Below(damaged.size())] = static_cast<std::uint8_t>(random.Below(256));
    const auto decoded = Decode(damaged);
    if (decoded) {
      for (const auto& load : decoded->loads) {
        CHECK(load.decodeRequests >= 0);
      }
      for (const auto& crash : decoded->crashes) {
        CHECK(crash.ageSeconds >= 0);
      }
    }
  }
  CHECK(!Decode(nlohmann::json::to_msgpack(nlohmann::json{ { "a", 1 } })).HasValue());
}

TEST_CASE("A datagram of another version or kind is rejected with a specific error",
          "[peers]")
{
  // Guards against fields that are interpreted by the format of another version while VMs
  // of both versions run during an upgrade.
  const auto failure = [](const nlohmann::json& aDocument) {
    return DecodeDatagram(nlohmann::json::to_msgpack(aDocument)).LastReason();
  };
  const auto fields = nlohmann::json::array();
  CHECK(failure(nlohmann::json::array({ 99U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  // Earlier versions: answers to queries with one field less, reports without crashes,
  // revisions without a history.
  CHECK(failure(nlohmann::json::array({ 2U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  CHECK(failure(nlohmann::json::array({ 3U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  CHECK(failure(nlohmann::json::array({ 4U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  CHECK(failure(nlohmann::json::array({ 5U, 99U, fields })) ==
        DatagramFailure::UnknownKind);
  CHECK(failure(nlohmann::json::array({ 4U, 0U })) == DatagramFailure::Malformed);
  CHECK(failure(nlohmann::json::array({ "2", 0U, fields })) ==
        DatagramFailure::Malformed);
  CHECK(DecodePeerReport(fields).LastReason() == DatagramFailure::BadField);
}

TEST_CASE("Fields that a later build appends to a report are ignored", "[peers]")
{
  // Guards against VMs that lose sight of the load at peers of a later build while a
  // fleet is upgraded.
  auto document = nlohmann::json::from_msgpack(EncodePeerReport(MakeReport()));
  auto& fields = document[2];
  constexpr std::array kListsOfRows = { 4, 7, 8, 9, 10, 12 };
  for (const auto list : kListsOfRows) {
    for (auto& row : fields[static_cast<std::size_t>(list)]) {
      row.push_back("later");
    }
  }
  fields.push_back(nlohmann::json::array({ "later", 1U }));
  fields.push_back(nullptr);
  const auto decoded = Decode(nlohmann::json::to_msgpack(document));
  REQUIRE(decoded.HasValue());
  CHECK(EncodePeerReport(*decoded) == EncodePeerReport(MakeReport()));
}

TEST_CASE("An aggregate for a VM contains the load of all other VMs", "[peers]")
{
  // Guards against a VM that counts its own requests twice and regards a group with free
  // capacity as full.
  PeerReport first = MakeReport();
  PeerReport second = MakeReport();
  second.loads = { { "m0-12", 1, 300, 4 }, { "m1-3", 0, 0, 2 } };
  second.quarantinedFingerprints = { 43 };
  second.demand = { { "m1", 1.0 } };
  second.learnedOverheads = { { "m0", { 0.24, 15 } } };
  PeerReportAggregator aggregator;
  aggregator.Add(first);
  aggregator.Add(second);
  const auto remainder = aggregator.TotalWithout(first);
  CHECK(remainder.aggregatedVms == 1);
  REQUIRE(remainder.loads.size() == 2);
  CHECK(remainder.loads[0].prefillRequests == Approx(1));
  CHECK(remainder.loads[0].prefillTokens == Approx(300));
  CHECK(remainder.loads[0].decodeRequests == Approx(4));
  CHECK(remainder.demand.at("m0") == Approx(0).margin(1e-9));
  CHECK(remainder.demand.at("m1") == Approx(1));
  CHECK(remainder.quarantinedFingerprints == std::vector<std::uint64_t>{ 42, 43 });
  CHECK(aggregator.Total().aggregatedVms == 2);
  CHECK(aggregator.Total().learnedOverheads.at("m0").seconds == Approx(0.21));
  // A group that only this VM uses is omitted.
  CHECK(aggregator.TotalWithout(second).loads.size() == 1);
}
