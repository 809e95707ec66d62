#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peers/PeerReport.h"
#include "peers/ReportSum.h"
#include "random/Random.h"

using namespace toucanstand;

namespace {

PeerReport Report()
{
  PeerReport report;
  report.sender = VmId("vm-1");
  report.run = 0xFFFFFFFFFFFFFFFFULL;
  report.sequence = 7;
  report.loads = { { "m0-12", 2, 1500.4, 11 } };
  report.suspected = { "m1-3" };
  report.quarantined = { 42 };
  report.work = { { "m0", 3.25 } };
  report.learned = { { "m0", { 0.12, 5 } } };
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

TEST_CASE("A report arrives as it was sent", "[peers]")
{
  const auto decoded = Decode(EncodePeerReport(Report()));
  REQUIRE(decoded.HasValue());
  CHECK(decoded->sender == VmId("vm-1"));
  CHECK(decoded->run == 0xFFFFFFFFFFFFFFFFULL);
  CHECK(decoded->sequence == 7);
  REQUIRE(decoded->loads.size() == 1);
  CHECK(decoded->loads[0].readingTokens == 1500);
  CHECK(decoded->suspected == std::vector<std::string>{ "m1-3" });
  CHECK(decoded->quarantined == std::vector<std::uint64_t>{ 42 });
  CHECK(decoded->work.at("m0") == 3.25);
  CHECK(decoded->learned.at("m0").seconds == 0.12);
}

TEST_CASE("A damaged report is refused and never throws", "[peers]")
{
  // Guards against a datagram of another version or with flipped bytes that ends the
  // process or changes what it believes.
  const auto bytes = EncodePeerReport(Report());
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
        CHECK(load.writing >= 0);
      }
    }
  }
  CHECK(!Decode(nlohmann::json::to_msgpack(nlohmann::json{ { "a", 1 } })).HasValue());
}

TEST_CASE("A datagram of another version or kind is refused by name", "[peers]")
{
  // Guards against fields that are read with another version's meaning while the fleet
  // is being replaced.
  const auto failure = [](const nlohmann::json& aDocument) {
    return DecodeDatagram(nlohmann::json::to_msgpack(aDocument)).LastReason();
  };
  const auto fields = nlohmann::json::array();
  CHECK(failure(nlohmann::json::array({ 99U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  // The version before this one, whose answers to queries have a field less.
  CHECK(failure(nlohmann::json::array({ 2U, 0U, fields })) ==
        DatagramFailure::OtherVersion);
  CHECK(failure(nlohmann::json::array({ 3U, 99U, fields })) ==
        DatagramFailure::UnknownKind);
  CHECK(failure(nlohmann::json::array({ 3U, 0U })) == DatagramFailure::Malformed);
  CHECK(failure(nlohmann::json::array({ "2", 0U, fields })) ==
        DatagramFailure::Malformed);
  CHECK(DecodePeerReport(fields).LastReason() == DatagramFailure::BadField);
}

TEST_CASE("A sum tells a VM what all others have in progress", "[peers]")
{
  // Guards against a VM that counts its own requests twice and takes a group that is
  // free for a full one.
  PeerReport first = Report();
  PeerReport second = Report();
  second.loads = { { "m0-12", 1, 300, 4 }, { "m1-3", 0, 0, 2 } };
  second.quarantined = { 43 };
  second.work = { { "m1", 1.0 } };
  second.learned = { { "m0", { 0.24, 15 } } };
  ReportSum sum;
  sum.Add(first);
  sum.Add(second);
  const auto rest = sum.Without(first);
  CHECK(rest.others == 1);
  REQUIRE(rest.loads.size() == 2);
  CHECK(rest.loads[0].reading == Approx(1));
  CHECK(rest.loads[0].readingTokens == Approx(300));
  CHECK(rest.loads[0].writing == Approx(4));
  CHECK(rest.work.at("m0") == Approx(0).margin(1e-9));
  CHECK(rest.work.at("m1") == Approx(1));
  CHECK(rest.quarantined == std::vector<std::uint64_t>{ 42, 43 });
  CHECK(sum.Total().others == 2);
  CHECK(sum.Total().learned.at("m0").seconds == Approx(0.21));
  // A destination that only the VM itself uses is left out.
  CHECK(sum.Without(second).loads.size() == 1);
}
